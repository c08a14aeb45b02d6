"""Steps of the choice of what is dropped first."""

from __future__ import annotations

import re
import typing

import behave

from pomelobend import errors
from pomelobend.memory import budget as budgets
from pomelobend.memory import eviction
from tests.steps import clocks

KB = 1024
MB = 1024 * KB
STEP_BYTES = 16 * KB


@behave.given('connections in the stages {stages} since {since} s')
def given_connections(context: typing.Any, stages: str, since: str) -> None:
    context.candidates = [
        eviction.Candidate(
            f'{stage} {second}', eviction.Stage[stage.upper()], int(second)
        )
        for stage, second in zip(
            stages.split(', '), since.split(', '), strict=True
        )
    ]


@behave.then('they are dropped in the order {expected}')
def then_order(context: typing.Any, expected: str) -> None:
    found = eviction.connections_to_drop(context.candidates)
    assert found == expected.split(', '), found


def _new_budget(context: typing.Any, size: int) -> None:
    context.clock = clocks.StepClock()
    context.budget = budgets.Budget(size * MB, clock=context.clock.monotonic)


def _grow(
    context: typing.Any, holding: budgets.Holding, size: int
) -> budgets.Holding:
    """Let a request grow to a size until it is given up; return it."""
    try:
        while holding.size < size:
            holding.grow(min(STEP_BYTES, size - holding.size))
    except errors.MemoryFullError as error:
        context.failure = str(error)
        assert holding.is_given_up
    return holding


def _request(context: typing.Any, size: int) -> budgets.Holding:
    """Return a request that has grown to a size, or was given up."""
    holding = context.budget.open_request(lambda: None, budgets.Group())
    return _grow(context, holding, size)


@behave.given(
    'a budget of {size:d} MB with requests of {sizes} MB whose senders stall'
)
def given_requests(context: typing.Any, size: int, sizes: str) -> None:
    _new_budget(context, size)
    context.held = []
    for each in sizes.split(', '):
        context.held.append(_request(context, int(each) * MB))
        context.clock.time_s += 0.01


@behave.given(
    'a budget of {size:d} MB that requests of {each:d} KB fill, whose senders '
    'stall'
)
def given_filled(context: typing.Any, size: int, each: int) -> None:
    _new_budget(context, size)
    context.held = []
    for _ in range(size * MB // (each * KB)):
        context.held.append(_request(context, each * KB))
        context.clock.time_s += 0.0001


@behave.when('a request grows to {size:d} {unit:w} {later:d} s later')
def when_later(context: typing.Any, size: int, unit: str, later: int) -> None:
    context.clock.time_s += later
    factor = {'KB': KB, 'MB': MB}[unit]
    context.body = _request(context, size * factor)


@behave.when('their senders send 1 byte each second for {seconds:d} s')
def when_slow(context: typing.Any, seconds: int) -> None:
    for _ in range(seconds):
        context.clock.time_s += 1.0
        for holding in context.held:
            holding.grow(1)


@behave.then('the request of {size:d} MB alone is given up')
def then_alone(context: typing.Any, size: int) -> None:
    (first, *others) = sorted(
        context.held, key=lambda item: not item.is_given_up
    )
    kept = [item.size // MB for item in others]
    assert first.is_given_up
    assert not any(item.is_given_up for item in others), kept
    assert size not in kept, kept


@behave.then('the {count:d} oldest requests alone are given up')
def then_oldest(context: typing.Any, count: int) -> None:
    found = [item.is_given_up for item in context.held]
    assert all(found[:count]), found
    assert not any(found[count:]), found


@behave.when(
    'a request grows to {size:d} MB with {unparsed:d} KB of its input unparsed'
)
def when_unparsed(context: typing.Any, size: int, unparsed: int) -> None:
    group = budgets.Group()
    source = context.budget.open_input(lambda: None, group)
    source.grow(unparsed * KB)
    context.body = context.budget.open_request(lambda: None, group)
    _grow(context, context.body, size * MB)


@behave.when('a request grows to {size:d} MB beside {count:d} connections')
def when_crowded(context: typing.Any, size: int, count: int) -> None:
    context.budget.connections = count
    context.body = _request(context, size * MB)


@behave.then('it is given up at {size:d} MB')
def then_given_up_at(context: typing.Any, size: int) -> None:
    assert context.body.is_given_up
    message = context.failure
    (found,) = re.findall(r' (\d+) bytes', message)
    assert size * MB < int(found) <= size * MB + STEP_BYTES, message
