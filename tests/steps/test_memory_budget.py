"""Steps of the budget for bytes that are held for others."""

from __future__ import annotations

import contextlib
import functools
import gc
import itertools
import typing

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelobend import errors
from pomelobend.memory import budget as budgets

KB = 1024
MB = 1024 * KB
MODEL_BYTES = 4 * MB
STEPS = 60
EXAMPLES = 60


@behave.given('a node that may use {memory:d} MB')
def given_node(context: typing.Any, memory: int) -> None:
    context.budget = budgets.Budget.of_node(memory * MB)


@behave.then('its budget is {size:d} MB')
def then_budget(context: typing.Any, size: int) -> None:
    assert context.budget.max_bytes == size * MB, context.budget.max_bytes


def _received(
    budget: budgets.Budget, size: int, *, is_whole: bool
) -> budgets.Holding:
    holding = budget.open(budgets.Place.ANSWERS)
    holding.grow(size)
    if is_whole:
        holding.complete(budgets.Place.REPLIES, lambda: None)
    return holding


@behave.given('a budget of {size:d} MB with {count:d} bodies of {each:d} KB')
def given_bodies(
    context: typing.Any, size: int, count: int, each: int
) -> None:
    context.budget = budgets.Budget(size * MB)
    context.held = [
        _received(context.budget, each * KB, is_whole=number % 2 == 0)
        for number in range(count)
    ]


@behave.given('a budget of {size:d} MB with bodies of {sizes} MB that grow')
def given_growing(context: typing.Any, size: int, sizes: str) -> None:
    context.budget = budgets.Budget(size * MB)
    context.held = [
        _received(context.budget, int(each) * MB, is_whole=False)
        for each in sizes.split(', ')
    ]


@behave.given('a budget of {size:d} MB that replies of {each:d} MB fill')
def given_replies(context: typing.Any, size: int, each: int) -> None:
    context.budget = budgets.Budget(size * MB)
    context.held = [
        _received(context.budget, each * MB, is_whole=True)
        for _ in range(int(context.budget.large_bytes / MB) // each)
    ]


def _waiting(budget: budgets.Budget, size: int) -> budgets.Holding:
    """Return the holding of a whole request that waits."""
    holding = budget.open_request(lambda: None, budgets.Group())
    holding.grow(size)
    holding.complete()
    return holding


@behave.given(
    'a budget of {size:d} MB that {count:d} whole requests of {each:d} KB '
    'wait in'
)
def given_waiting(
    context: typing.Any, size: int, count: int, each: int
) -> None:
    context.budget = budgets.Budget(size * MB)
    context.held = [_waiting(context.budget, each * KB) for _ in range(count)]


@behave.then('only {count:d} body was looked at for room')
def then_looked_at(context: typing.Any, count: int) -> None:
    assert len(context.budget.holdings) == count, context.budget.holdings


@behave.given(
    'a budget of {size:d} MB that small requests fill and {count:d} '
    'connections exceed'
)
def given_exceeded(context: typing.Any, size: int, count: int) -> None:
    context.budget = budgets.Budget(size * MB)
    context.held = []
    with contextlib.suppress(errors.MemoryFullError):
        for _ in itertools.count():
            context.held.append(_waiting(context.budget, KB))
    context.refused = []
    for number, holding in enumerate(context.held):
        refuse = functools.partial(context.refused.append, number)
        context.budget.queued.add(holding, refuse)
    context.budget.connections = count
    assert context.budget.total_bytes > context.budget.max_bytes


@behave.when('{count:d} answers of {size:d} KB are received')
def when_answers(context: typing.Any, count: int, size: int) -> None:
    context.received = [
        context.budget.open(budgets.Place.ANSWERS) for _ in range(count)
    ]
    for holding in context.received:
        _grow(holding, size * KB)


@behave.then(
    'the requests that came last made room for them, and no more than that'
)
def then_displaced(context: typing.Any) -> None:
    count = len(context.refused)
    total = len(context.held)
    assert context.refused == list(range(total - 1, total - count - 1, -1))
    free = context.budget.max_bytes - context.budget.total_bytes
    assert 0 <= free < KB, free


@behave.when('a further small request comes')
def when_small_request(context: typing.Any) -> None:
    context.body = context.budget.open_request(lambda: None, budgets.Group())
    _grow(context.body, KB)


@behave.given('a budget of {size:d} MB that bodies in reference cycles fill')
def given_cycles(context: typing.Any, size: int) -> None:
    context.budget = budgets.Budget(size * MB)
    gc.disable()
    context.stack.callback(gc.enable)
    for _ in range(size):
        cycle = [_received(context.budget, MB - 64 * KB, is_whole=True)]
        cycle.append(cycle)
        del cycle


@behave.given('a budget of {size:d} MB')
def given_budget(context: typing.Any, size: int) -> None:
    context.budget = budgets.Budget(size * MB)


@behave.when('requests of 1 MB are received until one is given up')
def when_requests(context: typing.Any) -> None:
    context.held = []
    while True:
        holding = context.budget.open(budgets.Place.REQUESTS)
        if _grow(holding, MB):
            return
        holding.complete()
        context.held.append(holding)


@behave.then('{count:d} requests are held')
def then_requests(context: typing.Any, count: int) -> None:
    assert len(context.held) == count, len(context.held)


@behave.when('a request grows to {size:d} MB')
def when_request(context: typing.Any, size: int) -> None:
    context.body = context.budget.open(budgets.Place.REQUESTS)
    _grow(context.body, size * MB)


@behave.when(
    'a request grows to {size:d} MB beside {count:d} answers that grow without'
    ' end'
)
def when_beside(context: typing.Any, size: int, count: int) -> None:
    context.body = context.budget.open(budgets.Place.REQUESTS)
    context.body.grow(size * MB)
    answers = [
        context.budget.open(budgets.Place.ANSWERS) for _ in range(count)
    ]
    while not all(item.is_given_up for item in answers):
        for item in answers:
            if not item.is_given_up:
                with contextlib.suppress(errors.MemoryFullError):
                    item.grow(16 * KB)


@behave.when('a body of {size:d} MB that is whole is held')
def when_whole(context: typing.Any, size: int) -> None:
    context.body = context.budget.hold(budgets.Place.NODES, size * MB)


@behave.then('it is not given up')
def then_not_given_up(context: typing.Any) -> None:
    assert not context.body.is_given_up


def _grow(holding: budgets.Holding, size: int) -> bool:
    """Let a body grow to a size; return whether it was given up."""
    try:
        while holding.size < size:
            holding.grow(16 * KB)
    except errors.MemoryFullError:
        return True
    return False


@behave.when('a body grows without end')
def when_endless(context: typing.Any) -> None:
    context.body = context.budget.open(budgets.Place.ANSWERS)
    assert _grow(context.body, 1024 * MB)


@behave.when('a body grows to {size:d} MB')
def when_grown(context: typing.Any, size: int) -> None:
    context.body = context.budget.open(budgets.Place.ANSWERS)
    _grow(context.body, size * MB)


@behave.when('{count:d} bodies of {each:d} KB are received')
def when_received(context: typing.Any, count: int, each: int) -> None:
    context.received = [
        _received(context.budget, each * KB, is_whole=True)
        for _ in range(count)
    ]


@behave.when(
    'room is asked for whole bodies of {large:d} MB and of {small:d} KB'
)
def when_asked(context: typing.Any, large: int, small: int) -> None:
    context.received = []
    for size in (large * MB, small * KB):
        with contextlib.suppress(errors.MemoryFullError):
            holding = context.budget.hold(budgets.Place.NODES, size)
            context.received.append(holding)


@behave.then('only the one of {size:d} KB has room')
def then_only(context: typing.Any, size: int) -> None:
    assert [item.size for item in context.received] == [size * KB]
    assert context.budget.by_place[budgets.Place.NODES] == size * KB


@behave.then('the bodies that grow are not given up')
def then_kept(context: typing.Any) -> None:
    assert not any(holding.is_given_up for holding in context.held)


@behave.when('all of them are dropped')
def when_dropped(context: typing.Any) -> None:
    context.held.clear()


@behave.then('it is given up, and no other')
def then_alone(context: typing.Any) -> None:
    assert context.body.is_given_up
    assert not any(holding.is_given_up for holding in context.held)


@behave.then('the body of {size:d} MB is given up')
def then_given_up(context: typing.Any, size: int) -> None:
    found = [item for item in context.held if item.is_given_up]
    assert found == [context.held[1]], found
    assert not context.body.is_given_up


@behave.then('none of them is given up')
def then_none(context: typing.Any) -> None:
    assert not any(item.is_given_up for item in context.received)
    assert context.budget.used_bytes <= context.budget.max_bytes


@behave.then('nothing is held')
def then_nothing(context: typing.Any) -> None:
    assert context.budget.used_bytes == 0
    assert not any(context.budget.by_place.values())


class Courses(stateful.RuleBasedStateMachine):
    """Bodies that grow, become whole, are moved, released and dropped."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = budgets.Budget(MODEL_BYTES)
        self.held: list[budgets.Holding] = []
        self.sizes: list[int] = []

    @stateful.rule(place=strategies.sampled_from(budgets.Place))
    def begin(self, place: budgets.Place) -> None:
        """Begin to receive a body."""
        self.held.append(self.budget.open(place))
        self.sizes.append(0)

    @stateful.rule(
        place=strategies.sampled_from(budgets.Place),
        size=strategies.integers(1, 2 * MB),
    )
    def hold(self, place: budgets.Place, size: int) -> None:
        """Hold a body that is whole."""
        given_up = [holding.is_given_up for holding in self.held]
        with contextlib.suppress(errors.MemoryFullError):
            self.held.append(self.budget.hold(place, size))
            self.sizes.append(size)
            given_up.append(False)
        assert [holding.is_given_up for holding in self.held] == given_up

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        index=strategies.integers(0, 99),
        size=strategies.integers(1, 2 * MB),
    )
    def grow(self, index: int, size: int) -> None:
        """Receive more of a body."""
        index %= len(self.held)
        try:
            self.held[index].grow(size)
            self.sizes[index] += size
        except errors.MemoryFullError:
            assert self.held[index].is_given_up

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        index=strategies.integers(0, 99),
        place=strategies.sampled_from(budgets.Place),
        can_end=strategies.booleans(),
    )
    def complete(
        self, index: int, place: budgets.Place, can_end: bool
    ) -> None:
        """Let a body become whole, in another place."""
        on_give_up = (lambda: None) if can_end else None
        self.held[index % len(self.held)].complete(place, on_give_up)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        index=strategies.integers(0, 99), is_dropped=strategies.booleans()
    )
    def end(self, index: int, is_dropped: bool) -> None:
        """Release or drop a body."""
        index %= len(self.held)
        del self.sizes[index]
        holding = self.held.pop(index)
        if not is_dropped:
            holding.release()

    @stateful.invariant()
    def sums_are_right(self) -> None:
        """Check the limit and the sums."""
        expected = sum(
            size
            for size, holding in zip(self.sizes, self.held, strict=True)
            if not holding.is_given_up
        )
        assert self.budget.used_bytes == expected <= MODEL_BYTES
        assert sum(self.budget.by_place.values()) == expected


@behave.when(
    'bodies grow, become whole, are moved, released and dropped at random'
)
def when_random(context: typing.Any) -> None:
    context.machine = Courses


@behave.then(
    'the budget is never exceeded, and its sums are those of the bodies'
)
def then_never(context: typing.Any) -> None:
    stateful.run_state_machine_as_test(
        context.machine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
        ),
    )


@behave.when('a body of {size:d} bytes grows by {more:d}')
def when_grows_by(context: typing.Any, size: int, more: int) -> None:
    holding = context.budget.open(budgets.Place.ANSWERS)
    holding.grow(size)
    try:
        holding.grow(more)
    except errors.MemoryFullError as error:
        context.failure = str(error)


@behave.then('the failure tells a body of {size:d} bytes')
def then_tells(context: typing.Any, size: int) -> None:
    assert f' {size} bytes' in context.failure, context.failure
