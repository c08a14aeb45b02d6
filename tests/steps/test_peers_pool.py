"""Steps for the pool of connections, with two nodes on the loopback."""

from __future__ import annotations

import asyncio
import datetime
import socket
import threading
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.metrics import counters
from pomelobend.peers import link as links
from pomelobend.peers import messages
from pomelobend.peers import options
from pomelobend.peers import pool as pools
from standins import fleet

DEADLINE_S = 3.0
MESSAGE_BYTES = 1024 * 1024
SECOND = datetime.timedelta(seconds=1)


class Server:
    """Answers each call once it is told to."""

    def __init__(self) -> None:
        self.is_released = asyncio.Event()

    async def serve(self, connection, start, stream) -> None:
        """Refuse the call as soon as the test releases it."""
        await self.is_released.wait()
        connection.send(
            messages.Refused(start.call, 'overloaded', 'not-run', '', 0, 0)
        )


def open_pool(name: str, address: str) -> pools.Pool:
    """Return the pool of a node that listens at an address."""
    own_options = options.Options(
        address,
        heartbeat=SECOND,
        silence=3 * SECOND,
        ping=SECOND,
        answer=3 * SECOND,
        connect=SECOND,
    )
    hello = messages.Hello(messages.PROTOCOL_VERSION, name, 1, 'vik', address)
    pool = pools.Pool(
        own_options, clocks.SystemClock(), hello, counters.Counters()
    )
    pool.handler = Server()
    return pool


def call_start(number: int) -> messages.CallStart:
    """Return the start of a call without a body."""
    return messages.CallStart(
        number,
        'lookup',
        'tonabok',
        'GET',
        b'/lookup/a',
        [],
        deadline_ms=3000,
        attempt=1,
        key='one',
        is_idempotent=True,
        rank=0,
        objective_ms=1000,
        body=b'',
        is_complete=True,
    )


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.01)


@behave.given('two nodes with a connection between them')
def given_nodes(context: typing.Any) -> None:
    async def start() -> None:
        addresses = [f'127.0.0.1:{port}' for port in fleet.free_ports(2)]
        context.dialling = open_pool('n1', addresses[0])
        context.accepting = open_pool('n2', addresses[1])
        await context.accepting.listen()
        context.first = await context.dialling.get(addresses[1])
        await until(lambda: context.accepting.all())
        (context.accepted,) = context.accepting.all()

    context.run(start())


@behave.when(
    'a call runs at the {end} end and the node that accepted says goodbye'
)
def when_call_runs(context: typing.Any, end: str) -> None:
    is_at_dialler = end == 'dialling'
    context.serving_pool = getattr(context, end)
    caller = context.accepted if is_at_dialler else context.first
    server = context.first if is_at_dialler else context.accepted

    async def act() -> None:
        context.stream = caller.open_stream()
        caller.send(call_start(context.stream.call))
        await until(lambda: server.serving)
        context.accepting.send_goodbye()
        await until(lambda: context.first.is_draining)

    context.run(act())


@behave.when('the node that dialled connects again')
def when_connects_again(context: typing.Any) -> None:
    async def act() -> None:
        address = context.accepting.hello.address
        again = await context.dialling.get(address)
        assert again is not context.first
        await until(lambda: len(context.accepting.all()) == 2)

    context.run(act())


@behave.then('both nodes still count the call as in flight')
def then_counted(context: typing.Any) -> None:
    assert context.first in context.dialling.all()
    assert context.accepted in context.accepting.all()
    serving = [len(c.serving) for c in context.serving_pool.all()]
    assert sum(serving) == 1, serving


@behave.then('the call is answered on its connection')
def then_answered(context: typing.Any) -> None:
    async def act() -> None:
        context.serving_pool.handler.is_released.set()
        async with asyncio.timeout(DEADLINE_S):
            answer = await context.stream.receive()
        assert isinstance(answer, messages.Refused), answer

    context.run(act())


@behave.then('each node has closed both connections once its pool is closed')
def then_closed(context: typing.Any) -> None:
    async def act() -> None:
        await context.dialling.close()
        await context.accepting.close()
        assert context.first.is_closed
        assert context.accepted.is_closed

    context.run(act())


def end_connections(server: socket.socket) -> None:
    """Accept connections, read the request of each and close it."""
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        with connection:
            connection.recv(4096)


@behave.given('a node that closes each connection during the upgrade')
def given_ending(context: typing.Any) -> None:
    (port,) = fleet.free_ports(1)
    context.address = f'127.0.0.1:{port}'
    server = socket.create_server(('127.0.0.1', port))
    threading.Thread(
        target=end_connections, args=(server,), daemon=True
    ).start()
    context.stack.callback(server.close)
    context.stack.callback(server.shutdown, socket.SHUT_RDWR)


@behave.when('another node dials it {count:d} times')
def when_dials(context: typing.Any, count: int) -> None:
    pool = open_pool('n1', '127.0.0.1:1')

    async def act() -> None:
        context.failures = [
            await asyncio.gather(
                pool.get(context.address), return_exceptions=True
            )
            for _ in range(count)
        ]

    context.run(act())


@behave.then('each attempt fails as one to an unreachable node')
def then_unreachable(context: typing.Any) -> None:
    wrong = [
        repr(failure)
        for (failure,) in context.failures
        if not isinstance(failure, errors.PeerError)
    ]
    assert not wrong, wrong


@behave.given('a node that accepts connections and sends no greeting')
def given_mute(context: typing.Any) -> None:
    context.address = f'127.0.0.1:{fleet.free_ports(1)[0]}'

    async def accept(link: links.Link) -> None:
        context.stack.callback(link.abort)

    async def act() -> None:
        server = await links.listen(
            context.address, MESSAGE_BYTES, accept, links.Traffic()
        )
        context.stack.callback(server.close)

    context.run(act())


@behave.when(
    'another node that dials it closes its pool within {close_ms:d} ms'
)
def when_closes(context: typing.Any, close_ms: int) -> None:
    pool = open_pool('n1', '127.0.0.1:1')

    async def act() -> None:
        dialling = asyncio.create_task(pool.get(context.address))
        await until(lambda: pool.greeting)
        (context.link,) = pool.greeting
        await pool.close(close_ms / 1000)
        await asyncio.gather(dialling, return_exceptions=True)

    context.run(act())


@behave.then(
    'the connection without a greeting has had {close_ms:d} ms to close'
)
def then_closed_in_time(context: typing.Any, close_ms: int) -> None:
    assert context.link.transport.is_disconnected
    found = context.link.close_timeout_s
    assert found == close_ms / 1000, found
