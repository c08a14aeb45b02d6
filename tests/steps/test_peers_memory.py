"""Steps for the memory that the connections between nodes take."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import tracemalloc
import typing

import attrs
import behave

from pomelobend import calls as call_values
from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.memory import budget as budgets
from pomelobend.peers import callee as callees
from pomelobend.peers import caller as peer_callers
from pomelobend.peers import codec
from pomelobend.peers import link as links
from pomelobend.peers import messages
from pomelobend.peers import options
from pomelobend.peers import stream as streams
from pomelobend.routing import call as call_module
from pomelobend.routing import target_stats
from standins import fleet
from tests.steps import test_peers_closing as closing_steps
from tests.steps import test_peers_pool as pool_steps

if typing.TYPE_CHECKING:
    from collections import abc

KIB = 1024
MIB = 1024 * 1024
CALL = 1
SETTLE_S = 0.5
DEADLINE_S = 10.0
SMALL_BYTES = 100
BUFFER_BYTES = 16 * KIB
NODE_BYTES = 128 * MIB
NO_MEMORY = 'no memory'
SLOW_PAUSE_S = 0.02
SLOW_READ_S = 0.002


class CountingConnection:
    """A connection that counts the body bytes sent on it."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    def send(self, message: messages.BodyPart) -> None:
        """Count the body of a message."""
        self.sent_bytes += len(message.body)

    async def until_writable(self, size: int) -> None:
        """Wait for nothing, as no data is buffered."""


@behave.when('a body of {size:d} MiB is split into parts and these are sent')
def when_split(context: typing.Any, size: int) -> None:
    context.body = bytes(size * MIB)
    connection = CountingConnection()
    stream = streams.Stream(connection, CALL, len(context.body))

    async def act() -> None:
        first, rest = streams.split_body(context.body, None)
        connection.sent_bytes += len(first)
        await stream.send_body(rest)

    tracemalloc.start()
    try:
        context.run(act())
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    context.sent_bytes = connection.sent_bytes


@behave.then('all of it is sent, with at most {most:d} MiB besides the body')
def then_no_copy(context: typing.Any, most: int) -> None:
    assert context.sent_bytes == len(context.body), context.sent_bytes
    assert context.peak_bytes <= most * MIB, context.peak_bytes


@behave.given('a link whose other end does not handle its messages yet')
def given_link(context: typing.Any) -> None:
    accepted: list[links.Link] = []

    async def accept(link: links.Link) -> None:
        accepted.append(link)

    async def start() -> None:
        address = f'127.0.0.1:{fleet.free_ports(1)[0]}'
        server = await links.listen(
            address, options.MESSAGE_BYTES, accept, links.Traffic()
        )
        context.stack.callback(server.close)
        context.link = await links.Link.connect(
            address, options.MESSAGE_BYTES, DEADLINE_S
        )
        context.stack.callback(context.link.abort)
        await pool_steps.until(lambda: accepted)

    context.run(start())
    context.other = accepted[0]


@behave.when('{count:d} messages of {size:d} KiB are sent on it')
def when_sent(context: typing.Any, count: int, size: int) -> None:
    context.sent = [
        number.to_bytes(2, 'big') * (size * KIB // 2)
        for number in range(count)
    ]

    async def act() -> None:
        for data in context.sent:
            context.link.send(data)
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.then('at most {most:d} MiB of them are queued at the other end')
def then_queued(context: typing.Any, most: int) -> None:
    queued = sum(map(len, context.other.inbox))
    assert 0 < queued <= most * MIB, queued


@behave.then('all of them are handled in their order once it goes on')
def then_handled(context: typing.Any) -> None:
    async def act() -> list[bytes]:
        async with asyncio.timeout(DEADLINE_S):
            return [await context.other.receive() for _ in context.sent]

    found = context.run(act())
    assert found == context.sent, len(found)


class Guard:
    """A target that answers each call as its path says."""

    free = 1
    wait_ms = 0

    def __init__(self) -> None:
        self.budget = budgets.Budget(NODE_BYTES)
        self.requests: list[int] = []
        self.is_free = asyncio.Event()
        self.is_free.set()
        self.failure: Exception | None = None
        self.running = 0

    async def run(self, call: typing.Any) -> call_values.Answer:
        """Read the body of a call; answer with as many bytes as it asks."""
        start, rest = call
        self.running += 1
        size = len(start.body)
        if size != SMALL_BYTES:
            await self.is_free.wait()
        if self.failure is not None:
            raise self.failure
        if rest is not None:
            size = sum([len(part) async for part in rest])
        self.requests.append(size)
        size = int(start.path.rpartition(b'/')[2])
        holding = self.budget.hold(budgets.Place.ANSWERS, size)
        return call_values.Answer(200, [], bytes(size), holding=holding)


async def parts_of(size: int) -> abc.AsyncIterator[bytes]:
    """Yield a body in parts."""
    for _ in range(size // streams.PART_BYTES):
        yield bytes(streams.PART_BYTES)


async def send_sized(
    context: typing.Any,
    request_size: int,
    answer_size: int,
    deadline_s: float = DEADLINE_S,
    *,
    is_streamed: bool = False,
) -> errors.CallRefusedError | int:
    """Send a call; return the size of its answer, or its refusal."""
    clock = clocks.SystemClock()
    call = call_module.Call(
        route_name='booking',
        service='tonabok',
        method='POST',
        path=b'/%d' % answer_size,
        headers=[],
        started=clock.monotonic(),
        deadline=clock.monotonic() + deadline_s,
        is_idempotent=False,
        priority=1,
        objective_ms=1000,
    )
    if is_streamed:
        call.remaining_body = parts_of(request_size)
    else:
        call.body = bytes(request_size)
    caller = peer_callers.Caller(context.dialling, clock)
    address = context.accepting.hello.address
    member = members.Member('n2', 1, 0, 'vik', address)
    try:
        answer = await caller.call(call, member, target_stats.TargetStats(1))
        size = len(answer.body)
        if answer.remaining_body is not None:
            size += sum([len(part) async for part in answer.remaining_body])
    except errors.CallRefusedError as refusal:
        return refusal
    except errors.AnswerBrokenError as error:
        return errors.CallRefusedError(
            errors.Reason.PEER_LOST, errors.Run.UNKNOWN, str(error)
        )
    return size


@behave.given('two nodes that call each other over one connection')
def given_nodes(context: typing.Any) -> None:
    closing_steps.given_nodes(context)
    limit_buffers(context)
    context.guard = Guard()
    context.accepting.handler = callees.Callee(
        context.guard,
        lambda start, stream: (start, callees.remaining_body(start, stream)),
        context.guard.budget,
    )
    context.accepted.handler = context.accepting.handler


def limit_buffers(context: typing.Any) -> None:
    """Make the kernel hold little of what the nodes send to each other."""
    for connection in (context.first, context.accepted):
        transport = closing_steps.transport_of(connection)
        sock = transport.get_extra_info('socket')
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)


def size_of(text: str) -> int:
    """Return a size that is given with its unit."""
    number, unit = text.split()
    return int(number) * {'KiB': KIB, 'MiB': MIB}[unit]


def start_calls(
    context: typing.Any,
    kind: str,
    size: str,
    count: int,
    deadline_s: float = DEADLINE_S,
) -> None:
    """Start calls, and note which end of the connection reads slowly."""
    context.size = size_of(size)
    is_answer = kind == 'answers'
    context.reader = context.first if is_answer else context.accepted
    context.writer = context.accepted if is_answer else context.first
    request_size = 0 if is_answer else context.size
    context.answer_size = context.size if is_answer else SMALL_BYTES
    context.calls = [
        asyncio.create_task(
            send_sized(
                context,
                request_size,
                context.answer_size,
                deadline_s,
                is_streamed=kind == 'uploads',
            )
        )
        for _ in range(count)
    ]
    for task in context.calls:
        context.stack.callback(task.cancel)


@behave.when(
    'the node that reads {kind:w} of {size} is held up as {count:d} calls are '
    'sent'
)
def when_held_up(
    context: typing.Any, kind: str, size: str, count: int
) -> None:
    hold_up(context, kind, size, count, DEADLINE_S)


@behave.when(
    'the node that reads {kind:w} of {size} is held up as {count:d} calls of '
    '{deadline_s:d} s are sent'
)
def when_held_up_calls(
    context: typing.Any, kind: str, size: str, count: int, deadline_s: int
) -> None:
    hold_up(context, kind, size, count, deadline_s)


def hold_up(
    context: typing.Any, kind: str, size: str, count: int, deadline_s: float
) -> None:
    """Start calls between two nodes one of which does not read."""

    async def act() -> None:
        context.began_at = time.monotonic()
        start_calls(context, kind, size, count, deadline_s)
        closing_steps.transport_of(context.reader).pause_reading()
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.when(
    'the node that reads {kind:w} of {size} is slow as {count:d} calls are '
    'sent'
)
def when_slow(context: typing.Any, kind: str, size: str, count: int) -> None:
    async def read_slowly() -> None:
        transport = closing_steps.transport_of(context.reader)
        while True:
            transport.pause_reading()
            await asyncio.sleep(SLOW_PAUSE_S)
            transport.resume_reading()
            await asyncio.sleep(SLOW_READ_S)

    async def act() -> None:
        start_calls(context, kind, size, count)
        context.slow = asyncio.create_task(read_slowly())
        await asyncio.sleep(0)

    context.run(act())


@behave.then(
    '{count:d} small calls beside them are answered within {most_s:g} s each'
)
def then_small(context: typing.Any, count: int, most_s: float) -> None:
    async def act() -> None:
        for _ in range(count):
            async with asyncio.timeout(most_s):
                size = await send_sized(context, SMALL_BYTES, SMALL_BYTES)
            assert size == SMALL_BYTES, repr(size)

    context.run(act())


@behave.then('at most {most:d} KiB are unsent')
def then_unsent(context: typing.Any, most: int) -> None:
    unsent = context.writer.link.unsent_bytes
    assert unsent <= most * KIB, unsent
    assert not any(task.done() for task in context.calls)


@behave.when('it goes on')
def when_goes_on(context: typing.Any) -> None:
    async def act() -> None:
        if 'slow' in context:
            context.slow.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await context.slow
        closing_steps.transport_of(context.reader).resume_reading()

    context.run(act())


@behave.then('all calls are answered with their whole bodies')
def then_all_answered(context: typing.Any) -> None:
    check_answered(context, context.calls)


@behave.then('the other calls are answered with their whole bodies')
def then_others_answered(context: typing.Any) -> None:
    check_answered(context, context.calls[1::2])


def check_answered(context: typing.Any, tasks: list[asyncio.Task]) -> None:
    """Check that calls get their answers."""
    found = context.run(asyncio.wait_for(asyncio.gather(*tasks), DEADLINE_S))
    wrong = [answer for answer in found if answer != context.answer_size]
    assert not wrong, f'{len(wrong)} of {len(found)}: {wrong[0]!r}'
    if context.writer is context.first:
        assert set(context.guard.requests) == {context.size}


@behave.then('no body waits for the connection')
def then_none_waits(context: typing.Any) -> None:
    async def act() -> None:
        for connection in (context.first, context.accepted):
            await pool_steps.until(
                lambda connection=connection: (
                    not connection.writers and not connection.serving
                )
            )

    context.run(act())


@behave.then(
    'all calls but the few that were sent are refused as not run within '
    '{most_s:g} s'
)
def then_refused(context: typing.Any, most_s: float) -> None:
    async def act() -> None:
        end = context.began_at + most_s
        _, pending = await asyncio.wait(
            context.calls, timeout=end - time.monotonic()
        )
        assert len(pending) <= 2, len(pending)

    context.run(act())
    refusals = [task.result() for task in context.calls if task.done()]
    for refusal in refusals:
        assert refusal.run is errors.Run.NOT_RUN, repr(refusal)
        assert refusal.reason is errors.Reason.OVERLOADED, repr(refusal)
    when_goes_on(context)


@behave.when('the connection ends')
def when_ends(context: typing.Any) -> None:
    async def act() -> None:
        context.first.link.abort()

    context.run(act())


@behave.when('the connection is given up')
def when_given_up(context: typing.Any) -> None:
    async def act() -> None:
        context.writer.finishes_at = context.writer.clock.monotonic()
        context.writer._give_up()

    context.run(act())


@behave.when('all calls are cancelled')
def when_all_cancelled(context: typing.Any) -> None:
    cancel(context, context.calls)


@behave.when('every second of the calls is cancelled')
def when_some_cancelled(context: typing.Any) -> None:
    cancel(context, context.calls[::2])


def cancel(context: typing.Any, tasks: list[asyncio.Task]) -> None:
    """Cancel calls and let the node of the target learn of it."""

    async def act() -> None:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    context.run(act())


@behave.then('all calls end within {most_s:g} s')
def then_end(context: typing.Any, most_s: float) -> None:
    async def act() -> None:
        _, pending = await asyncio.wait(context.calls, timeout=most_s)
        assert not pending, len(pending)

    context.run(act())
    if context.reader.is_closed or context.writer.is_closed:
        return
    when_goes_on(context)


@behave.given('room at a busy target for {room:d} MiB of its calls')
def given_busy(context: typing.Any, room: int) -> None:
    context.guard.is_free.clear()
    context.guard.budget.max_bytes = room * MIB


@behave.when('{count:d} calls with {kind:w} of {size} are sent')
def when_calls(context: typing.Any, count: int, kind: str, size: str) -> None:
    async def act() -> None:
        start_calls(context, kind, size, count)
        await asyncio.sleep(SETTLE_S)
        if not context.guard.is_free.is_set():
            await pool_steps.until(lambda: has_arrived(context))

    context.run(act())


def has_arrived(context: typing.Any) -> bool:
    """Return whether each call has been refused or runs."""
    ended = sum(task.done() for task in context.calls)
    return ended + context.guard.running >= len(context.calls)


@behave.then(
    '{count:d} of them run and the others are refused as not run for want of '
    'memory'
)
def then_some_run(context: typing.Any, count: int) -> None:
    refused = [task.result() for task in context.calls if task.done()]
    context.ran = [task for task in context.calls if not task.done()]
    assert len(context.ran) == context.guard.running == count, refused
    for refusal in refused:
        assert refusal.reason is errors.Reason.OVERLOADED, refusal
        assert refusal.run is errors.Run.NOT_RUN, refusal
        assert NO_MEMORY in refusal.detail, refusal
    assert context.guard.budget.used_bytes <= context.guard.budget.max_bytes


@behave.then('small calls beside them run')
def then_small_run(context: typing.Any) -> None:
    then_small(context, 1, 1.0)
    context.guard.requests.clear()


@behave.when('the target goes on')
def when_target_goes_on(context: typing.Any) -> None:
    context.guard.is_free.set()


@behave.when('the target fails')
def when_target_fails(context: typing.Any) -> None:
    context.guard.failure = ValueError('broken')
    context.guard.is_free.set()


@behave.then('the calls that ran are answered')
def then_ran_answered(context: typing.Any) -> None:
    check_answered(context, context.ran)


@behave.then('the node of the target holds {size:d} MiB')
def then_holds(context: typing.Any, size: int) -> None:
    assert context.guard.budget.used_bytes == size * MIB


@behave.then('the node of the target holds nothing')
def then_holds_nothing(context: typing.Any) -> None:
    budget = context.guard.budget

    async def act() -> None:
        await pool_steps.until(lambda: not context.accepted.serving)

    context.run(act())
    assert not budget.used_bytes, budget.by_place
    assert not any(budget.by_place.values()), budget.by_place


def start_of_upload(number: int) -> messages.CallStart:
    """Return the start of a call whose body follows in parts."""
    return attrs.evolve(
        pool_steps.call_start(number), path=b'/10', is_complete=False
    )


@behave.when(
    'a window of {size:d} KiB is filled with parts of {each:d} bytes for a '
    'busy target'
)
def when_small_parts(context: typing.Any, size: int, each: int) -> None:
    context.guard.is_free.clear()
    context.size = size * KIB
    stream = context.first.open_stream()
    part = messages.BodyPart(stream.call, b'a' * each, False)
    last = messages.BodyPart(stream.call, b'', True)
    data = codec.encode(part)

    async def act() -> None:
        context.first.send(start_of_upload(stream.call))
        await pool_steps.until(lambda: context.accepted.serving)
        served = context.accepted.streams[stream.call]
        tracemalloc.start()
        try:
            for _ in range(context.size // each):
                served.deliver(codec.decode(data))
            context.taken_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        served.deliver(last)

    context.run(act())


@behave.then('the parts take at most {most:d} MiB')
def then_take(context: typing.Any, most: int) -> None:
    assert context.taken_bytes <= most * MIB, context.taken_bytes


@behave.then('the target has read all of them')
def then_read_all(context: typing.Any) -> None:
    context.run(pool_steps.until(lambda: context.guard.requests))
    assert context.guard.requests == [context.size], context.guard.requests


ENDLESS = {
    'more than the window': messages.BodyPart(
        1, bytes(streams.PART_BYTES), False
    ),
    'answers without end': messages.AnswerStart(
        1, 200, [], bytes(streams.PART_BYTES), False, 0, 0
    ),
    'last parts without end': messages.BodyPart(
        1, bytes(streams.PART_BYTES), True
    ),
}


@behave.when('the other node sends {what} for a call that is not read')
def when_endless(context: typing.Any, what: str) -> None:
    stream = context.first.open_stream()
    message = attrs.evolve(ENDLESS[what], call=stream.call)
    context.stream = stream

    async def act() -> None:
        for _ in range(512):
            context.accepted.send_if_open(message)
            await asyncio.sleep(0)
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.then('the connection has ended, and at most {most:d} MiB were taken')
def then_ended(context: typing.Any, most: int) -> None:
    taken = sum(len(message.body) for message in context.stream.inbox)
    assert taken <= most * MIB, taken
    assert context.first.is_closed


@behave.given('answers that are held for {seconds:g} s after their deadlines')
def given_idle(context: typing.Any, seconds: float) -> None:
    context.accepted.handler.answer_idle_s = seconds


@behave.when(
    'the other node calls for an answer of {size:d} MiB within {limit_s:g} s '
    'and takes nothing of it'
)
def when_untaken(context: typing.Any, size: int, limit_s: float) -> None:
    stream = context.first.open_stream()
    start = attrs.evolve(
        pool_steps.call_start(stream.call),
        path=b'/%d' % (size * MIB),
        deadline_ms=round(limit_s * 1000),
    )

    async def act() -> None:
        context.began_at = time.monotonic()
        context.first.send(start)
        await pool_steps.until(lambda: context.guard.requests)

    context.run(act())


@behave.then('the node of the target holds {size} after {seconds:g} s')
def then_holds_after(context: typing.Any, size: str, seconds: float) -> None:
    left_s = context.began_at + seconds - time.monotonic()
    context.run(asyncio.sleep(left_s))
    expected = 0 if size == 'nothing' else size_of(size)
    budget = context.guard.budget
    assert budget.used_bytes == expected, budget.by_place


@behave.then('the connection is still used for calls')
def then_used(context: typing.Any) -> None:
    then_small(context, 1, 1.0)
    assert not context.first.is_closed


class Answering:
    """Answers each request for objects at once."""

    def dispatch_message(
        self, connection: typing.Any, message: messages.Message
    ) -> None:
        """Send a listing."""
        connection.send_if_open(messages.Listing('config', 0, 1, bytes(MIB)))


@behave.when(
    'the other node asks for 1 MiB of data {count:d} times and reads nothing'
)
def when_asks(context: typing.Any, count: int) -> None:
    context.accepted.handler = Answering()
    link = context.accepted.link
    context.most_unsent = 0

    async def act() -> None:
        closing_steps.transport_of(context.first).pause_reading()
        for number in range(count):
            context.first.send_if_open(messages.Want('config'))
            context.most_unsent = max(context.most_unsent, link.unsent_bytes)
            if not number % 100:
                await asyncio.sleep(0)
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            context.most_unsent = max(context.most_unsent, link.unsent_bytes)
            await asyncio.sleep(0)

    context.run(act())


@behave.then('at most {most:d} KiB were unsent to it')
def then_most_unsent(context: typing.Any, most: int) -> None:
    assert context.most_unsent <= most * KIB, context.most_unsent


@behave.then('its connection has ended')
def then_its_ended(context: typing.Any) -> None:
    assert context.accepted.is_closed


@behave.when(
    '{count:d} pings of the other node arrive while {what} is unsent to it'
)
def when_pings(context: typing.Any, count: int, what: str) -> None:
    connection = context.accepted
    before = connection.link.traffic.sent

    async def act() -> None:
        connection.link.is_write_paused = what == 'much'
        for _ in range(count):
            connection._dispatch(messages.Ping())

    context.run(act())
    context.answered_bytes = connection.link.traffic.sent - before


@behave.then('{count:d} of them are answered')
def then_pings(context: typing.Any, count: int) -> None:
    size = len(codec.encode(messages.Heartbeat(0)))
    assert context.answered_bytes == count * size, context.answered_bytes
