"""Steps of the watch over the memory of a node."""

from __future__ import annotations

import typing

import behave
from structlog import testing

from pomelobend import clock as clocks
from pomelobend.memory import watch

MB = 1024 * 1024


@behave.given(
    'a node that may use {limit:d} MB and holds {held:d} MB of answers'
)
def given_node(context: typing.Any, limit: int, held: int) -> None:
    context.readings = iter(())
    context.watch = watch.MemoryWatch(
        clocks.SystemClock(),
        limit * MB,
        lambda: {'answers': held * MB},
        lambda: next(context.readings),
    )


@behave.when('its memory is {readings} MB')
def when_memory(context: typing.Any, readings: str) -> None:
    sizes = [int(text) * MB for text in readings.split(', ')]
    context.readings = iter(sizes)
    with testing.capture_logs() as context.logs:
        for _ in sizes:
            context.watch.look()


@behave.then('it is logged at {expected} MB with the answers')
def then_logged(context: typing.Any, expected: str) -> None:
    found = [entry['used_kb'] // 1024 for entry in context.logs]
    assert found == [int(text) for text in expected.split(', ')], found
    assert all(
        entry['held_kb'] == {'answers': 90 * 1024} for entry in context.logs
    )


@behave.when('a process takes {size:d} MB more')
def when_taken(context: typing.Any, size: int) -> None:
    before = watch.resident_bytes()
    taken = bytearray(b'1') * (size * MB)
    context.grown = watch.resident_bytes() - before
    del taken


@behave.then('its memory has grown by {least:d} to {most:d} MB')
def then_grown(context: typing.Any, least: int, most: int) -> None:
    assert least * MB <= context.grown <= most * MB, context.grown
