"""Steps of calls to a target that answers in ways of its own."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.platform import headers as wire
from pomelobend.routing import call as call_module
from pomelobend.targets import channel as channels
from pomelobend.targets import client as target_clients
from standins import fleet

LEFT_S = 0.8


def whole(identity: bytes, *extra: bytes, body: bytes = b'bells') -> bytes:
    """Return a whole answer to a call."""
    lines = [
        b'HTTP/1.1 200 OK',
        b'X-Attempt-Id: ' + identity,
        b'X-Response-Signature: s',
        *extra,
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def _status(identity: bytes, line: bytes, *extra: bytes) -> bytes:
    head = [b'HTTP/1.1 ' + line, b'X-Attempt-Id: ' + identity, *extra]
    return b'\r\n'.join([*head, b'Content-Length: 0']) + b'\r\n\r\n'


LENGTH = b'Content-Length: 5'
ANSWERS = {
    'is whole': lambda i: whole(i, LENGTH),
    'has no length and ends': lambda i: whole(i),
    'has no length and is reset': lambda i: whole(i),
    'is cut short of its length': lambda i: whole(i, b'Content-Length: 9'),
    'ends within its chunks': lambda i: whole(
        i, b'Transfer-Encoding: chunked', body=b'9\r\nbells'
    ),
    'comes after one of another call': lambda i: (
        whole(b'other', LENGTH, body=b'wrong') + whole(i, LENGTH)
    ),
    'is followed by a second one': lambda i: (
        whole(i, LENGTH) + whole(i, LENGTH, body=b'wrong')
    ),
    'is a success without a signature': lambda i: _status(i, b'200 OK'),
    'says that it did not run': lambda i: _status(
        i, b'503 Busy', b'X-Not-Executed: 1'
    ),
    'says that another target is there': lambda i: _status(
        i, b'421 Misdirected', b'X-Instance-Id: i-2'
    ),
    'is a 503 that does not say so': lambda i: _status(i, b'503 Busy'),
    'is no HTTP': lambda i: b'\x00\x01garbage\r\n\r\n',
    'never comes': lambda i: b'',
}
KEPT = ('is whole', 'is followed by a second one', 'never comes')


@behave.given('a target whose answer {what}')
def given_target(context: typing.Any, what: str) -> None:
    (port,) = fleet.free_ports(1)
    context.address = f'127.0.0.1:{port}'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                break
            identity = re.search(rb'x-attempt-id: (\S+)', head)[1]
            writer.write(ANSWERS[what](identity))
            await writer.drain()
            if what not in KEPT:
                break
        if what == 'has no length and is reset':
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.close()

    async def start() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', port)
        context.stack.callback(server.close)

    context.run(start())
    clock = clocks.SystemClock()
    context.client = target_clients.Client(
        clock,
        channels.Channels(clock),
        1.0,
        wire.TargetDialect(),
        reads_unframed_whole=True,
    )
    context.client.use(context.address)


async def send(context: typing.Any, identity: str) -> str:
    """Send a call and return what came of it."""
    now = context.client.clock.monotonic()
    call = call_module.Call(
        route_name='lookup',
        service='tonabok',
        method='GET',
        path=b'/a/',
        headers=[('host', 'a.example'), ('x-attempt-id', identity)],
        started=now,
        deadline=now + LEFT_S,
        is_idempotent=True,
        rank=1,
        objective_ms=500,
    )
    try:
        answer = await context.client.call(call)
    except errors.CallRefusedError as refusal:
        if refusal.run is errors.Run.NOT_RUN:
            return 'refused as not run'
        return 'unknown'
    assert answer.body == b'bells', answer.body
    return 'answered'


@behave.when('a call reaches that target')
def when_sent(context: typing.Any) -> None:
    context.outcome = context.run(send(context, 'one'))


@behave.then('the call is {outcome}')
def then_outcome(context: typing.Any, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@behave.when('two calls reach it one after the other')
def when_two(context: typing.Any) -> None:
    async def act() -> list[str]:
        first = await send(context, 'one')
        await asyncio.sleep(0.05)
        return [first, await send(context, 'two')]

    context.outcomes = context.run(act())


@behave.then('each gets its own answer')
def then_own(context: typing.Any) -> None:
    assert context.outcomes == ['answered', 'answered'], context.outcomes
