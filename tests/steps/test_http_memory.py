"""Steps for the memory of the HTTP server."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import gc
import socket
import sys
import time
import tracemalloc
import typing

import attrs
import behave
from structlog import testing

from pomelobend import calls
from pomelobend import clock as clocks
from pomelobend.http import incoming
from pomelobend.http import message
from pomelobend.http import server as servers
from pomelobend.memory import budget as budgets
from pomelobend.mesh import front as fronts
from pomelobend.mesh import grace as graces
from pomelobend.metrics import counters as counter_module
from pomelobend.routing import call as call_module
from pomelobend.routing import table as tables
from standins import fleet
from tests.steps import test_http_server as server_steps

KB = 1024
MB = 1024 * KB
PART = b'x' * 64 * KB
MAX_S = 10.0
RECEIVE_BYTES = 64 * KB
HEAD_END = b'\r\n\r\n'
MANY_HEADERS = 100
SETTLE_S = 0.5
REQUEST_LEAST_BYTES = 200


@attrs.define(eq=False)
class Handler:
    """Replies with status 200, once it may.

    Parameters
    ----------
    may_answer : asyncio.Event
    received : int
        Number of requests that came.
    body_bytes : list of int
        The sizes of their bodies.
    """

    may_answer: asyncio.Event
    received: int = 0
    body_bytes: list[int] = attrs.field(factory=list)

    async def answer(self, request: message.Request) -> message.Reply:
        """Answer a request."""
        self.received += 1
        self.body_bytes.append(len(request.body))
        await self.may_answer.wait()
        return message.Reply(200)


@attrs.define(eq=False)
class Delivery:
    """Delivers calls without a target: each ends once it may.

    Parameters
    ----------
    may_answer : asyncio.Event
    answer_bytes : int
    budget : Budget
    """

    may_answer: asyncio.Event
    answer_bytes: int = 0
    budget: budgets.Budget | None = None
    calls: list[call_module.Call] = attrs.field(factory=list)

    async def deliver(self, call: call_module.Call) -> calls.Answer:
        """Answer a call."""
        self.calls.append(call)
        await self.may_answer.wait()
        holding = self.budget.open(budgets.Place.ANSWERS)
        holding.grow(self.answer_bytes)
        holding.complete()
        body = bytes(self.answer_bytes)
        return calls.Answer(200, [], body, holding=holding)


@attrs.define(eq=False)
class State:
    """A configuration with one route."""

    table: typing.Any
    version: int = 1


@attrs.define(eq=False)
class Table:
    """A route table that finds the same route for all requests."""

    route: tables.Route
    teams: None = None

    def find(self, host: str, target: bytes) -> tables.Route:
        """Return the route of a request."""
        return self.route


def start_server(
    context: typing.Any, answer: typing.Any, max_bytes: int
) -> None:
    """Start an HTTP server with a budget."""
    (context.port,) = fleet.free_ports(1)

    async def start() -> None:
        context.server = servers.Server(
            f'127.0.0.1:{context.port}',
            clocks.SystemClock(),
            answer,
            servers.Bounds(16 * KB, 64 * MB, 5.0, 30.0),
            budget=budgets.Budget(max_bytes),
        )
        await context.server.listen()
        context.stack.callback(context.server.stop_listening)

    context.run(start())


@behave.given('an HTTP server with a budget of {size:d} MB')
def given_server(context: typing.Any, size: int) -> None:
    given_silent_server(context, size)
    context.may_answer.set()


@behave.given(
    'an HTTP server with a budget of {size:d} MB that does not answer yet'
)
def given_silent_server(context: typing.Any, size: int) -> None:
    context.may_answer = asyncio.Event()
    context.handler = Handler(context.may_answer)
    start_server(context, context.handler.answer, size * MB)


@attrs.define(eq=False)
class Caller:
    """A caller that sends a body with a length.

    Parameters
    ----------
    status : int
    head : bytes
        The head of the reply.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    head: bytes = b''

    @classmethod
    async def open(cls, context: typing.Any) -> Caller:
        """Connect to the server."""
        caller = cls(*await server_steps.connect(context))
        context.stack.callback(caller.writer.transport.abort)
        return caller

    async def send_head(self, size: int) -> None:
        """Send the head of a request with a body of a size."""
        await self.send(
            b'POST /a/ HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n'
            % (server_steps.HOST, size)
        )

    async def send_body(self, size: int) -> None:
        """Send a part of a body."""
        for start in range(0, size, len(PART)):
            await self.send(PART[: size - start])

    async def send(self, data: bytes) -> None:
        """Send bytes, unless the server has closed the connection."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError as error:
            self.head = self.head or repr(error).encode()

    async def read_reply(self) -> int:
        """Read the head of a reply and return its status."""
        async with asyncio.timeout(MAX_S):
            self.head = await self.reader.readuntil(b'\r\n\r\n')
        return int(self.head.split()[1])


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
    """
    async with asyncio.timeout(MAX_S):
        while not condition():
            await asyncio.sleep(0.01)


@behave.when(
    '{count:d} callers have sent {part:d} KB of {size:d} KB each and {small:d}'
    ' small requests come'
)
def when_uploads(
    context: typing.Any, count: int, part: int, size: int, small: int
) -> None:
    context.rest_bytes = (size - part) * KB

    async def act() -> None:
        context.callers = [await Caller.open(context) for _ in range(count)]
        for caller in context.callers:
            await caller.send_head(size * KB)
            await caller.send_body(part * KB)
            await asyncio.sleep(0.05)
        context.statuses = []
        for _ in range(small):
            caller = await Caller.open(context)
            await caller.send_head(KB)
            await caller.send_body(KB)
            context.statuses.append(await caller.read_reply())

    context.run(act())


@behave.then('the small requests are answered with {status:d}')
def then_small(context: typing.Any, status: int) -> None:
    assert set(context.statuses) == {status}, context.statuses


@behave.when('the {count:d} callers send the rest')
def when_rest(context: typing.Any, count: int) -> None:
    async def act() -> None:
        for caller in context.callers:
            await caller.send_body(context.rest_bytes)
        context.statuses = [await c.read_reply() for c in context.callers]

    assert len(context.callers) == count
    context.run(act())


@behave.then(
    '{count:d} of them are answered with 200 and the others with 503 and a'
    ' time to retry'
)
def then_some(context: typing.Any, count: int) -> None:
    others = len(context.statuses) - count
    expected = [200] * count + [503] * others
    assert sorted(context.statuses) == expected, context.statuses
    for caller in context.callers:
        head = caller.head.lower()
        if head.startswith(b'http/1.1 503 '):
            assert b'\r\nconnection: close\r\n' in head, head
            assert b'\r\nretry-after: 1\r\n' in head, head


@behave.then('the server holds nothing')
def then_free(context: typing.Any) -> None:
    budget = context.server.budget

    async def act() -> None:
        gc.disable()
        try:
            await until(lambda: not budget.used_bytes)
        finally:
            gc.enable()

    context.run(act())
    assert not any(budget.by_place.values()), budget.by_place


@behave.when('{count:d} callers have sent {size:d} KB each')
def when_sent(context: typing.Any, count: int, size: int) -> None:
    async def act() -> None:
        context.callers = [await Caller.open(context) for _ in range(count)]
        for caller in context.callers:
            await caller.send_head(size * KB)
            await caller.send_body(size * KB)
        await until(lambda: context.handler.received == count)

    context.run(act())


@behave.when('another caller sends {size:d} KB')
def when_another(context: typing.Any, size: int) -> None:
    received = context.handler.received

    async def act() -> None:
        context.caller = await Caller.open(context)
        await context.caller.send_head(size * KB)
        await context.caller.send_body(size * KB)
        reading = asyncio.create_task(context.caller.read_reply())
        await until(
            lambda: reading.done() or context.handler.received > received
        )
        await asyncio.wait([reading], timeout=1.0)
        context.status = reading.result() if reading.done() else None
        reading.cancel()

    context.run(act())


@behave.then('it is answered with {status:d}')
def then_status(context: typing.Any, status: int) -> None:
    assert context.status == status, context.status
    is_closed = b'\r\nconnection: close\r\n' in context.caller.head.lower()
    assert is_closed == (status != 200), context.caller.head


@behave.when('the server answers')
def when_answers(context: typing.Any) -> None:
    context.run(_set(context.may_answer))


async def _set(event: asyncio.Event) -> None:
    event.set()
    await asyncio.sleep(0.1)


@behave.when(
    'a caller sends the first {part:d} KB of a body of {size:d} KB {coding}'
)
def when_too_large(
    context: typing.Any, part: int, size: int, coding: str
) -> None:
    async def act() -> None:
        context.caller = caller = await Caller.open(context)
        if coding == 'with a length':
            await caller.send_head(size * KB)
        else:
            await caller.send(
                b'POST /a/ HTTP/1.1\r\n%bTransfer-Encoding: chunked\r\n\r\n'
                b'%x\r\n' % (server_steps.HOST, size * KB)
            )
            await caller.send_body(part * KB)
        context.status = await caller.read_reply()

    context.run(act())


@behave.when(
    'a caller leaves after {count:d} requests of {size:d} KB and a part of'
    ' another one'
)
def when_leaves(context: typing.Any, count: int, size: int) -> None:
    budget = context.server.budget

    async def act() -> None:
        caller = await Caller.open(context)
        for _ in range(count):
            await caller.send_head(size * KB)
            await caller.send_body(size * KB)
        await caller.send_head(size * KB)
        await caller.send_body(size * KB // 2)
        await until(lambda: budget.used_bytes > count * size * KB)
        caller.writer.transport.abort()

    context.run(act())


@behave.when('a caller sends a body of {size:d} MB')
def when_large(context: typing.Any, size: int) -> None:
    async def act() -> None:
        caller = await Caller.open(context)
        await caller.send_head(size * MB)
        gc.collect()
        tracemalloc.start()
        try:
            await caller.send_body(size * MB)
            context.status = await caller.read_reply()
            _, context.peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    context.run(act())
    context.body_bytes = size * MB
    assert context.status == 200, context.status


@behave.then('the peak of the memory was less than {factor:f} times the body')
def then_peak(context: typing.Any, factor: float) -> None:
    share = context.peak_bytes / context.body_bytes
    assert share < factor, share


@behave.given('a call that is not idempotent with a body of {size:d} KB')
def given_call(context: typing.Any, size: int) -> None:
    start_front(context, 0)
    context.body_bytes = size * KB

    async def act() -> None:
        context.caller = await Caller.open(context)
        await context.caller.send_head(size * KB)
        await context.caller.send_body(size * KB)
        await until(lambda: len(context.delivery.calls) == 1)

    context.run(act())


def start_front(context: typing.Any, answer_bytes: int) -> None:
    """Start the front of a node whose targets answer with a size."""
    context.may_answer = asyncio.Event()
    context.delivery = Delivery(context.may_answer, answer_bytes)
    clock = clocks.SystemClock()
    route = tables.Route(
        'a',
        'a.example',
        b'/',
        (tables.WeightedService('a', 1.0),),
        is_idempotent=False,
        timeout=datetime.timedelta(seconds=30),
        objective=datetime.timedelta(seconds=1),
        attempts=1,
        priority=0,
    )
    front = fronts.Front(
        'b',
        clock,
        State(Table(route)),
        context.delivery,
        counter_module.Counters(),
        None,
        graces.Grace(clock),
    )
    start_server(context, front.answer, 4 * MB + 2 * answer_bytes)
    context.delivery.budget = context.server.budget


@behave.when('its caller leaves')
def when_caller_leaves(context: typing.Any) -> None:
    async def act() -> None:
        context.caller.writer.transport.abort()
        await until(lambda: not context.server.connections)
        await asyncio.sleep(0.1)

    context.run(act())


@behave.then('its body is held')
def then_held(context: typing.Any) -> None:
    headers = {'host': 'a.example', 'content-length': str(context.body_bytes)}
    head_bytes = incoming.REQUEST_BYTES + len('/a/')
    for pair in headers.items():
        head_bytes += len(': '.join(pair) + '\r\n') + incoming.HEADER_BYTES
    held = context.server.budget.by_place[budgets.Place.REQUESTS]
    assert held == context.body_bytes + head_bytes, (held, head_bytes)


@behave.when('the call ends')
def when_ends(context: typing.Any) -> None:
    context.delivery.calls.clear()
    context.run(_set(context.may_answer))


@behave.given(
    'an HTTP server with a budget of {size:d} MB and replies of {each:d} MB'
)
def given_replies(context: typing.Any, size: int, each: int) -> None:
    given_small_replies(context, size, each * KB)


@behave.given(
    'an HTTP server with a budget of {size:d} MB and replies of {each:d} KB'
)
def given_small_replies(context: typing.Any, size: int, each: int) -> None:
    context.reply_bytes = each * KB
    context.logs = context.stack.enter_context(testing.capture_logs())

    async def answer(request: message.Request) -> message.Reply:
        body = b''
        if request.target.startswith(b'/large/'):
            body = request.target[-1:] * context.reply_bytes
        return message.Reply(200, [], body)

    start_server(context, answer, size * MB)


def request(number: int) -> bytes:
    """Return a request for a large reply with a number in it."""
    return b'GET /large/%d HTTP/1.1\r\n%b\r\n' % (number, server_steps.HOST)


def open_socket(context: typing.Any) -> socket.socket:
    """Connect a socket with a small buffer, which is not read by itself."""
    client = socket.socket()
    context.stack.callback(client.close)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    client.settimeout(MAX_S)
    client.connect(('127.0.0.1', context.port))
    return client


def replies(context: typing.Any) -> int:
    """Return the bytes of replies that the server holds."""
    return context.server.budget.by_place[budgets.Place.REPLIES]


@behave.when('{count:d} callers send a request each and do not read')
def when_unread(context: typing.Any, count: int) -> None:
    async def act() -> None:
        context.sockets = []
        for _ in range(count):
            client = await asyncio.to_thread(open_socket, context)
            client.sendall(request(1))
            context.sockets.append(client)
            await asyncio.sleep(0.2)

    context.count = count
    context.run(act())


@behave.when('{count:d} callers send {each:d} requests each and do not read')
def when_small_unread(context: typing.Any, count: int, each: int) -> None:
    async def act() -> None:
        context.sockets = []
        for _ in range(count):
            client = await asyncio.to_thread(open_socket, context)
            client.sendall(request(1) * each)
            context.sockets.append(client)
        await settled(lambda: context.server.unsent_bytes)

    context.count = count
    context.run(act())


@behave.then('the server holds all that it has not sent, which is not nothing')
def then_unsent(context: typing.Any) -> None:
    unsent = context.server.unsent_bytes
    assert unsent, unsent
    assert replies(context) >= unsent, (replies(context), unsent)


@behave.when(
    'small bodies of {each:d} KB come one by one and need {size:d} MB'
)
def when_small_one_by_one(context: typing.Any, each: int, size: int) -> None:
    context.small = []

    async def act() -> None:
        for _ in range(size * KB // each):
            holding = context.server.budget.open(budgets.Place.REQUESTS)
            context.small.append(holding)
            holding.grow(each * KB)
            holding.complete()
            await asyncio.sleep(0.01)

    context.run(act())


@behave.then(
    'callers that do not read have made room for them, and no more than that'
)
def then_made_room(context: typing.Any) -> None:
    budget = context.server.budget
    assert not any(holding.is_given_up for holding in context.small)
    count = len(context.server.connections)
    assert 0 < count < context.count, count
    least = budget.max_bytes - 4 * context.reply_bytes
    assert least < budget.used_bytes <= budget.max_bytes, budget.by_place
    context.small.clear()


@behave.when(
    'a caller of {count:d} replies reads 32 KB every 0.2 s for {seconds:d} s,'
    ' then faster'
)
def when_very_slow(context: typing.Any, count: int, seconds: int) -> None:
    client = open_socket(context)
    context.expected_bytes = count * context.reply_bytes

    def read() -> int:
        received = 0
        client.sendall(request(1) * count)
        begun = time.monotonic()
        while received < context.expected_bytes:
            is_slow = time.monotonic() - begun < seconds
            data = client.recv(32 * KB if is_slow else MB)
            if not data:
                break
            received += len(data)
            if is_slow:
                time.sleep(0.2)
        return received

    context.received_bytes = context.run(asyncio.to_thread(read))


@behave.then('it has received all of them')
def then_received_all(context: typing.Any) -> None:
    found = context.received_bytes
    assert found >= context.expected_bytes, (found, context.expected_bytes)


@behave.given('a caller may pause for {seconds:d} s in a large reply')
def given_reply_pause(context: typing.Any, seconds: int) -> None:
    context.server.bounds.reply_pause_s = seconds

    async def sweep() -> None:
        context.sweeping = asyncio.create_task(context.server.sweep())

    context.run(sweep())
    context.stack.callback(lambda: context.sweeping.cancel())


@behave.then('the connections of all of them end within {seconds:d} s')
def then_all_ended(context: typing.Any, seconds: int) -> None:
    async def act() -> None:
        async with asyncio.timeout(seconds):
            while context.server.connections:
                await asyncio.sleep(0.05)

    context.run(act())


@behave.then('the server holds {least:d} to {most:d} replies')
def then_replies(context: typing.Any, least: int, most: int) -> None:
    count, rest = divmod(replies(context), context.reply_bytes)
    assert not rest, replies(context)
    assert least <= count <= most, count
    context.held = count


@behave.then('the connections of the others have ended')
def then_others_ended(context: typing.Any) -> None:
    assert len(context.server.connections) == context.held


@behave.then('a small request is answered with {status:d}')
def then_small_answered(context: typing.Any, status: int) -> None:
    async def act() -> int:
        caller = await Caller.open(context)
        await caller.send_head(KB)
        await caller.send_body(KB)
        return await caller.read_reply()

    assert context.run(act()) == status


@behave.when('all callers leave')
def when_all_leave(context: typing.Any) -> None:
    for client in context.sockets:
        client.close()


@behave.when('small bodies of {each:d} KB need {size:d} MB')
def when_small_bodies(context: typing.Any, each: int, size: int) -> None:
    budget = context.server.budget
    context.small = [
        budget.open(budgets.Place.REQUESTS) for _ in range(size * KB // each)
    ]

    async def act() -> None:
        for holding in context.small:
            holding.grow(each * KB)
            holding.complete()
        await until(lambda: len(context.server.connections) < context.count)

    context.run(act())


@behave.then('the connection of a caller has ended, and the log says so')
def then_given_up(context: typing.Any) -> None:
    assert len(context.server.connections) == context.count - 1
    assert not any(holding.is_given_up for holding in context.small)
    text = 'http: a reply is given up, as its caller does not read it'
    assert [item for item in context.logs if item['event'] == text]
    context.small.clear()


@behave.when('a caller sends {count:d} requests at once and reads slowly')
def when_slow(context: typing.Any, count: int) -> None:
    client = open_socket(context)
    context.most_held = 0

    def read() -> bytes:
        received = bytearray()
        client.sendall(b''.join(request(n) for n in range(count)))
        time.sleep(0.3)
        while len(received) < count * context.reply_bytes:
            received += client.recv(MB)
            context.most_held = max(context.most_held, replies(context))
        head_bytes = received.index(b'\r\n\r\n') + 4
        while len(received) < count * (head_bytes + context.reply_bytes):
            received += client.recv(MB)
        return bytes(received)

    context.received = context.run(asyncio.to_thread(read))


@behave.then(
    'it has received {count:d} whole replies, and at most {most:d} at a time'
    ' were held'
)
def then_whole_replies(context: typing.Any, count: int, most: int) -> None:
    parts = context.received.split(b'HTTP/1.1 200 OK\r\n')[1:]
    bodies = [part.partition(b'\r\n\r\n')[2] for part in parts]
    expected = [b'%d' % n * context.reply_bytes for n in range(count)]
    assert bodies == expected, [len(body) for body in bodies]
    assert 0 < context.most_held <= most * context.reply_bytes


@behave.when('1 caller sends a request and does not read')
def when_one_unread(context: typing.Any) -> None:
    body = b'x' * context.reply_bytes
    client = open_socket(context)

    async def answer(request: message.Request) -> message.Reply:
        return message.Reply(200, [], body)

    async def act() -> None:
        gc.collect()
        tracemalloc.start()
        try:
            client.sendall(request(1))
            await until(lambda: replies(context))
            await asyncio.sleep(0.3)
            _, context.peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    context.server.answer = answer
    context.run(act())


@behave.then('the memory grew by less than {share:f} times the reply')
def then_growth(context: typing.Any, share: float) -> None:
    assert context.peak_bytes < share * context.reply_bytes, context.peak_bytes


@behave.given('a call with an answer of {size:d} MB')
def given_answer(context: typing.Any, size: int) -> None:
    context.reply_bytes = size * MB
    start_front(context, size * MB)
    context.may_answer.set()


@behave.when('its caller does not read')
def when_not_read(context: typing.Any) -> None:
    context.socket = open_socket(context)
    context.socket.sendall(request(1))
    context.run(asyncio.sleep(0.5))


@behave.then('its answer is held as a reply')
def then_held_reply(context: typing.Any) -> None:
    context.delivery.calls.clear()
    budget = context.server.budget
    assert replies(context) == context.reply_bytes, budget.by_place
    assert budget.used_bytes == context.reply_bytes, budget.by_place


@behave.when('its caller reads')
def when_read(context: typing.Any) -> None:
    def read() -> None:
        received = 0
        while received < context.reply_bytes:
            received += len(context.socket.recv(MB))

    context.run(asyncio.to_thread(read))


@behave.when('a caller sends {count:d} headers before a request')
def when_headers(context: typing.Any, count: int) -> None:
    headers = server_steps.HOST + b'a:\r\n' * (count - 1)
    _send_request(context, b'GET /a/ HTTP/1.1\r\n%b\r\n' % headers)


@behave.when('a caller sends {count:d} headers behind a request')
def when_trailers(context: typing.Any, count: int) -> None:
    head = b'POST /a/ HTTP/1.1\r\n%bTransfer-Encoding: chunked\r\n\r\n'
    body = b'1\r\nx\r\n0\r\n%b\r\n' % (b'a:\r\n' * count)
    _send_request(context, head % server_steps.HOST + body)


def _send_request(context: typing.Any, data: bytes) -> None:
    async def act() -> None:
        context.caller = await Caller.open(context)
        await context.caller.send(data)
        context.status = await context.caller.read_reply()

    context.run(act())


@behave.when(
    '{count:d} chunks of 1 byte and the end of a request come in one read'
)
def when_chunks(context: typing.Any, count: int) -> None:
    chunks = b'1\r\nx\r\n' * count + b'0\r\n\r\n'
    head = b'POST /a/ HTTP/1.1\r\n%bTransfer-Encoding: chunked\r\n\r\n'

    async def act() -> None:
        context.caller = await Caller.open(context)
        await until(lambda: len(context.server.connections) == 1)
        (context.connection,) = context.server.connections
        context.connection.data_received(head % server_steps.HOST + chunks)
        incoming = context.connection.incoming
        context.parsed = incoming.body_size if incoming else count
        context.is_paused = context.connection.is_paused
        caller = await Caller.open(context)
        await caller.send_head(1)
        await caller.send_body(1)
        context.status = await caller.read_reply()

    context.run(act())


@behave.then('at most {most:d} of them have been parsed, and reading pauses')
def then_parsed(context: typing.Any, most: int) -> None:
    assert 0 < context.parsed <= most, context.parsed
    assert context.is_paused


@behave.then(
    'a small request is answered with {status:d} before all are parsed'
)
def then_before(context: typing.Any, status: int) -> None:
    assert context.status == status, context.status
    assert context.handler.body_bytes == [1], context.handler.body_bytes


@behave.then(
    'the handler receives the {size:d} bytes, and reading has resumed'
)
def then_received(context: typing.Any, size: int) -> None:
    assert context.run(context.caller.read_reply()) == 200
    assert context.handler.body_bytes == [1, size], context.handler.body_bytes
    assert not context.connection.is_paused


@attrs.define(eq=False)
class Selective:
    """Replies with status 200, to requests with many headers once it may.

    Parameters
    ----------
    may_answer : asyncio.Event
    large : int
        Number of requests with many headers that came.
    """

    may_answer: asyncio.Event
    large: int = 0

    async def answer(self, request: message.Request) -> message.Reply:
        """Answer a request."""
        if len(request.headers) >= MANY_HEADERS:
            self.large += 1
            await self.may_answer.wait()
        return message.Reply(200)


@attrs.define(eq=False)
class Sender:
    """A caller that sends bytes without a buffer of its own.

    Parameters
    ----------
    received : bytearray
        What was read of the replies.
    """

    client: socket.socket
    received: bytearray = attrs.field(factory=bytearray)
    sending: asyncio.Task | None = None

    @classmethod
    def open(cls, context: typing.Any, data: bytes) -> Sender:
        """Connect to the server and begin to send."""
        sender = cls(socket.create_connection(('127.0.0.1', context.port)))
        context.stack.callback(sender.client.close)
        sender.client.setblocking(False)
        sender.sending = asyncio.create_task(sender._send(data))
        return sender

    async def _send(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        # What is refused may be cut.
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(self.client, data)

    async def read(self, count: int) -> list[int]:
        """Return the statuses of replies, up to a count or the end."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(3 * MAX_S):
            while len(self._heads()) < count:
                data = await loop.sock_recv(self.client, MB)
                if not data:
                    break
                self.received += data
        heads = self._heads()
        for head in heads:
            if head.startswith(b'HTTP/1.1 503 '):
                assert b'\r\nretry-after: 1' in head, head
        return [int(head.split()[1]) for head in heads]

    def _heads(self) -> list[bytes]:
        """Return the heads of replies, without interim responses."""
        heads = bytes(self.received).split(HEAD_END)[:-1]
        return [head for head in heads if head.split()[1] != b'100']


@behave.given(
    'an HTTP server with a budget of {size:d} MB that answers requests with'
    ' many headers later'
)
def given_selective(context: typing.Any, size: int) -> None:
    context.may_answer = asyncio.Event()
    context.handler = Selective(context.may_answer)
    start_server(context, context.handler.answer, size * MB)


async def settled(read: typing.Callable[[], typing.Any]) -> None:
    """Wait until a value has not changed for a while."""
    async with asyncio.timeout(6 * MAX_S):
        last, since = read(), time.monotonic()
        while time.monotonic() - since < SETTLE_S:
            await asyncio.sleep(0.05)
            if read() != last:
                last, since = read(), time.monotonic()


@behave.when(
    '{count:d} callers send {each:d} requests of {headers:d} headers each at'
    ' once'
)
def when_heads(
    context: typing.Any, count: int, each: int, headers: int
) -> None:
    context.each = each
    text = b''.join(b'x-%d: %d\r\n' % (n, n) for n in range(headers - 1))
    head = b'GET /a/ HTTP/1.1\r\n%b%b\r\n' % (server_steps.HOST, text)
    data = head * each

    async def act() -> None:
        gc.collect()
        tracemalloc.start()
        try:
            context.senders = []
            for _ in range(count):
                context.senders.append(Sender.open(context, data))
                await asyncio.sleep(0)
            await settled(lambda: tracemalloc.get_traced_memory()[0] // MB)
            _, context.peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    context.run(act())


@behave.then('the memory grew by less than the budget allows')
def then_within(context: typing.Any) -> None:
    most = budgets.COPIES * context.server.budget.max_bytes
    assert context.peak_bytes < most, (context.peak_bytes, most)


@behave.then(
    '{refused} of them were refused, all others have run, and no refused one'
)
def then_refused(context: typing.Any, refused: str) -> None:
    async def act() -> list[list[int]]:
        return await asyncio.gather(
            *(sender.read(context.each) for sender in context.senders)
        )

    found = context.run(act())
    ran = sum(statuses.count(200) for statuses in found)
    assert context.handler.large == ran, (context.handler.large, ran)
    for statuses in found:
        expected = [200] * context.each
        if statuses != expected:
            ran_here = statuses.count(200)
            assert statuses == [200] * ran_here + [503], statuses
    has_refused = any(503 in statuses for statuses in found)
    assert has_refused == (refused == 'some'), found
    assert ran, found


@behave.when('a caller sends {count:d} small requests at once')
def when_many(context: typing.Any, count: int) -> None:
    text = b'GET /a/ HTTP/1.1\r\n%b\r\n' % server_steps.HOST
    context.text_bytes = len(text) * count

    async def act() -> None:
        context.sender = Sender.open(context, text * count)
        await settled(lambda: context.server.budget.used_bytes)
        (context.connection,) = context.server.connections

    context.run(act())


@behave.then(
    'the server holds at most {most:d} of them and the text of the others'
)
def then_few(context: typing.Any, most: int) -> None:
    count = len(context.connection.queue)
    assert 0 < count <= most, count
    used = context.server.budget.used_bytes
    assert used <= context.text_bytes + most * KB, used
    assert used > count * REQUEST_LEAST_BYTES, used


@behave.then('all {count:d} are answered with {status:d}')
def then_all(context: typing.Any, count: int, status: int) -> None:
    found = context.run(context.sender.read(count))
    assert found == [status] * count, (len(found), set(found))


@behave.when('it closes its sending side')
def when_closes_sending(context: typing.Any) -> None:
    async def act() -> None:
        await context.sender.sending
        context.sender.client.shutdown(socket.SHUT_WR)
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.given('a call that is not idempotent with {count:d} headers')
def given_call_of_headers(context: typing.Any, count: int) -> None:
    start_front(context, 0)
    text = b''.join(b'x-%d: %d\r\n' % (n, n) for n in range(count - 1))
    head = b'POST /a/ HTTP/1.1\r\n%b%b\r\n' % (server_steps.HOST, text)

    async def act() -> None:
        context.caller = await Caller.open(context)
        await context.caller.send(head)
        await until(lambda: len(context.delivery.calls) == 1)

    context.run(act())


@behave.then('its head is held')
def then_head_held(context: typing.Any) -> None:
    (call,) = context.delivery.calls
    least = sum(
        sys.getsizeof(pair) + sys.getsizeof(pair[0]) + sys.getsizeof(pair[1])
        for pair in call.headers
    )
    held = context.server.budget.by_place[budgets.Place.REQUESTS]
    assert least <= held <= 2 * least, (held, least)
