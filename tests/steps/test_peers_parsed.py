"""Steps for messages that take much memory once they are parsed."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
import typing

import attrs
import behave
import structlog.testing

from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import codec
from pomelobend.peers import messages
from tests.steps import test_peers_closing as closing_steps
from tests.steps import test_peers_pool as pool_steps

MIB = 1024 * 1024
SIZE = 2 * MIB - 1024
WORK_S = 1.5
ROUTES = 1400
PATTERNS = {
    'empty lists': b'\x80',
    'empty maps': b'\xa0',
    'maps of maps': b'\xa1\x00' * 100 + b'\x00',
    'sets': b'\xd9\x01\x02\x80',
}
NO_CALL, FIRST_OF_OTHER = 0x0B, 0x02
STARTS = {
    'evidence': b'\x84\x18\x20\x61a\x61b',
    'an unknown message': b'\x83\x18\x63\x01',
    'an answer to no call': bytes((0x88, 13, NO_CALL, 0x18, 200)),
    'the start of a call': bytes((0x8F, 10, FIRST_OF_OTHER)),
}


def large(start: bytes, what: str) -> bytes:
    """Return a message that goes on with many values."""
    pattern = PATTERNS[what]
    count = SIZE // len(pattern)
    return start + b'\x9a' + count.to_bytes(4, 'big') + pattern * count


def one_call(context: typing.Any, number: int) -> asyncio.Task:
    """Start a call to the node with the target."""
    return asyncio.create_task(closing_steps.send(context, number))


@behave.when('a call is at work as {message} of 2 MiB of {what} arrives')
def when_arrives(context: typing.Any, message: str, what: str) -> None:
    data = large(STARTS[message], what)
    context.guard.work_s = WORK_S

    async def act() -> None:
        call = one_call(context, 1)
        await pool_steps.until(lambda: context.guard.runs)
        received = context.first.last_received_at
        tracemalloc.start()
        try:
            context.accepted.link.send(data)
            await pool_steps.until(
                lambda: (
                    context.first.is_closed
                    or context.first.last_received_at > received
                )
            )
            context.peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        context.found = await call

    with structlog.testing.capture_logs() as context.lines:
        context.run(act())


@behave.then(
    'the message is refused with one line and took at most {most:d} MiB'
)
def then_refused(context: typing.Any, most: int) -> None:
    assert context.peak_bytes <= most * MIB, context.peak_bytes
    found = [line for line in context.lines if 'size_kb' in line]
    assert len(found) == 1, context.lines
    assert found[0]['node'] == 'n2', found


@behave.then(
    'the call at work is answered, and a later one on the same connection'
)
def then_answered(context: typing.Any) -> None:
    assert context.found == context.guard.body, context.found
    context.guard.work_s = 0.0

    async def act() -> None:
        context.later = await closing_steps.send(context, 2)

    context.run(act())
    assert context.later == context.guard.body, context.later
    assert context.dialling.all() == [context.first]


@behave.when(
    'two calls are at work as an answer of 2 MiB of empty lists to one arrives'
)
def when_two(context: typing.Any) -> None:
    context.guard.work_s = WORK_S

    async def act() -> None:
        calls = [one_call(context, number) for number in (1, 2)]
        await pool_steps.until(lambda: len(context.guard.runs) == len(calls))
        call = min(context.first.streams)
        start = bytes((0x88, 13, call, 0x18, 200))
        began = time.monotonic()
        context.accepted.link.send(large(start, 'empty lists'))
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        context.took_s = time.monotonic() - began
        context.found = await asyncio.gather(*calls)

    context.run(act())


@behave.then(
    'that one fails within {most_s:g} s and the other one is answered'
)
def then_fails(context: typing.Any, most_s: float) -> None:
    assert context.found == [errors.Run.UNKNOWN, context.guard.body]
    assert context.took_s <= most_s, context.took_s


def member(number: int) -> members.Member:
    """Return a member of a large mesh."""
    return members.Member(
        f'vik-t{number:05}',
        1_796_500_000_000_000_000 + number,
        number,
        f'vik-{number % 7}',
        f'10.0.{number // 256}.{number % 256}:8080',
        service=f'service-{number % 100}',
        version='2026.12.06-1',
    )


LARGE = {
    '3400 members': lambda: messages.DomainMembers(
        'vik',
        [codec.member_to_wire(member(number)) for number in range(3400)],
        [f'hella-t{number:05}' for number in range(3400)],
        True,
    ),
    'a listing of 2 MiB': lambda: messages.Listing(
        'config', 0, 1, bytes(SIZE)
    ),
    'an answer of 2 MiB': lambda: messages.AnswerStart(
        1, 200, [['a', 'b']] * 100, b'\x80' * SIZE, True, 0, 0
    ),
    'tallies of 1400 routes': lambda: messages.Evidence(
        'tonabok',
        '1',
        {f'route-{n}': [n, 10**9, 10**9, [n] * 20] for n in range(ROUTES)},
    ),
    'a text of 1 MiB': lambda: messages.Broken(1, 'é' * (MIB // 2)),
}


@behave.then('a message with {what} is read')
def then_read(context: typing.Any, what: str) -> None:
    message = LARGE[what]()
    assert codec.decode(codec.encode(message)) == message


@behave.then('a member whose {field} is no number is a protocol error')
def then_no_number(context: typing.Any, field: str) -> None:
    names = [item.name for item in attrs.fields(members.Member)]
    for value in ([[], []], 'a', None, 1.5, -1):
        wire = codec.member_to_wire(member(1))
        wire[names.index(field)] = value
        try:
            codec.member_from_wire(wire)
        except errors.ProtocolError:
            continue
        raise AssertionError(value)
