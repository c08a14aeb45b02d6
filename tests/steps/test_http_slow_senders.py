"""Steps for requests that arrive slowly at the HTTP server."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import typing

import behave
from structlog import testing

from pomelobend import clock as clocks
from pomelobend.http import server as servers
from pomelobend.memory import budget as budgets
from standins import fleet
from tests.steps import test_http_server as server_steps

ANSWER_S = 6.0
BODY = b'abcdefghijkl'
PARTIAL_HEAD = b'GET /a/ HTTP/1.1\r\nHost: a'


def head(length: int) -> bytes:
    """Return the head of a request with a body."""
    return b'POST /a/ HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n' % (
        server_steps.HOST,
        length,
    )


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a reply, or the name of an error."""
    try:
        async with asyncio.timeout(ANSWER_S):
            return await reader.readuntil(b'\r\n\r\n')
    except (OSError, EOFError, TimeoutError) as error:
        return type(error).__name__.encode()


async def send_parts(
    context: typing.Any, parts: list[bytes], pause_s: float
) -> bytes:
    """Send parts with pauses until a reply comes, and return the reply."""
    reader, writer = await server_steps.connect(context)
    context.stack.callback(writer.close)
    reply = asyncio.create_task(read_reply(reader))
    for part in parts:
        with contextlib.suppress(ConnectionError):
            writer.write(part)
            await writer.drain()
        await asyncio.wait([reply], timeout=pause_s)
        if reply.done():
            break
    return await reply


@behave.given(
    'an HTTP server that gives a head {head_s:f} s and a pause in a body'
    ' {pause_s:f} s'
)
def given_bounds(context: typing.Any, head_s: float, pause_s: float) -> None:
    (context.port,) = fleet.free_ports(1)
    context.handler = server_steps.Handler()
    context.logs = context.stack.enter_context(testing.capture_logs())

    async def start() -> None:
        context.server = servers.Server(
            f'127.0.0.1:{context.port}',
            clocks.SystemClock(),
            context.handler.answer,
            servers.Bounds(2000, 4000, head_s, 30.0, body_pause_s=pause_s),
        )
        await context.server.listen()
        context.stack.callback(context.server.stop_listening)
        task = asyncio.create_task(context.server.sweep())
        context.stack.callback(task.cancel)

    context.run(start())


@behave.given('a limit of {limit_s:f} s for each call')
def given_limit(context: typing.Any, limit_s: float) -> None:
    context.server.limit_s = lambda request: limit_s


@behave.given('memory for {size:d} bytes of bodies that are being received')
def given_memory(context: typing.Any, size: int) -> None:
    context.server.budget = budgets.Budget(size)
    context.server.bounds.body_bytes = size


@behave.when('a body arrives in {count:d} parts with pauses of {pause_s:f} s')
def when_parts(context: typing.Any, count: int, pause_s: float) -> None:
    parts = [bytes([byte]) for byte in BODY[:count]]
    parts[0] = head(count) + parts[0]
    context.answer = context.run(send_parts(context, parts, pause_s))


@behave.when(
    'a header arrives in {count:d} parts of {size:d} bytes with no end'
)
def when_header(context: typing.Any, count: int, size: int) -> None:
    parts = [PARTIAL_HEAD, *itertools.repeat(b'a' * size, count)]
    context.answer = context.run(send_parts(context, parts, 0.05))


@behave.then('the server answers {status:d}')
def then_answers(context: typing.Any, status: int) -> None:
    reply = context.answer.lower()
    assert reply.startswith(b'http/1.1 %d ' % status), reply
    assert (b'connection: close' in reply) == (status != 200), reply


@behave.then('the log says that {why}')
def then_log(context: typing.Any, why: str) -> None:
    assert [item for item in context.logs if item.get('why') == why], (
        context.logs
    )


@behave.when(
    'parts of {first:d}, {second:d} and {third:d} bytes of three bodies arrive'
)
def when_bodies(
    context: typing.Any, first: int, second: int, third: int
) -> None:
    async def act() -> None:
        sizes = [first, second, third]
        clients = []
        for size in sizes:
            reader, writer = await server_steps.connect(context)
            context.stack.callback(writer.close)
            clients.append((reader, writer))
            writer.write(head(size + 1) + b'x' * size)
            await asyncio.sleep(0.05)
        for _, writer in clients:
            writer.write(b'x')
        context.answers = [await read_reply(reader) for reader, _ in clients]

    context.run(act())


@behave.then('the first one is answered with 503 and the others with 200')
def then_largest(context: typing.Any) -> None:
    codes = [int(answer.split()[1]) for answer in context.answers]
    assert codes == [503, 200, 200], context.answers
    assert context.server.budget.used_bytes == 0


@behave.when('{heads:d} heads and {bodies:d} bodies stop half-way')
def when_half_way(context: typing.Any, heads: int, bodies: int) -> None:
    async def act() -> None:
        context.slow = []
        for part in [PARTIAL_HEAD] * heads + [head(4000) + BODY] * bodies:
            reader, writer = await server_steps.connect(context)
            context.stack.callback(writer.close)
            writer.write(part)
            context.slow.append(reader)

    context.run(act())


@behave.then('{count:d} other callers are answered within {limit_s:f} s each')
def then_served(context: typing.Any, count: int, limit_s: float) -> None:
    async def act() -> None:
        for _ in range(count):
            started = time.monotonic()
            reply = await send_parts(context, [head(1) + b'x'], limit_s)
            assert reply.startswith(b'HTTP/1.1 200 '), reply
            assert time.monotonic() < started + limit_s

    context.run(act())


@behave.then(
    'all {count:d} slow senders are answered with 408 and nothing is left of'
    ' them'
)
def then_given_up(context: typing.Any, count: int) -> None:
    async def act() -> list[bytes]:
        return [await read_reply(reader) for reader in context.slow]

    replies = context.run(act())
    given_up = [r for r in replies if r.startswith(b'HTTP/1.1 408 ')]
    assert len(given_up) == count, (len(given_up), set(replies))
    assert context.server.budget.used_bytes == 0
