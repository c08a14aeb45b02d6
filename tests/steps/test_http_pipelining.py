"""Steps for pipelined requests to the HTTP server."""

from __future__ import annotations

import asyncio
import collections
import itertools
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.http import message
from pomelobend.http import server as servers
from pomelobend.memory import budget as budgets
from standins import fleet
from tests.steps import test_http_memory as memory_steps
from tests.steps import test_http_server as server_steps

REPLIES_S = 20.0
LEAVE_S = 5.0
POLL_S = 0.02
FIRST = b'/0/'
"""Target of the first request of each client, which waits for no other."""


@attrs.define(eq=False)
class Handler:
    """Replies at once; counts replies in each round of the event loop.

    Parameters
    ----------
    round : int
    replies : Counter of int
        By round, the number of replies to requests behind others.
    """

    round: int = 0
    replies: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def count_round(self) -> None:
        """Note that a round begins."""
        self.round += 1
        asyncio.get_running_loop().call_soon(self.count_round)

    async def answer(self, request: message.Request) -> message.Reply:
        """Reply with the target of a request."""
        if request.target != FIRST:
            self.replies[self.round] += 1
        return message.Reply(200, [], request.target)


@behave.given(
    'an HTTP server that counts its replies in each round of the event loop'
)
def given_server(context: typing.Any) -> None:
    (context.port,) = fleet.free_ports(1)
    context.handler = Handler()

    async def start() -> None:
        context.server = servers.Server(
            f'127.0.0.1:{context.port}',
            clocks.SystemClock(),
            context.handler.answer,
        )
        await context.server.listen()
        context.stack.callback(context.server.stop_listening)
        context.handler.count_round()

    context.run(start())


def _pipelined(count: int) -> bytes:
    return b''.join(
        b'GET /%d/ HTTP/1.1\r\n%b\r\n' % (number, server_steps.HOST)
        for number in range(count)
    )


@behave.when('{clients:d} clients send {requests:d} requests each at once')
def when_sent(context: typing.Any, clients: int, requests: int) -> None:
    async def act() -> None:
        async with asyncio.timeout(REPLIES_S):
            context.bodies = await asyncio.gather(
                *(_bodies(context, requests) for _ in range(clients))
            )

    context.requests = requests
    context.run(act())


async def _bodies(context: typing.Any, count: int) -> list[bytes]:
    """Send requests at once; return the bodies of their replies."""
    reader, writer = await server_steps.connect(context)
    writer.write(_pipelined(count))
    bodies = []
    for _ in range(count):
        head = await reader.readuntil(b'\r\n\r\n')
        _, _, length = head.lower().partition(b'content-length: ')
        bodies.append(await reader.readexactly(int(length.split()[0])))
    writer.close()
    return bodies


@behave.then('each client has its replies in order')
def then_in_order(context: typing.Any) -> None:
    expected = [b'/%d/' % number for number in range(context.requests)]
    assert all(bodies == expected for bodies in context.bodies)


@behave.then(
    'of the requests behind others no more than {most:d} were answered in a '
    'round'
)
def then_few(context: typing.Any, most: int) -> None:
    found = max(context.handler.replies.values())
    assert found <= most, found


@behave.when(
    '{clients:d} clients send {requests:d} requests each at once and leave'
)
def when_leave(context: typing.Any, clients: int, requests: int) -> None:
    async def act() -> None:
        for _ in range(clients):
            _, writer = await server_steps.connect(context)
            writer.write(_pipelined(requests))
            await asyncio.sleep(0)
            writer.transport.abort()

    context.run(act())


@behave.then('no request waits for a turn, and no connection is left')
def then_forgotten(context: typing.Any) -> None:
    async def act() -> None:
        async with asyncio.timeout(LEAVE_S):
            while context.server.connections:
                await asyncio.sleep(POLL_S)

    context.run(act())
    assert not context.server.request_turns.waiting


@attrs.define(eq=False)
class HoldingHandler:
    """Replies with answers that the budget holds, once it may.

    Parameters
    ----------
    answer_bytes : int
    may_answer : asyncio.Event
    budget : Budget
    """

    answer_bytes: int
    may_answer: asyncio.Event
    budget: budgets.Budget

    async def answer(self, request: message.Request) -> message.Reply:
        """Reply with 502 if there is no memory for an answer."""
        await self.may_answer.wait()
        holding = self.budget.open(budgets.Place.ANSWERS)
        try:
            holding.grow(self.answer_bytes)
        except errors.MemoryFullError:
            return message.Reply(502)
        holding.complete()
        return message.Reply(200, [], bytes(self.answer_bytes), holding)


@behave.given(
    'an HTTP server with a budget of {size:d} MB that holds answers of '
    '{each:d} KB'
)
def given_holding_server(context: typing.Any, size: int, each: int) -> None:
    context.may_answer = asyncio.Event()
    context.handler = HoldingHandler(
        each * memory_steps.KB,
        context.may_answer,
        budgets.Budget(size * memory_steps.MB),
    )
    memory_steps.start_server(
        context, context.handler.answer, size * memory_steps.MB
    )
    context.handler.budget = context.server.budget


@behave.when(
    '{clients:d} clients send {requests:d} requests each before the first is '
    'answered'
)
def when_filled(context: typing.Any, clients: int, requests: int) -> None:
    async def act() -> None:
        opened = [await server_steps.connect(context) for _ in range(clients)]
        for _, writer in opened:
            writer.write(_pipelined(requests))
        await asyncio.sleep(memory_steps.SETTLE_S)
        context.may_answer.set()
        context.statuses = await asyncio.gather(
            *(_statuses(reader, requests) for reader, _ in opened)
        )
        for _, writer in opened:
            writer.transport.abort()

    context.run(act())


async def _statuses(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    """Return the statuses of replies, at most until the connection ends."""
    found = []
    async with asyncio.timeout(REPLIES_S):
        while len(found) < count:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            found.append(head.split()[1])
            _, _, length = head.lower().partition(b'content-length: ')
            await reader.readexactly(int(length.split()[0]))
    return found


@behave.then('the first request of each client is answered with 200')
def then_first_answered(context: typing.Any) -> None:
    found = collections.Counter(item[0] for item in context.statuses)
    assert found == {b'200': len(context.statuses)}, found


@behave.then('all others that are answered get 200 or 503')
def then_others_answered(context: typing.Any) -> None:
    found = collections.Counter(itertools.chain(*context.statuses))
    assert set(found) <= {b'200', b'503'}, found
