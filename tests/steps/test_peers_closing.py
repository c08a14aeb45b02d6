"""Steps for the end of connections between nodes, on the loopback."""

from __future__ import annotations

import asyncio
import socket
import time
import typing

import behave

from pomelobend import calls as call_values
from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import callee as callees
from pomelobend.peers import caller as peer_callers
from pomelobend.peers import messages
from pomelobend.routing import call as call_module
from pomelobend.routing import target_stats
from standins import fleet
from tests.steps import test_peers_pool as pool_steps

if typing.TYPE_CHECKING:
    from pomelobend.peers import pool as pools

DEADLINE_S = 12.0
BUFFER_BYTES = 16 * 1024
STOP_S = 2.5


class Guard:
    """A target that answers each call with a body, by default at once."""

    free = 1
    wait_ms = 0

    def __init__(self, size: int) -> None:
        self.body = b'a' * size
        self.work_s = 0.0
        self.runs: list[str] = []

    async def run(self, path: str) -> call_values.Answer:
        """Run a call."""
        self.runs.append(path)
        if self.work_s:
            await asyncio.sleep(self.work_s)
        return call_values.Answer(200, [], self.body)


def new_call(number: int) -> call_module.Call:
    """Return a call that is not idempotent."""
    now = clocks.SystemClock().monotonic()
    return call_module.Call(
        route_name='booking',
        service='tonabok',
        method='POST',
        path=f'/booking/{number}'.encode(),
        headers=[],
        started=now,
        deadline=now + DEADLINE_S,
        is_idempotent=False,
        priority=1,
        objective_ms=1000,
    )


async def send(context: typing.Any, number: int) -> bytes | errors.Run:
    """Send a call to the node with the target, as ``send_to``."""
    return await send_to(context.accepting, context.dialling, number)


async def send_to(
    accepting: pools.Pool, dialling: pools.Pool, number: int
) -> bytes | errors.Run:
    """Send a call; return the body of its answer, or whether it has run."""
    caller = peer_callers.Caller(dialling, clocks.SystemClock())
    member = members.Member('n2', 1, 0, 'vik', accepting.hello.address)
    stats = target_stats.TargetStats(1)
    try:
        answer = await caller.call(new_call(number), member, stats)
        body = answer.body
        if answer.remaining_body is not None:
            async for part in answer.remaining_body:
                body += part
    except errors.CallRefusedError as refusal:
        return refusal.run
    except errors.PomelobendError:
        return errors.Run.UNKNOWN
    return body


def transport_of(connection: typing.Any) -> typing.Any:
    """Return the transport of a connection."""
    return connection.link.transport.underlying_transport


def limit_buffers(context: typing.Any) -> None:
    """Make the kernel hold little of what is sent to the other node."""
    for connection, option in (
        (context.accepted, socket.SO_SNDBUF),
        (context.first, socket.SO_RCVBUF),
    ):
        sock = transport_of(connection).get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)


@behave.given('a node with a target and another node with a connection to it')
def given_nodes(context: typing.Any) -> None:
    async def start() -> None:
        addresses = [f'127.0.0.1:{port}' for port in fleet.free_ports(2)]
        context.dialling = pool_steps.open_pool('n1', addresses[0])
        context.accepting = pool_steps.open_pool('n2', addresses[1])
        context.guard = Guard(0)
        context.accepting.handler = callees.Callee(
            context.guard, lambda start, _: start.path
        )
        await context.accepting.listen()
        context.first = await context.dialling.get(addresses[1])
        await pool_steps.until(lambda: context.accepting.all())
        (context.accepted,) = context.accepting.all()
        limit_buffers(context)
        context.stack.push_async_callback(context.accepting.close)
        context.stack.push_async_callback(context.dialling.close)

    context.run(start())


@behave.when(
    'the other node is held up for {held_s:g} s after {count:d} calls with '
    'answers of {size:d} bytes'
)
def when_held_up(
    context: typing.Any, held_s: float, count: int, size: int
) -> None:
    context.guard.body = b'a' * size
    transport = transport_of(context.first)

    async def act() -> None:
        context.calls = [
            asyncio.create_task(send(context, number))
            for number in range(count)
        ]
        for task in context.calls:
            context.stack.callback(task.cancel)
        transport.pause_reading()
        context.loop.call_later(held_s, transport.resume_reading)
        await pool_steps.until(lambda: len(context.guard.runs) == count)
        await pool_steps.until(lambda: has_sent_all_it_can(context.accepted))

    context.run(act())


def has_sent_all_it_can(connection: typing.Any) -> bool:
    """Return whether the calls have ended, or wait for the other node."""
    return not connection.serving or connection.link.is_write_paused


@behave.when('the node stops as soon as it has nothing in flight')
def when_stops(context: typing.Any) -> None:
    pool = context.accepting

    async def act() -> None:
        context.began_at = time.monotonic()
        end = context.began_at + STOP_S
        while pool.in_flight and time.monotonic() < end:
            await asyncio.sleep(0.02)
        await pool.close(end - time.monotonic())
        context.ended_at = time.monotonic()

    context.run(act())


@behave.then('all these calls get their whole answers')
def then_whole(context: typing.Any) -> None:
    async def act() -> None:
        found = await asyncio.gather(*context.calls)
        short = [answer for answer in found if answer != context.guard.body]
        assert not short, f'{len(short)} of {len(found)}'

    context.run(act())


@behave.then('the stop has taken at most {seconds:g} s')
def then_took(context: typing.Any, seconds: float) -> None:
    took = context.ended_at - context.began_at
    assert took <= seconds, took


@behave.when(
    'the last parts of an answer arrive just before its connection ends'
)
def when_last_parts(context: typing.Any) -> None:
    async def act() -> None:
        stream = context.first.open_stream()
        stream.deliver(messages.BodyPart(stream.call, b'rest', False))
        stream.deliver(messages.BodyPart(stream.call, b'', True))
        context.first.link.fail(errors.LinkClosedError('closed there'))
        assert not context.first.is_closed
        body = stream.body(b'first ')
        context.body = b''.join([part async for part in body])

    context.run(act())


@behave.then('the answer is read to its end')
def then_read(context: typing.Any) -> None:
    assert context.body == b'first rest', context.body


async def until_reading(context: typing.Any) -> None:
    """Wait until a message is read that has not been handled yet."""
    async with asyncio.timeout(STOP_S):
        while not context.accepted.link.inbox:
            await asyncio.sleep(0)


@behave.when(
    'a call of the other node reaches the node {when} as it closes its '
    'connections'
)
def when_call_at_end(context: typing.Any, when: str) -> None:
    async def act() -> None:
        call = asyncio.create_task(send(context, 1))
        await asyncio.sleep(0)
        if when == 'in its last reading':
            await until_reading(context)
        await context.accepting.close()
        context.answer = await call

    context.run(act())


@behave.when(
    'the node closes its connections while a call of the other node runs'
)
def when_call_runs(context: typing.Any) -> None:
    context.guard.work_s = DEADLINE_S

    async def act() -> None:
        call = asyncio.create_task(send(context, 1))
        await pool_steps.until(lambda: context.guard.runs)
        await context.accepting.close()
        context.answer = await call

    context.run(act())


@behave.then('the call was refused as not run')
def then_not_run(context: typing.Any) -> None:
    assert context.answer is errors.Run.NOT_RUN, context.answer


@behave.then('the call was refused with its outcome unknown')
def then_unknown(context: typing.Any) -> None:
    assert context.answer is errors.Run.UNKNOWN, context.answer


@behave.then('the target has run no call')
def then_none_run(context: typing.Any) -> None:
    assert not context.guard.runs, context.guard.runs


async def call_before_end(delay_s: float) -> tuple[typing.Any, int]:
    """Send a call shortly before a node closes its connections.

    Returns its result and how often it has run.
    """
    addresses = [f'127.0.0.1:{port}' for port in fleet.free_ports(2)]
    dialling = pool_steps.open_pool('n1', addresses[0])
    accepting = pool_steps.open_pool('n2', addresses[1])
    guard = Guard(10)
    accepting.handler = callees.Callee(guard, lambda start, _: start.path)
    await accepting.listen()
    call = asyncio.create_task(send_to(accepting, dialling, 1))
    await asyncio.sleep(delay_s)
    while accepting.in_flight:
        await asyncio.sleep(0)
    await accepting.close()
    answer = await call
    await dialling.close()
    return answer, len(guard.runs)


@behave.when(
    'calls of new nodes begin 0 to {most_ms:d} ms before the node closes its '
    'connections'
)
def when_calls_at_end(context: typing.Any, most_ms: int) -> None:
    async def act() -> None:
        context.found = [
            await call_before_end(step / 10_000)
            for step in range(10 * most_ms)
        ]

    context.run(act())


@behave.then('each call has run or was refused as not run')
def then_run_or_refused(context: typing.Any) -> None:
    wrong = [
        answer
        for answer, runs in context.found
        if not runs and answer is not errors.Run.NOT_RUN
    ]
    assert not wrong, f'{len(wrong)} of {len(context.found)}'
    assert any(runs for _, runs in context.found)
    assert not all(runs for _, runs in context.found)
