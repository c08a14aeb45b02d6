"""Steps of calls between two nodes whose callers leave, on the loopback."""

from __future__ import annotations

import asyncio
import random
import types
import typing
from unittest import mock

import attrs
import behave

from pomelobend import calls as call_values
from pomelobend import clock as clocks
from pomelobend.membership import member as members
from pomelobend.memory import budget as budgets
from pomelobend.mesh import kept_runs
from pomelobend.peers import callee as callees
from pomelobend.peers import caller as peer_callers
from pomelobend.peers import connection as connections
from pomelobend.peers import messages
from pomelobend.peers import stream as streams
from pomelobend.routing import call as call_module
from pomelobend.routing import target_stats
from tests.steps import test_peers_closing as closing_steps
from tests.steps import test_peers_pool as pool_steps

NODE_BYTES = 128 * 1024 * 1024
DEADLINE_S = 8.0
SHORT_DEADLINE_S = 2.0
SETTLE_S = 0.3
READ_PAUSE_S = 0.001
LONGEST_ROUNDS = 30


@attrs.define(eq=False)
class Gate:
    """A target with slots that the test makes free, and a slow reader.

    Parameters
    ----------
    has_slots, reads_on : asyncio.Event
        Whether calls may begin, and whether begun ones are read on.
    begun : list of str
        The calls that have begun, by their ids.
    bodies : dict of str to int
        Sizes of the bodies that were read whole, by the ids of their calls.
    """

    clock: clocks.SystemClock = attrs.field(factory=clocks.SystemClock)
    has_slots: asyncio.Event = attrs.field(factory=asyncio.Event)
    reads_on: asyncio.Event = attrs.field(factory=asyncio.Event)
    slots: typing.Any = attrs.field(
        factory=lambda: types.SimpleNamespace(expected_ends={})
    )
    begun: list[str] = attrs.field(factory=list)
    bodies: dict[str, int] = attrs.field(factory=dict)
    free: int = 1
    wait_ms: int = 0

    async def run(self, call: call_module.Call) -> call_values.Answer:
        """Run a call once there are slots; read its body, then answer."""
        await self.has_slots.wait()
        self.slots.expected_ends[call] = call.deadline
        self.begun.append(call.key)
        left_s = call.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                await self.reads_on.wait()
                self.bodies[call.key] = await self._read(call)
        finally:
            del self.slots.expected_ends[call]
        return call_values.Answer(200, [], b'bells')

    async def _read(self, call: call_module.Call) -> int:
        size = len(call.body)
        if call.remaining_body is not None:
            async for part in call.remaining_body:
                await asyncio.sleep(READ_PAUSE_S)
                size += len(part)
        return size


def _new_call(
    key: str,
    body: bytes,
    deadline_s: float,
    *,
    is_idempotent: bool,
    rest: typing.Any = None,
) -> call_module.Call:
    now = clocks.SystemClock().monotonic()
    return call_module.Call(
        route_name='booking',
        service='tonabok',
        method='POST',
        path=b'/booking/a',
        headers=[],
        started=now,
        deadline=now + deadline_s,
        is_idempotent=is_idempotent,
        priority=1,
        objective_ms=1000,
        key=key,
        body=body,
        remaining_body=rest,
    )


def _build(
    start: messages.CallStart, stream: streams.Stream
) -> call_module.Call:
    return _new_call(
        start.key,
        start.body if start.is_complete else b'',
        start.deadline_ms / 1000,
        is_idempotent=start.is_idempotent,
        rest=callees.remaining_body(start, stream),
    )


@behave.given('a node that runs bookings and another node that calls it')
def given_nodes(context: typing.Any) -> None:
    closing_steps.given_nodes(context)
    context.gate = Gate()
    context.runs = kept_runs.KeptRuns(context.gate)
    context.budget = budgets.Budget(NODE_BYTES)
    context.accepting.handler = callees.Callee(
        context.runs, _build, context.budget
    )
    context.accepted.handler = context.accepting.handler


def _start(
    context: typing.Any,
    sizes: list[int],
    deadline_s: float = DEADLINE_S,
    *,
    is_idempotent: bool = False,
) -> list[asyncio.Task]:
    """Start calls of the other node, and keep the sizes of their bodies."""
    context.sizes = {f'booking-{n}': size for n, size in enumerate(sizes)}
    caller = peer_callers.Caller(context.dialling, clocks.SystemClock())
    address = context.accepting.hello.address
    member = members.Member('n2', 1, 0, 'vik', address)
    context.calls = [
        asyncio.create_task(
            caller.call(
                _new_call(
                    key, bytes(size), deadline_s, is_idempotent=is_idempotent
                ),
                member,
                target_stats.TargetStats(1),
            )
        )
        for key, size in context.sizes.items()
    ]
    return context.calls


async def _all_served(context: typing.Any) -> None:
    await pool_steps.until(
        lambda: len(context.accepted.serving) == len(context.calls)
    )
    await asyncio.sleep(SETTLE_S)


async def _all_begun(context: typing.Any) -> None:
    context.gate.has_slots.set()
    await pool_steps.until(
        lambda: len(context.gate.begun) == len(context.calls)
    )
    await asyncio.sleep(SETTLE_S)


async def _until_ended(context: typing.Any, wait_s: float) -> None:
    """Wait until the calls and their streams have ended."""
    await asyncio.wait(context.calls, timeout=wait_s)
    await asyncio.sleep(SETTLE_S)


@behave.when(
    '{count:d} bookings with {size:d} bytes wait there, their callers leave,'
    ' and the slots become free'
)
def when_waiting(context: typing.Any, count: int, size: int) -> None:
    async def act() -> None:
        tasks = _start(context, [size] * count)
        await _all_served(context)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(SETTLE_S)
        context.gate.has_slots.set()
        context.gate.reads_on.set()
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.when(
    '{count:d} {kind:w} with {size:d} bytes begin there, their callers leave,'
    ' and their targets read on'
)
def when_begun(context: typing.Any, count: int, kind: str, size: int) -> None:
    async def act() -> None:
        is_idempotent = kind == 'lookups'
        tasks = _start(context, [size] * count, is_idempotent=is_idempotent)
        await _all_begun(context)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(SETTLE_S)
        context.gate.reads_on.set()
        await _until_ended(context, DEADLINE_S)

    context.run(act())


@behave.when(
    '{count:d} bookings with {small:d} or {large:d} bytes have callers that'
    ' leave as they begin, with the seed {seed:d}'
)
def when_crossing(
    context: typing.Any, count: int, small: int, large: int, seed: int
) -> None:
    chance = random.Random(seed)
    sizes = [chance.choice((small, large)) for _ in range(count)]

    async def act() -> None:
        tasks = _start(context, sizes)
        context.gate.reads_on.set()
        await _all_served(context)
        free_at = LONGEST_ROUNDS // 2
        leave_at = [chance.randrange(LONGEST_ROUNDS) for _ in tasks]
        for number in range(LONGEST_ROUNDS):
            if number == free_at:
                context.gate.has_slots.set()
            for task, at in zip(tasks, leave_at, strict=True):
                if number == at:
                    task.cancel()
            await asyncio.sleep(READ_PAUSE_S)
        await _until_ended(context, DEADLINE_S)

    context.run(act())


def _cancel_silently(connection: connections.Connection, call: int) -> None:
    """Cancel a served call, and don't tell the other node of its end."""
    connection.serving[call].cancel()


ENDS = {
    'the connection ends': DEADLINE_S,
    'their deadlines pass': SHORT_DEADLINE_S,
    'the node runs an older version': SHORT_DEADLINE_S,
}
"""Deadlines of the calls in s, by what ends them."""


@behave.when(
    '{count:d} bookings with {size:d} bytes begin there, their callers leave,'
    ' and {end}'
)
def when_ended(context: typing.Any, count: int, size: int, end: str) -> None:
    if end == 'the node runs an older version':
        patch = mock.patch.object(
            connections.Connection, '_cancel_serving', _cancel_silently
        )
        context.stack.enter_context(patch)

    async def act() -> None:
        tasks = _start(context, [size] * count, ENDS[end])
        await _all_begun(context)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(SETTLE_S)
        assert not any(task.done() for task in tasks)
        if end == 'the connection ends':
            closing_steps.transport_of(context.accepted).abort()
        await _until_ended(context, 2 * SHORT_DEADLINE_S)
        assert all(task.done() for task in tasks)
        context.gate.reads_on.set()
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.then('none of the bookings has begun')
def then_not_begun(context: typing.Any) -> None:
    assert not context.gate.begun, context.gate.begun


@behave.then('none of the bookings has run')
def then_not_run(context: typing.Any) -> None:
    assert not context.gate.bodies, context.gate.bodies


@behave.then('all of the bookings have run with their whole bodies')
def then_whole(context: typing.Any) -> None:
    assert context.gate.bodies == context.sizes, context.gate.bodies


@behave.then('each booking has run with its whole body or has not begun')
def then_whole_or_not(context: typing.Any) -> None:
    begun = {key: context.sizes[key] for key in context.gate.begun}
    print(f'{len(begun)} of {len(context.sizes)} have begun')
    assert context.gate.bodies == begun, (context.gate.bodies, begun)


@behave.then('some bookings have run, and some have not begun')
def then_some(context: typing.Any) -> None:
    assert 0 < len(context.gate.begun) < len(context.sizes)


@behave.then('neither node holds anything of them')
def then_nothing_held(context: typing.Any) -> None:
    assert all(task.done() for task in context.calls)
    assert not context.first.streams, context.first.streams
    assert not context.accepted.streams, context.accepted.streams
    assert not context.accepted.serving, context.accepted.serving
    assert not context.runs.detached.running
    assert not context.budget.used_bytes, context.budget.by_place
