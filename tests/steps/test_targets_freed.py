"""Steps of calls that are freed once they have failed."""

from __future__ import annotations

import asyncio
import contextlib
import types
import typing
import weakref

import attrs
import behave

from pomelobend import errors
from pomelobend.mesh import kept_runs
from tests import collector
from tests.steps import test_targets_endless as endless_steps

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import calls
    from pomelobend import clock as clocks
    from pomelobend.routing import call as call_module
    from pomelobend.targets import client as target_clients

DEADLINE_S = 20.0
LATE_S = 0.3
BODY = b'bells'


async def _upload(*, is_cut: bool) -> abc.AsyncIterator[bytes]:
    yield BODY
    if is_cut:
        raise errors.CallRefusedError(errors.Reason.BODY_INCOMPLETE)


@behave.when(
    '{count:d} uploads are sent in sequence without the garbage collector,'
    ' and their {side} off'
)
def when_uploaded(context: typing.Any, count: int, side: str) -> None:
    client = context.client

    async def send(number: int) -> errors.Reason | None:
        call = attrs.evolve(
            endless_steps.new_call(client, number, DEADLINE_S),
            method='POST',
            remaining_body=_upload(is_cut=side == 'callers break'),
        )
        context.calls.append(weakref.ref(call))
        try:
            await client.call(call)
        except errors.CallRefusedError as refusal:
            return refusal.reason
        return None

    async def act() -> list[errors.Reason | None]:
        return [await send(number) for number in range(count)]

    context.calls = []
    collector.disable(context)
    context.reasons = context.run(act())


@behave.then('all of them are refused for {reason}')
def then_refused(context: typing.Any, reason: str) -> None:
    assert set(context.reasons) == {errors.Reason(reason)}, context.reasons


@behave.then('none of the calls is held')
def then_freed(context: typing.Any) -> None:
    held = sum(call() is not None for call in context.calls)
    assert context.calls
    assert held == 0, f'{held} of {len(context.calls)}'


@attrs.define(eq=False)
class Gate:
    """A gate that lets each call begin at once."""

    client: target_clients.Client
    slots: typing.Any = attrs.field(
        factory=lambda: types.SimpleNamespace(expected_ends={})
    )

    @property
    def clock(self) -> clocks.Clock:
        """Return the clock of the client."""
        return self.client.clock

    async def run(self, call: call_module.Call) -> calls.Answer:
        """Run a call."""
        self.slots.expected_ends[call] = call.deadline
        try:
            return await self.client.call(call)
        finally:
            del self.slots.expected_ends[call]


@behave.when(
    '{count:d} calls pass their deadlines {when} without the garbage collector'
)
def when_late(context: typing.Any, count: int, when: str) -> None:
    runs = kept_runs.KeptRuns(Gate(context.client))

    async def send(number: int) -> None:
        call = attrs.evolve(
            endless_steps.new_call(context.client, number, LATE_S),
            is_idempotent=False,
        )
        context.calls.append(weakref.ref(call))
        with contextlib.suppress(errors.CallRefusedError):
            await runs.run(call)

    async def act() -> None:
        tasks = [asyncio.create_task(send(n)) for n in range(count)]
        await asyncio.sleep(LATE_S / 2)
        if when == 'after their callers have left':
            for task in tasks:
                task.cancel()
        await asyncio.wait(tasks)
        del tasks
        await asyncio.sleep(LATE_S)

    context.calls = []
    collector.disable(context)
    context.run(act())
