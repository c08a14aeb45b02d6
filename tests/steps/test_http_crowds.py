"""Steps of the limits on connections of the HTTP server."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelobend.http import crowds
from pomelobend.memory import budget as budgets
from pomelobend.memory import eviction
from tests.steps import test_http_memory as memory_steps
from tests.steps import test_http_server as server_steps

MB = 1024 * 1024
KB = 1024
ADDRESSES = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
MODEL_LIMITS = crowds.Limits(8, 6)
END_S = 3.0
SETTLE_S = 0.1
FIRST_S = 0.1
"""Time between the first client and the others; the kernel tells the time of
an arrival with an error of 10 ms."""

HEAD = b'GET /a/ HTTP/1.1\r\n' + server_steps.HOST
SENT = {
    'new': b'',
    'unfinished': HEAD,
    'idle': HEAD + b'\r\n',
    'busy': HEAD + b'\r\n',
    'with 12 KB of a head': HEAD + b'X-Long: ' + b'v' * 12 * KB,
}


class Transport:
    """A transport whose connection has no input."""

    def is_closing(self) -> bool:
        """Return that no input is to be looked for."""
        return True


@attrs.define(eq=False)
class Server:
    """A server without a network."""

    address: str = ''


@attrs.define(eq=False)
class Connection:
    """A connection without a network."""

    crowd: crowds.Crowd
    others: set
    address: str
    stage: eviction.Stage | None = eviction.Stage.INCOMPLETE
    stage_since: float = 0.0
    is_counted: bool = False
    is_dropped: bool = False
    had_stage: bool = True
    transport: Transport = attrs.field(factory=Transport)
    server: Server = attrs.field(factory=Server)

    def open(self) -> bool:
        """Connect; return whether there was room."""
        self.others.add(self)
        self.is_counted = True
        has_room = self.crowd.add(self, self.others)
        if not has_room:
            self.end()
        return has_room

    def give_way(self) -> None:
        """Note that it was dropped, and whether that was allowed."""
        self.is_dropped = True
        self.had_stage = self.stage is not None
        self.end()

    def end(self) -> None:
        """Leave the server."""
        self.crowd.remove(self)
        self.others.discard(self)


@behave.given(
    'a process with {descriptors:d} descriptors and a budget of {size:d} MB'
)
def given_process(context: typing.Any, descriptors: int, size: int) -> None:
    context.callers = crowds.Limits.of_callers(descriptors, size * MB)
    context.messages = crowds.Limits.of_messages(descriptors)


@behave.then(
    'callers may have {total:d} connections, and one address {address:d}'
)
def then_limits(context: typing.Any, total: int, address: int) -> None:
    assert context.callers == crowds.Limits(total, address), context.callers


@behave.then('each port for messages may have {total:d} connections')
def then_messages(context: typing.Any, total: int) -> None:
    assert context.messages.total == total, context.messages


@behave.when('{count:d} callers of one address connect, and connect anew')
def when_callers(context: typing.Any, count: int) -> None:
    crowd, others = crowds.Crowd(context.callers), set()
    context.opened = []
    context.has_room = []
    for _ in range(2):
        for number in range(count):
            if len(context.opened) >= count:
                context.opened[number - count].end()
            connection = Connection(crowd, others, ADDRESSES[0])
            context.has_room.append(connection.open())
            context.opened.append(connection)


@behave.then('none was dropped or refused')
def then_none(context: typing.Any) -> None:
    assert all(context.has_room)
    assert not any(item.is_dropped for item in context.opened)


class Courses(stateful.RuleBasedStateMachine):
    """Connections that come, change their stage and go."""

    def __init__(self) -> None:
        super().__init__()
        self.crowd = crowds.Crowd(MODEL_LIMITS)
        self.others: set[Connection] = set()
        self.opened: list[Connection] = []

    @stateful.rule(
        address=strategies.sampled_from(ADDRESSES),
        since=strategies.integers(0, 9),
    )
    def open(self, address: str, since: int) -> None:
        """Connect; a connection is only refused if nothing can go."""
        full = [
            item
            for item in self.others
            if item.stage is not None
            and (item.address == address or not self._is_full(address))
        ]
        connection = Connection(
            self.crowd, self.others, address, stage_since=since
        )
        if connection.open():
            self.opened.append(connection)
        else:
            assert not full

    def _is_full(self, address: str) -> bool:
        count = sum(item.address == address for item in self.others)
        return count >= MODEL_LIMITS.per_address

    @stateful.precondition(lambda self: self.others)
    @stateful.rule(
        index=strategies.integers(0, 99),
        stage=strategies.sampled_from([None, *eviction.Stage]),
    )
    def change(self, index: int, stage: eviction.Stage | None) -> None:
        """Let a connection reach another stage."""
        self._one(index).stage = stage

    @stateful.precondition(lambda self: self.others)
    @stateful.rule(index=strategies.integers(0, 99))
    def end(self, index: int) -> None:
        """Let a connection end."""
        self._one(index).end()

    def _one(self, index: int) -> Connection:
        alive = [item for item in self.opened if item in self.others]
        return alive[index % len(alive)]

    @stateful.invariant()
    def limits_hold(self) -> None:
        """Check the limits, the counts and what was dropped."""
        counts = self.crowd.by_address
        assert counts.total() == len(self.others) <= MODEL_LIMITS.total
        assert all(counts.values()), counts
        assert all(n <= MODEL_LIMITS.per_address for n in counts.values())
        assert all(item.had_stage for item in self.opened)


@behave.when('connections of several addresses come, change and go at random')
def when_random(context: typing.Any) -> None:
    context.machine = Courses


@behave.then(
    'no limit is exceeded, and only those that do nothing were dropped'
)
def then_holds(context: typing.Any) -> None:
    stateful.run_state_machine_as_test(
        context.machine,
        settings=hypothesis.settings(
            max_examples=100,
            stateful_step_count=50,
            deadline=None,
            derandomize=True,
        ),
    )


@behave.given(
    'an HTTP server for {total:d} connections, {address:d} of one address'
)
def given_server(context: typing.Any, total: int, address: int) -> None:
    memory_steps.given_server(context, 16)
    limits = crowds.Limits(total, address)
    context.server.crowd = crowds.Crowd(limits)
    context.clients = []


@behave.when('{count:d} clients connect: {what}')
def when_clients(context: typing.Any, count: int, what: str) -> None:
    if what == 'busy':
        context.may_answer.clear()

    async def act() -> None:
        for _ in range(count):
            caller = await memory_steps.Caller.open(context)
            await caller.send(SENT[what])
            if what == 'idle':
                assert await caller.read_reply() == 200
            context.clients.append(caller)
            if len(context.clients) == 1:
                await asyncio.sleep(FIRST_S)
        await asyncio.sleep(SETTLE_S)

    context.run(act())


async def _first_status(caller: memory_steps.Caller) -> int:
    """Return the status of a reply, 0 if the connection ended without one."""
    try:
        async with asyncio.timeout(END_S):
            line = await caller.reader.readline()
    except ConnectionError:
        return 0
    return int(line.split()[1]) if line else 0


@behave.when('another client sends a request')
def when_another(context: typing.Any) -> None:
    async def act() -> None:
        caller = await memory_steps.Caller.open(context)
        with contextlib.suppress(ConnectionError):
            await caller.send(HEAD + b'\r\n')
        context.status = await _first_status(caller)

    context.run(act())


@behave.then('that request is answered with {status:d}')
def then_answered(context: typing.Any, status: int) -> None:
    assert context.status == status, context.status


@behave.then('the first of the clients got {what}')
def then_first(context: typing.Any, what: str) -> None:
    expected = 0 if what == 'nothing' else int(what)
    status = context.run(_first_status(context.clients[0]))
    assert status == expected, status


@behave.then('that client got {status:d}, and its request has not run')
def then_refused(context: typing.Any, status: int) -> None:
    assert context.status == status, context.status
    received = context.handler.received
    assert received == len(context.clients), received


@behave.then(
    'all {count:d} requests are answered with {status:d} once the server '
    'answers'
)
def then_all(context: typing.Any, count: int, status: int) -> None:
    context.may_answer.set()

    async def act() -> list[int]:
        return [await _first_status(caller) for caller in context.clients]

    found = context.run(act())
    assert found == [status] * count, found


@behave.then(
    'the server holds at least {size:d} KB, and nothing once they have left'
)
def then_holds_heads(context: typing.Any, size: int) -> None:
    budget = context.server.budget
    assert budget.used_bytes >= size * KB, budget.by_place
    assert budget.connections == len(context.clients)
    for caller in context.clients:
        caller.writer.transport.abort()
    context.run(memory_steps.until(lambda: not budget.connections))
    assert not budget.used_bytes, budget.by_place


@behave.when('a client sends {count:d} chunks of 2 bytes in one request')
def when_chunks(context: typing.Any, count: int) -> None:
    context.asked = 0
    take = budgets.Budget.take

    def note(
        budget: budgets.Budget, holding: budgets.Holding, size: int
    ) -> None:
        context.asked += 1
        take(budget, holding, size)

    budgets.Budget.take = note
    context.stack.callback(setattr, budgets.Budget, 'take', take)
    head = b'POST /a/ HTTP/1.1\r\n' + server_steps.HOST
    framing = b'Transfer-Encoding: chunked\r\n\r\n'

    async def act() -> None:
        caller = await memory_steps.Caller.open(context)
        await caller.send(head + framing + b'2\r\nbb\r\n' * count)
        await caller.send(b'0\r\n\r\n')
        context.status = await caller.read_reply()

    context.run(act())


@behave.then('at most {count:d} times room was asked for')
def then_asked(context: typing.Any, count: int) -> None:
    assert context.asked <= count, context.asked
