"""Steps of answers that do not end."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import re
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.memory import budget as budgets
from pomelobend.memory import watch
from pomelobend.platform import dialect
from pomelobend.routing import call as call_module
from pomelobend.targets import channel_pool as channel_pools
from pomelobend.targets import client as target_clients
from standins import fleet
from tests.steps import test_targets_channel

LIMIT_BYTES = 4 * 1024 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
BLOCK = b'b' * 65536
SOON_S = 10.0
SEQUENCE_DEADLINE_S = 2.0
ARRIVAL_S = 0.2
LOOK_S = 0.005

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n'
ENDLESS = {
    'one header': (HEAD + b'X-Long: ', BLOCK),
    'one header name': (HEAD + b'X-', BLOCK),
    'headers': (HEAD, b'X-One: %b\r\n' % (b'v' * 100)),
    'a status text': (b'HTTP/1.1 200 ', BLOCK),
    'informational answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'answers of another call': (b'', OTHER * 100),
    'blank lines': (b'', b'\r\n' * 1000),
    'a chunk extension': (CHUNKED + b'5;', BLOCK),
    'a trailer': (CHUNKED + b'5\r\nbells\r\n0\r\nX-Long: ', BLOCK),
    'chunks': (CHUNKED, b'10000\r\n' + BLOCK + b'\r\n'),
    'chunks after a large head': (
        HEAD + b'a:\r\n' * 1800 + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'a body until the close': (HEAD + b'\r\n', BLOCK),
    'chunks of 1 byte': (CHUNKED, b'1\r\nb\r\n' * 10_000),
    'chunks of 2 bytes': (CHUNKED, b'2\r\nbb\r\n' * 10_000),
    'chunks of 9 bytes': (CHUNKED, b'9\r\nbbbbbbbbb\r\n' * 5_000),
    'headers of 1 byte': (HEAD, b'a:\r\n' * 10_000),
    'other answers in tiny chunks': (
        b'',
        CHUNKED.replace(b'%b', b'other')
        + b'2\r\nbb\r\n' * 9_000
        + b'0\r\n\r\n',
    ),
}
"""First bytes of each answer, and the bytes that are repeated after them."""


@attrs.define
class Target:
    """A target that writes to each call what a function returns for it."""

    answer: typing.Callable[[int, bytes], typing.Iterable[bytes]]
    calls: int = 0
    sent_bytes: int = 0
    is_closing: bool = False
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                attempt_id = re.search(rb'x-attempt-id: (\S+)', head)[1]
                self.calls += 1
                for data in self.answer(self.calls, attempt_id):
                    writer.write(data)
                    self.sent_bytes += len(data)
                    await writer.drain()
                if self.is_closing:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _start(
    context: typing.Any,
    answer: typing.Callable[[int, bytes], typing.Iterable[bytes]],
) -> None:
    (port,) = fleet.free_ports(1)
    context.target = Target(answer)
    context.run(
        test_targets_channel.start_server(context, context.target.serve, port)
    )
    context.stack.push_async_callback(_stop, context.target)
    clock = clocks.SystemClock()
    context.client = target_clients.Client(
        clock,
        channel_pools.ChannelPool(clock),
        1.0,
        dialect.TargetDialect(),
        buffers_bodies=True,
        budget=budgets.Budget(round(LIMIT_BYTES / budgets.LARGE_SHARE)),
    )
    context.client.use(f'127.0.0.1:{port}')


async def _stop(target: Target) -> None:
    for task in target.tasks:
        task.cancel()
    await asyncio.wait(target.tasks)


def _endless(what: str, attempt_id: bytes) -> typing.Iterable[bytes]:
    first, repeated = ENDLESS[what]
    start = first.replace(b'%b', attempt_id)
    return itertools.chain([start], itertools.repeat(repeated))


def _whole(attempt_id: bytes, size: int) -> list[bytes]:
    length = b'Content-Length: %d\r\n\r\n' % size
    return [HEAD % attempt_id + length + b'b' * size]


@behave.given('an answer with {what} without end')
def given_endless(context: typing.Any, what: str) -> None:
    _start(context, lambda _, attempt_id: _endless(what, attempt_id))


@behave.given('an answer of {size:d} bytes in chunks of {each:d}')
def given_chunked(context: typing.Any, size: int, each: int) -> None:
    context.size = size
    whole, rest = divmod(size, each)
    chunks = _chunk(each) * whole + (_chunk(rest) if rest else b'')
    _start(
        context,
        lambda _, attempt_id: [CHUNKED % attempt_id, chunks, b'0\r\n\r\n'],
    )


def _chunk(size: int) -> bytes:
    return b'%x\r\n%b\r\n' % (size, b'b' * size)


@behave.given('an answer of {size:d} bytes until the close')
def given_until_close(context: typing.Any, size: int) -> None:
    context.size = size
    _start(
        context,
        lambda _, attempt_id: [HEAD % attempt_id + b'\r\n' + b'b' * size],
    )
    context.target.is_closing = True


@behave.given('an announced body beyond the limit')
def given_announced(context: typing.Any) -> None:
    length = b'Content-Length: %d\r\n\r\n' % (LIMIT_BYTES + 1)
    _start(context, lambda _, attempt_id: [HEAD % attempt_id + length])


@behave.given('an answer as large as the limit')
def given_large(context: typing.Any) -> None:
    context.size = LIMIT_BYTES
    _start(context, lambda _, attempt_id: _whole(attempt_id, LIMIT_BYTES))


@behave.given('1 MiB of another call before an answer')
def given_late(context: typing.Any) -> None:
    context.size = 5
    _start(
        context,
        lambda _, attempt_id: (
            _whole(b'other', 1024 * 1024) + _whole(attempt_id, 5)
        ),
    )


@behave.given('chunks without end for the first of {count:d} calls')
def given_one_endless(context: typing.Any, count: int) -> None:
    context.size = 100_000

    def answer(number: int, attempt_id: bytes) -> typing.Iterable[bytes]:
        if number == 1:
            return _endless('chunks', attempt_id)
        return _whole(attempt_id, context.size)

    _start(context, answer)


def new_call(
    client: target_clients.Client, number: int, deadline_s: float
) -> call_module.Call:
    """Return a call with the deadline."""
    now = client.clock.monotonic()
    return call_module.Call(
        route_name='lookup',
        service='tonabok',
        method='GET',
        path=b'/a/',
        headers=[('host', 'a.example'), ('x-attempt-id', f'a{number}')],
        started=now,
        deadline=now + deadline_s,
        is_idempotent=True,
        priority=1,
        objective_ms=500,
    )


async def _send(
    client: target_clients.Client, number: int, deadline_s: float
) -> bytes | errors.Reason:
    """Send a call; return the body of its answer, or why there is none."""
    call = new_call(client, number, deadline_s)
    try:
        return (await client.call(call)).body
    except errors.CallRefusedError as refusal:
        return refusal.reason


@behave.when('the target gets a call with a deadline of {seconds:d} s')
def when_called(context: typing.Any, seconds: int) -> None:
    clock = context.client.clock
    started = clock.monotonic()
    context.outcome = context.run(_send(context.client, 1, seconds))
    context.seconds = clock.monotonic() - started


@behave.when('the target gets a HEAD call')
def when_head(context: typing.Any) -> None:
    async def act() -> int:
        call = attrs.evolve(new_call(context.client, 1, 2.0), method='HEAD')
        return (await context.client.call(call)).status

    context.status = context.run(act())


@behave.then('its answer has status {status:d}')
def then_status(context: typing.Any, status: int) -> None:
    assert context.status == status, context.status


@behave.when('the target gets {count:d} calls at a time')
def when_called_often(context: typing.Any, count: int) -> None:
    async def act() -> list[bytes | errors.Reason]:
        first = asyncio.create_task(_send(context.client, 0, 20.0))
        while not context.target.calls:
            await asyncio.sleep(0.001)
        others = [_send(context.client, n, 20.0) for n in range(1, count)]
        return [*await asyncio.gather(*others), await first]

    *context.outcomes, context.outcome = context.run(act())


@behave.when(
    'the target gets {count:d} calls at a time whose memory is measured'
)
def when_measured(context: typing.Any, count: int) -> None:
    async def act() -> list[bytes | errors.Reason]:
        found = [_send(context.client, n, 20.0) for n in range(count)]
        return await asyncio.gather(*found)

    before = watch.resident_bytes()
    context.outcomes, peak_bytes = context.run(_measured(act()))
    context.held_bytes = peak_bytes - before


@behave.when(
    'the target gets {count:d} calls in sequence without the garbage collector'
)
def when_uncollected(context: typing.Any, count: int) -> None:
    async def act() -> list[bytes | errors.Reason]:
        return [await _send(context.client, n, 20.0) for n in range(count)]

    gc.collect()
    gc.disable()
    context.stack.callback(gc.enable)
    context.client.budget.collect_garbage = lambda: None
    before = watch.resident_bytes()
    context.outcomes, peak_bytes = context.run(_measured(act()))
    context.held_bytes = peak_bytes - before


async def _measured(
    work: typing.Coroutine[None, None, list],
) -> tuple[list, int]:
    """Return a result, and the most memory of this process meanwhile."""
    task = asyncio.create_task(work)
    peak_bytes = 0
    while not task.done():
        peak_bytes = max(peak_bytes, watch.resident_bytes())
        await asyncio.sleep(LOOK_S)
    return task.result(), peak_bytes


@behave.then('all of them end as lost')
def then_all_lost(context: typing.Any) -> None:
    expected = errors.Reason.TARGET_LOST
    assert all(item is expected for item in context.outcomes)


@behave.then('at most {size:d} MiB were held for them at a time')
def then_held(context: typing.Any, size: int) -> None:
    assert context.held_bytes <= size * 1024 * 1024, context.held_bytes


@behave.then('the call ends as lost, well before its deadline')
def then_lost(context: typing.Any) -> None:
    assert context.outcome is errors.Reason.TARGET_LOST, context.outcome
    assert context.seconds < SOON_S, context.seconds


@behave.then('the target has sent less than 64 MiB')
def then_sent(context: typing.Any) -> None:
    sent = context.target.sent_bytes
    assert sent < MAX_SENT_BYTES, sent


@behave.then('the body arrives whole')
def then_whole(context: typing.Any) -> None:
    assert context.outcome == b'b' * context.size, len(context.outcome)


@behave.then('all calls but the first are answered')
def then_others(context: typing.Any) -> None:
    assert context.outcome is errors.Reason.TARGET_LOST, context.outcome
    expected = b'b' * context.size
    assert all(item == expected for item in context.outcomes)


def _size(number: int) -> int:
    """Return the size of the answer to a call, from 200 KiB to 2 MiB."""
    return 200 * 1024 + number * 7919 % (2 * 1024 * 1024)


@behave.given('answers of 200 KiB to 2 MiB on kept connections')
def given_kept(context: typing.Any) -> None:
    _start(
        context, lambda number, attempt_id: _whole(attempt_id, _size(number))
    )


@behave.when('the target gets {count:d} calls in sequence')
def when_in_sequence(context: typing.Any, count: int) -> None:
    async def act() -> list[bytes | errors.Reason]:
        return [
            await _send(context.client, number, SEQUENCE_DEADLINE_S)
            for number in range(1, count + 1)
        ]

    context.outcomes = context.run(act())


@behave.then('each call has received its own answer')
def then_own(context: typing.Any) -> None:
    found = [
        outcome if isinstance(outcome, errors.Reason) else len(outcome)
        for outcome in context.outcomes
    ]
    expected = [_size(number + 1) for number in range(len(found))]
    assert found == expected, found


@behave.when(
    'a call is broken off after the head of its answer, and another follows'
)
def when_broken_off(context: typing.Any) -> None:
    client = context.client
    client.buffers_bodies = False

    async def act() -> bytes | errors.Reason:
        call = new_call(client, 1, SEQUENCE_DEADLINE_S)
        answer = await client.call(call)
        async with contextlib.aclosing(answer.remaining_body) as parts:
            await anext(parts)
            await asyncio.sleep(ARRIVAL_S)
        client.buffers_bodies = True
        return await _send(client, 2, SEQUENCE_DEADLINE_S)

    context.outcome = context.run(act())


@behave.then('the second call has received its own answer')
def then_second_own(context: typing.Any) -> None:
    assert len(context.outcome) == _size(2), len(context.outcome)
