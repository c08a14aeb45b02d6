"""Steps for limits between nodes, with a node that is held up."""

from __future__ import annotations

import base64
import datetime
import hashlib
import re
import socket
import struct
import threading
import time
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.metrics import counters
from pomelobend.peers import caller as callers
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.peers import options
from pomelobend.peers import pool as pools
from pomelobend.routing import call as call_module
from pomelobend.routing import target_stats

KEY_SUFFIX = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
SECOND = datetime.timedelta(seconds=1)
CONNECT_S = 0.4
CALL_S = 0.3
DELAY_S = 0.05
HELD_S = 0.8
WAIT_S = 3.0
FIRST_CALL = 1
UPGRADE, GREETING, ANSWER = (
    'the upgrade of the connection',
    'the greeting',
    'the answer to a call',
)


def upgrade_of(request: bytes) -> bytes:
    """Return the answer to the request of a websocket."""
    key = re.search(rb'(?i)sec-websocket-key: (\S+)', request)[1]
    accept = base64.b64encode(hashlib.sha1(key + KEY_SUFFIX).digest())
    return (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
        b'Connection: Upgrade\r\nSec-WebSocket-Accept: %b\r\n\r\n' % accept
    )


def frame(message: messages.Message) -> bytes:
    """Return a short message in a frame of a websocket."""
    data = codec.encode(message)
    return struct.pack('!BB', 0x82, len(data)) + data


def read_frame(connection: socket.socket) -> messages.Message:
    """Read a short masked frame."""
    _, length = connection.recv(2, socket.MSG_WAITALL)
    length &= 0x7F
    if length == 126:
        (length,) = struct.unpack('!H', connection.recv(2, socket.MSG_WAITALL))
    mask = connection.recv(4, socket.MSG_WAITALL)
    masked = connection.recv(length, socket.MSG_WAITALL)
    return codec.decode(
        bytes(byte ^ mask[i % 4] for i, byte in enumerate(masked))
    )


class Peer:
    """Another node in a thread, one message of which comes late."""

    def __init__(
        self, late: str, hold_up: typing.Callable, status: int = 200
    ) -> None:
        self.late = late
        self.status = status
        self.hold_up = hold_up
        self.listener = socket.create_server(('127.0.0.1', 0))
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        """Serve one connection with one call."""
        with self.listener:
            connection, _ = self.listener.accept()
        with connection:
            connection.settimeout(WAIT_S)
            request = connection.recv(65536)
            self.send(connection, UPGRADE, upgrade_of(request))
            read_frame(connection)
            hello = messages.Hello(
                messages.PROTOCOL_VERSION, 'n2', 1, 'vik', self.address
            )
            self.send(connection, GREETING, frame(hello))
            while type(read_frame(connection)) is not messages.CallStart:
                pass
            answer = messages.AnswerStart(
                FIRST_CALL, self.status, [], b'bells', True, 1, 0
            )
            self.send(connection, ANSWER, frame(answer))
            try:
                while connection.recv(65536):
                    pass
            except OSError:
                return

    def send(self, connection: socket.socket, what: str, data: bytes) -> None:
        """Send a message, while the other node is held up if it is late."""
        if what == self.late:
            self.hold_up()
            time.sleep(DELAY_S)
        connection.sendall(data)


@behave.given('a node of which {what} arrives while this one is held up')
def given_peer(context: typing.Any, what: str) -> None:
    def hold_up() -> None:
        context.loop.call_soon_threadsafe(time.sleep, HELD_S)

    context.peer = Peer(what, hold_up)
    context.stack.callback(context.peer.thread.join, WAIT_S)


def open_pool() -> pools.Pool:
    """Return the pool of a node that does not listen."""
    own_options = options.Options(
        '127.0.0.1:1',
        heartbeat=SECOND,
        silence=3 * SECOND,
        ping=SECOND,
        answer=3 * SECOND,
        connect=CONNECT_S * SECOND,
    )
    hello = messages.Hello(messages.PROTOCOL_VERSION, 'n1', 1, 'vik', '')
    return pools.Pool(
        own_options, clocks.SystemClock(), hello, counters.Counters()
    )


@behave.when('this node calls it')
def when_called(context: typing.Any) -> None:
    async def act() -> None:
        context.pool = pool = open_pool()
        context.stack.push_async_callback(pool.close)
        clock = clocks.SystemClock()
        await open_connection(context, pool)
        now = clock.monotonic()
        call = call_module.Call(
            route_name='lookup',
            service='tonabok',
            method='GET',
            path=b'/a/',
            headers=[],
            started=now,
            deadline=now + CALL_S,
            is_idempotent=False,
            priority=1,
            objective_ms=500,
        )
        member = members.Member('n2', 1, 1, 'vik', context.peer.address)
        try:
            context.answer = await callers.Caller(pool, clock).call(
                call, member, target_stats.TargetStats(1)
            )
        except errors.CallRefusedError as refusal:
            context.answer = refusal

    context.run(act())


async def open_connection(context: typing.Any, pool: pools.Pool) -> None:
    """Open the connection before the time of the call begins."""
    try:
        await pool.get(context.peer.address)
    except errors.PeerError as error:
        raise AssertionError(f'not connected: {error!r}') from error


@behave.then('the call between the nodes has its answer')
def then_answered(context: typing.Any) -> None:
    assert getattr(context.answer, 'body', None) == b'bells', context.answer
