"""Steps for the last reply on a connection of the HTTP server."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
import typing

import behave

from pomelobend.http import message
from tests.steps import test_http_closing as closing_steps
from tests.steps import test_http_server as server_steps

FIRST_PARTS = {
    400: b'POST /a/ HTTP/1.1\r\nContent-Length: 3000\r\n\r\n',
    408: b'POST /a/ HTTP/1.1\r\nHost: a',
    413: (
        b'POST /a/ HTTP/1.1\r\n%bContent-Length: 900000\r\n\r\n'
        % server_steps.HOST
    ),
}
REFUSED_AFTER_S = {400: 0.1, 408: 1.2, 413: 0.1}
PART = b'a' * 4096
LARGE_BYTES = 16 * 1024 * 1024
MAX_END_S = 10.0


def send_parts(
    client: socket.socket, count: int | None, pause_s: float
) -> str:
    """Send parts, or without an end; return the name of an error or ''."""
    numbers = itertools.count() if count is None else range(count)
    try:
        for _ in numbers:
            client.sendall(PART)
            time.sleep(pause_s)
    except OSError as error:
        return type(error).__name__
    return ''


def sweep_at_times(context: typing.Any) -> None:
    """Run the checks of the server until the end of the scenario."""
    task = context.loop.create_task(context.server.sweep())
    context.stack.callback(task.cancel)


@behave.when('a client goes on sending after what is refused with {status:d}')
def when_goes_on(context: typing.Any, status: int) -> None:
    client = closing_steps.open_client(context)

    def act() -> None:
        client.sendall(FIRST_PARTS[status])
        time.sleep(REFUSED_AFTER_S[status])
        context.error = send_parts(client, 10, 0.02)
        context.answer = closing_steps.read_available(client)

    sweep_at_times(context)
    context.run(asyncio.to_thread(act))


@behave.then(
    'it could send all and receives {status:d} and the end of the connection'
)
def then_refused(context: typing.Any, status: int) -> None:
    assert not context.error, (context.error, context.answer)
    assert context.answer.startswith(b'HTTP/1.1 %d ' % status), context.answer
    assert context.answer.endswith(b'connection: close\r\n\r\n'), (
        context.answer
    )


@behave.when(
    'a client sends a request behind one whose large reply it reads slowly in'
    ' a stop'
)
def when_large(context: typing.Any) -> None:
    client = closing_steps.open_client(context)

    async def answer_large(request: message.Request) -> message.Reply:
        context.server.stop_listening()
        return message.Reply(200, [], b'x' * LARGE_BYTES)

    def read() -> None:
        client.sendall(closing_steps.request(b'/large/'))
        context.answer = client.recv(65536)
        time.sleep(0.2)
        client.sendall(closing_steps.request(b'/behind/'))
        time.sleep(0.3)
        context.answer += closing_steps.read_available(client)

    context.server.answer = answer_large
    context.run(asyncio.to_thread(read))


@behave.then('it has received the whole large reply')
def then_large(context: typing.Any) -> None:
    body = context.answer.partition(b'\r\n\r\n')[2]
    assert body == b'x' * LARGE_BYTES, (len(body), body[-40:])


@behave.when('a client {what} after its last reply')
def when_stays(context: typing.Any, what: str) -> None:
    client = closing_steps.open_client(context)
    server = context.server

    def act() -> None:
        client.sendall(FIRST_PARTS[413])
        if what != 'keeps silent':
            pause_s = 0.1 if what == 'sends slowly' else 0.0
            send_parts(client, None, pause_s)

    async def wait() -> None:
        sending = asyncio.create_task(asyncio.to_thread(act))
        await asyncio.sleep(0.1)
        started = time.monotonic()
        server.stop_listening()
        server.close_idle()
        async with asyncio.timeout(MAX_END_S):
            while server.in_flight:
                await asyncio.sleep(0.02)
            context.held_s = time.monotonic() - started
            while server.connections:
                await asyncio.sleep(0.02)
        context.end_s = time.monotonic() - started
        await sending

    context.run(wait())


@behave.then('the connection ends within {end_s:f} s')
def then_ended(context: typing.Any, end_s: float) -> None:
    assert context.end_s < end_s, context.end_s


@behave.then('a stop is held up for less than {held_s:f} s')
def then_held(context: typing.Any, held_s: float) -> None:
    assert context.held_s < held_s, context.held_s
