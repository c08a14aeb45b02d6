"""Steps of requests that an HTTP server refuses by their heads."""

from __future__ import annotations

import asyncio
import re
import typing

import behave
import hypothesis
from hypothesis import strategies

from pomelobend import clock as clocks
from pomelobend.http import message
from pomelobend.http import server as servers
from standins import fleet
from tests.steps import test_http_server as server_steps

HOST = server_steps.HOST
KEY = b'X-Key: 1\r\n'
ACCEPTED = b'GET /a/ HTTP/1.1\r\n%b%b\r\n' % (HOST, KEY)
SMUGGLED = b'GET /smuggled/ HTTP/1.1\r\n%b%b\r\n' % (HOST, KEY)
CHUNKED = b'Transfer-Encoding: chunked\r\n'
BODIES = {
    'in one piece': (b'Content-Length: 5\r\n', b'hello'),
    'in chunks': (CHUNKED, b'2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'),
    'that looks like a request': (
        b'Content-Length: %d\r\n' % len(SMUGGLED),
        SMUGGLED,
    ),
    'of 2 MiB': (b'Content-Length: 2097152\r\n', b'x' * 2097152),
}
BAD = {
    'and a chunk that is not valid': (CHUNKED, b'zz\r\n'),
    'and a body that stops short': (b'Content-Length: 9\r\n', b'short'),
    'and a body that exceeds the limit': (
        CHUNKED,
        b'100000\r\n%b\r\n' % (b'x' * 0x100000) * 5,
    ),
}
BODY_PAUSE_S = 0.4
STATUS = re.compile(rb'HTTP/1\.1 (\d+) ')


def head(fields: bytes = b'') -> bytes:
    """Return the head of a request without a key."""
    return b'POST /a/ HTTP/1.1\r\n%b%b\r\n' % (HOST, fields)


@behave.given('an HTTP server that refuses heads without a key')
def given_server(context: typing.Any) -> None:
    (context.port,) = fleet.free_ports(1)
    context.handler = server_steps.Handler()

    def check(request: message.Request) -> message.Reply | None:
        return None if request.header('x-key') else message.Reply(401)

    async def start() -> None:
        context.server = servers.Server(
            f'127.0.0.1:{context.port}',
            clocks.SystemClock(),
            context.handler.answer,
            servers.Bounds(
                2000, 4 * 1024 * 1024, 0.4, 30.0, body_pause_s=BODY_PAUSE_S
            ),
            check_head=check,
        )
        await context.server.listen()
        task = asyncio.create_task(context.server.sweep())
        context.stack.callback(task.cancel)
        context.stack.callback(context.server.stop_listening)

    context.run(start())


async def read_reply(reader: asyncio.StreamReader) -> int:
    """Return the status of a reply, and read its body."""
    async with asyncio.timeout(3):
        text = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', text)
        await reader.readexactly(int(length[1]))
    return int(STATUS.match(text)[1])


@behave.when(
    'a client sends a head without a key, waits for the reply and then sends '
    'its body {how}'
)
def when_sent(context: typing.Any, how: str) -> None:
    fields, body = BODIES[how]

    async def act() -> None:
        context.reader, writer = await server_steps.connect(context)
        context.writer = writer
        writer.write(head(fields))
        context.status = await read_reply(context.reader)
        context.held = []
        middle = len(body) // 2
        writer.write(body[:middle])
        await writer.drain()
        await asyncio.sleep(0.1)
        context.held = dict(context.server.budget.by_place)
        writer.write(body[middle:])
        writer.write(ACCEPTED)
        await writer.drain()

    context.run(act())


@behave.then('the reply came before the body and has status 401')
def then_early(context: typing.Any) -> None:
    assert context.status == 401, context.status


@behave.then('nothing was held while the body came')
def then_not_held(context: typing.Any) -> None:
    assert not any(context.held.values()), context.held


@behave.then(
    'a request with a key on the same connection is answered with 200'
)
def then_usable(context: typing.Any) -> None:
    assert context.run(read_reply(context.reader)) == 200
    context.writer.close()


@behave.then('only the request with a key was handled')
def then_one(context: typing.Any) -> None:
    targets = [request.target for request in context.handler.requests]
    assert targets == [b'/a/'], targets


@behave.when(
    'a slow request, one without a key that has a body and another one are '
    'pipelined'
)
def when_pipelined(context: typing.Any) -> None:
    fields, body = BODIES['that looks like a request']
    slow = b'GET /slow/ HTTP/1.1\r\n%b%b\r\n' % (HOST, KEY)
    data = slow + head(fields) + body + ACCEPTED
    context.answer = context.run(server_steps.replies_to(context, data))


@behave.then('the statuses are 200, 401 and 200')
def then_statuses(context: typing.Any) -> None:
    found = STATUS.findall(context.answer)
    assert found == [b'200', b'401', b'200'], context.answer


@behave.when(
    'a client asks to go on with a body and sends another request in its place'
)
def when_asks(context: typing.Any) -> None:
    fields = b'Expect: 100-continue\r\nContent-Length: 500\r\n'
    data = head(fields) + SMUGGLED
    context.answer = context.run(server_steps.replies_to(context, data))


@behave.when('a head without a key is sent, {what}')
def when_bad(context: typing.Any, what: str) -> None:
    fields, body = BAD[what]
    data = head(fields) + body
    context.answer = context.run(server_steps.replies_to(context, data))


@behave.then(
    'it gets 401 once and no interim response, and the connection ends'
)
def then_once(context: typing.Any) -> None:
    assert STATUS.findall(context.answer) == [b'401'], context.answer

    async def until_ended() -> None:
        async with asyncio.timeout(8):
            while context.server.connections:
                await asyncio.sleep(0.05)

    context.run(until_ended())


@behave.then('no request was handled')
def then_none(context: typing.Any) -> None:
    assert not context.handler.requests, context.handler.requests


@behave.when('the server stops after a refusal whose body has not come')
def when_stops(context: typing.Any) -> None:
    async def act() -> None:
        reader, context.writer = await server_steps.connect(context)
        context.writer.write(head(b'Content-Length: 9\r\n'))
        assert await read_reply(reader) == 401
        await asyncio.sleep(0.35)
        context.server.stop_listening()
        context.server.close_idle()

    context.run(act())


@behave.then('no request is in flight any more')
def then_not_in_flight(context: typing.Any) -> None:
    assert context.server.in_flight == 0


@behave.then(
    'any sequence of requests, however it is cut, gets one reply each in order'
)
def then_any(context: typing.Any) -> None:
    fields, body = BODIES['that looks like a request']
    chunk_fields, chunks = BODIES['in chunks']
    requests = {
        ACCEPTED: b'200',
        head(): b'401',
        head(fields) + body: b'401',
        head(chunk_fields) + chunks: b'401',
        head(KEY + chunk_fields) + chunks: b'200',
    }

    async def send(data: bytes, size: int, count: int) -> list[bytes]:
        reader, writer = await server_steps.connect(context)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0)
        found = [b'%d' % await read_reply(reader) for _ in range(count)]
        writer.close()
        return found

    @hypothesis.settings(
        max_examples=100, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(sorted(requests)), min_size=1, max_size=5
        ),
        strategies.integers(1, 400),
    )
    def check(sent: list[bytes], size: int) -> None:
        found = context.run(send(b''.join(sent), size, len(sent)))
        assert found == [requests[data] for data in sent], (sent, found)

    check()
