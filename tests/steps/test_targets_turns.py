"""Steps of input that is parsed in turns."""

from __future__ import annotations

import asyncio
import sys
import typing

import attrs
import behave

from pomelobend import turns as turn_module

KIB = 1024


@attrs.define(eq=False)
class Connection:
    """A connection whose input consists of parts of one size."""

    part_size: int
    data: bytes
    parts: int = 0
    most_parts: int = 0
    changes: int = 0
    parsed: bytearray = attrs.field(factory=bytearray)
    intake: turn_module.Intake | None = None

    def parse(self, data: memoryview) -> int:
        """Parse a slice."""
        self.parsed += data
        parts = max(1, len(data) // self.part_size)
        self.parts += parts
        return parts

    def note_change(self) -> None:
        """Note that input begins or ceases to wait."""
        self.changes += 1


@behave.given(
    '{count:d} connections that receive {size:d} bytes of {each:d}-byte parts'
    ' each'
)
def given_connections(
    context: typing.Any, count: int, size: int, each: int
) -> None:
    turns = turn_module.Turns()
    data = bytes(number % 251 for number in range(size))
    context.connections = [Connection(each, data) for _ in range(count)]
    for connection in context.connections:
        connection.intake = turn_module.Intake(
            turns, connection.parse, connection.note_change
        )
    context.act = lambda connection: None


def _receive(context: typing.Any) -> None:
    for connection in context.connections:
        connection.intake.receive(connection.data)
    for connection in context.connections:
        context.act(connection)


async def _parse_all(context: typing.Any) -> int:
    """Parse all input; return the most parts between two rounds."""
    _receive(context)
    parts = sum(item.parts for item in context.connections)
    most = 0
    while any(item.intake.is_waiting for item in context.connections):
        await asyncio.sleep(0)
        now = sum(item.parts for item in context.connections)
        most = max(most, now - parts)
        parts = now
    return most


@behave.then('others come in after at most {most:d} parts')
def then_between(context: typing.Any, most: int) -> None:
    found = context.run(_parse_all(context))
    assert 0 < found <= most, found


@behave.then('others come in after at most {most:d} KiB')
def then_between_blocks(context: typing.Any, most: int) -> None:
    async def act() -> int:
        found = parsed = 0
        _receive(context)
        while True:
            now = sum(len(item.parsed) for item in context.connections)
            found, parsed = max(found, now - parsed), now
            if not any(item.intake.is_waiting for item in context.connections):
                return found
            await asyncio.sleep(0)

    found = context.run(act())
    assert 0 < found <= most * KIB, found


@behave.then('nothing of them is lost')
def then_whole(context: typing.Any) -> None:
    for connection in context.connections:
        assert connection.parsed == connection.data


@behave.when('another one receives {size:d} bytes after them')
def when_little(context: typing.Any, size: int) -> None:
    async def act() -> None:
        _receive(context)
        first = context.connections[0]
        other = Connection(size, bytes(size))
        other.intake = turn_module.Intake(
            first.intake.turns, other.parse, other.note_change
        )
        other.intake.receive(other.data)
        context.other = other
        context.waiting = [c.intake.is_waiting for c in context.connections]

    context.run(act())


@behave.then('its input is parsed before theirs')
def then_before(context: typing.Any) -> None:
    assert context.other.parsed == context.other.data
    assert sum(context.waiting) >= 18, context.waiting


@behave.then('all bytes are parsed in their order')
def then_parsed(context: typing.Any) -> None:
    for connection in context.connections:
        assert connection.parsed == connection.data
        assert connection.changes == 2, connection.changes


@behave.when('the connections end')
def when_ended(context: typing.Any) -> None:
    context.act = lambda connection: connection.intake.finish()


@behave.then(
    'all bytes are parsed in their order, without a round of the loop'
)
def then_parsed_at_once(context: typing.Any) -> None:
    async def act() -> None:
        _receive(context)
        for connection in context.connections:
            assert connection.parsed == connection.data

    context.run(act())


@behave.when('half of the connections drop their input')
def when_dropped(context: typing.Any) -> None:
    dropped = context.connections[::2]
    context.kept = context.connections[1::2]

    def act(connection: Connection) -> None:
        if connection in dropped:
            connection.intake.drop()

    context.act = act


@behave.then('the others are parsed in their order')
def then_kept(context: typing.Any) -> None:
    context.run(_parse_all(context))
    for connection in context.kept:
        assert connection.parsed == connection.data


@behave.then('their input is not held once it is parsed')
def then_not_held(context: typing.Any) -> None:
    data = context.connections[0].data
    before = sys.getrefcount(data)
    context.run(_parse_all(context))
    assert sys.getrefcount(data) == before, sys.getrefcount(data) - before
