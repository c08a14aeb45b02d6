"""Steps for the detection of silent peers by a node that was held up."""

from __future__ import annotations

import asyncio
import datetime
import socket
import threading
import time
import typing

import behave

from pomelobend import clock as clocks
from pomelobend.peers import codec
from pomelobend.peers import connection as connections
from pomelobend.peers import messages
from pomelobend.peers import options
from tests.steps import test_peers_silence as silence_steps

ADDRESS = '127.0.0.1:1'
SETTLE_S = 0.6


class SocketLink(silence_steps.StubLink):
    """A link to a simulated peer, whose messages arrive on a socket."""

    def __init__(self) -> None:
        super().__init__()
        self.on_ping: typing.Callable[[], None] = lambda: None

    def send(self, data: bytes) -> None:
        """Accept a message."""
        if type(codec.decode(data)) is messages.Ping:
            self.on_ping()

    def read(self, data: bytes) -> None:
        """Accept a heartbeat for each byte."""
        for _ in data:
            self.inbox.put_nowait(codec.encode(messages.Heartbeat(0)))


class Reader(asyncio.Protocol):
    """Passes what arrives on a socket to a function."""

    def __init__(self, read: typing.Callable[[bytes], None]) -> None:
        self.read = read

    def data_received(self, data: bytes) -> None:
        """Pass on data."""
        self.read(data)


async def open_socket(
    context: typing.Any, read: typing.Callable[[bytes], None]
) -> socket.socket:
    """Return the other end of a socket from which this node reads."""
    here, there = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().create_connection(
        lambda: Reader(read), sock=here
    )
    context.stack.callback(there.close)
    context.stack.callback(transport.abort)
    return there


def later(seconds: float, act: typing.Callable[[], object]) -> None:
    """Act in a thread, so that the loop may be held up meanwhile."""
    thread = threading.Timer(seconds, act)
    thread.daemon = True
    thread.start()


@behave.given(
    'a connection to a node that answers within {answer_s:f} s, {calls}'
)
def given_connection(context: typing.Any, answer_s: float, calls: str) -> None:
    own_options = options.Options(
        ADDRESS,
        heartbeat=datetime.timedelta(seconds=1),
        silence=datetime.timedelta(milliseconds=2200),
        ping=datetime.timedelta(milliseconds=250),
        answer=datetime.timedelta(milliseconds=650),
        connect=datetime.timedelta(seconds=1),
    )
    hello = messages.Hello(messages.PROTOCOL_VERSION, 'n2', 1, 'vik', ADDRESS)

    async def act() -> None:
        link = context.link = SocketLink()
        peer = context.peer = await open_socket(context, link.read)
        link.on_ping = lambda: later(answer_s, lambda: peer.send(b'.'))
        context.connection = connections.Connection(
            link, hello, True, None, own_options, clocks.SystemClock()
        )
        task = asyncio.create_task(context.connection.run())

        async def end() -> None:
            link.abort()
            await task
            await asyncio.sleep(0)

        context.stack.push_async_callback(end)
        await asyncio.sleep(0)
        if calls == 'with a call pending':
            context.connection.open_stream()

    context.run(act())


async def hold_up(context: typing.Any, held_s: float) -> socket.socket:
    """Return a socket on which any data holds up the loop of this node."""
    context.is_over = asyncio.Event()

    def read(data: bytes) -> None:
        time.sleep(held_s)
        context.is_over.set()

    return await open_socket(context, read)


@behave.when('the node is held up for {held_s:f} s right after its ping')
def when_held_after_ping(context: typing.Any, held_s: float) -> None:
    async def act() -> None:
        trigger = await hold_up(context, held_s)
        answer = context.link.on_ping

        def ping() -> None:
            context.link.on_ping = answer
            trigger.send(b'.')
            answer()

        context.link.on_ping = ping
        await context.is_over.wait()
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.when('the node is held up for {held_s:f} s at any moment')
def when_held(context: typing.Any, held_s: float) -> None:
    async def act() -> None:
        trigger = await hold_up(context, held_s)
        for seconds in (0.9, 1.9):
            later(seconds, lambda: context.peer.send(b'.'))
        trigger.send(b'.')
        await context.is_over.wait()
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.then('the connection is not given up')
def then_kept(context: typing.Any) -> None:
    assert not context.connection.was_silent
