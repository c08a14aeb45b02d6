"""Steps for the fairness between teams that wait for slots."""

from __future__ import annotations

import functools
import tracemalloc
import typing

import attrs
import behave
import hypothesis
from hypothesis import strategies

from pomelobend.admission import team_order
from pomelobend.admission import waiting
from pomelobend.routing import call as call_module
from tests.steps import team_workload

QUARTER = 0.25
RUN_S = 0.1
FLOODING = {'a large team': 'team-0', 'a small team': 'team-40'}
DRAWS = (1, 2)
"""Seeds of the workloads that are added up. A small team offers 30 calls in
one of them."""

AS_MANY = 0.99
"""Share above which two counts are taken for equal."""

deterministic = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)


@functools.cache
def play(way: str, load: float, flooding: str) -> team_workload.Counts:
    """Return the counts of a workload over several draws."""
    total = team_workload.Counts()
    for seed in DRAWS:
        order = team_workload.ORDERS[way]()
        counts = team_workload.play(order, load, flooding, seed)
        total.offered += counts.offered
        total.served += counts.served
    return total


@behave.given(
    '80 teams that offer {load:g} times the capacity, started by {way}'
)
def given_teams(context: typing.Any, load: float, way: str) -> None:
    context.load, context.way = load, way


@behave.when('{which} sends five times its usual load')
def when_flooding(context: typing.Any, which: str) -> None:
    context.flooding = FLOODING[which]
    context.before = play(context.way, context.load, '')
    context.after = play(context.way, context.load, context.flooding)


def least_ratio(counts: team_workload.Counts) -> tuple[float, str]:
    """Return the least share of a team, relative to that of all, and it."""
    return min(
        (counts.share_of(team) / counts.share, team) for team in counts.offered
    )


def kept(context: typing.Any, before: team_workload.Counts) -> list[float]:
    """Return what other large and other small teams have kept."""
    large = {f'team-{n}' for n in range(team_workload.LARGE)}
    others = set(before.offered) - {context.flooding}
    return [
        sum(context.after.served[team] for team in group)
        / sum(before.served[team] for team in group)
        for group in (others & large, others - large)
    ]


@behave.then('no team is served less than a quarter as often as all teams')
def then_quarter(context: typing.Any) -> None:
    ratio, team = least_ratio(context.after)
    assert ratio >= QUARTER, (ratio, team)


@behave.then('a team is served less than a quarter as often')
def then_less(context: typing.Any) -> None:
    ratio, team = least_ratio(context.after)
    assert ratio < QUARTER, (ratio, team)


@behave.then(
    'the other large teams and the other small teams keep {percent:d} percent '
    'of their calls'
)
def then_kept(context: typing.Any, percent: int) -> None:
    found = kept(context, context.before)
    assert min(found) >= percent / 100, found


@behave.then('other teams lose a fifth of their calls')
def then_lost(context: typing.Any) -> None:
    found = kept(context, context.before)
    assert min(found) < 0.8, found


def large_served(context: typing.Any) -> tuple[int, int]:
    """Return what large teams had before, with and without fairness."""
    plain = play('due times', context.load, '')
    large = [f'team-{n}' for n in range(team_workload.LARGE)]
    return (
        sum(context.before.served[team] for team in large),
        sum(plain.served[team] for team in large),
    )


@behave.then('they had no less before than without fairness')
def then_no_less(context: typing.Any) -> None:
    fair, plain = large_served(context)
    assert fair >= AS_MANY * plain, (fair, plain)


@behave.then('teams had less before than without fairness')
def then_had_less(context: typing.Any) -> None:
    fair, plain = large_served(context)
    assert fair < AS_MANY * plain, (fair, plain)


def queued_call(
    team: str = '',
    priority: int = 1,
    due: float = 1.0,
    *,
    is_nested: bool = False,
) -> waiting.QueuedCall:
    """Return a call that waits, with a due time in s."""
    call = call_module.Call(
        route_name='lookup',
        service='tonabok',
        method='GET',
        path=b'/',
        headers=[],
        started=0.0,
        deadline=due,
        is_idempotent=True,
        priority=priority,
        objective_ms=10**9,
        team=team,
        is_nested=is_nested,
    )
    return waiting.QueuedCall(call, None, RUN_S, 0.0, priority)


def enqueue(queue: waiting.Queue, queued: waiting.QueuedCall) -> None:
    """Add a call as the slots do."""
    queue.teams.note_offered(queued.call, queued.queued_at)
    queue.place(queued)
    queue.add(queued)


_keys = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 3), strategies.integers(0, 9).map(float)
    )
)


@behave.then(
    'any waiting calls that are {which} start by priority and then by due time'
)
def then_by_due(context: typing.Any, which: str) -> None:
    team = 'pulo780' if which == 'all of one team' else ''

    @deterministic
    @hypothesis.given(_keys, _keys)
    def check(first: list, second: list) -> None:
        queue = waiting.Queue()
        started = []
        expected: list[tuple] = []
        number = 0
        for keys in (first, second):
            for priority, due in keys:
                expected.append((priority, due, number))
                queued = queued_call(team, priority, due)
                queued.call.attempt = number
                enqueue(queue, queued)
                number += 1
            expected.sort()
            listed = [item.call.attempt for item in queue.waiting_calls]
            assert listed == [key[2] for key in expected]
            half = len(expected) // 2
            started = [queue.pop().call.attempt for _ in range(half)]
            assert started == [key[2] for key in expected[:half]]
            del expected[:half]
        assert queue.teams.is_used == bool(team and number)

    check()


@behave.given(
    'a call of priority 0 waits, and a nested one of priority 2 comes'
)
def given_nested(context: typing.Any) -> None:
    context.queue = waiting.Queue()
    context.plain = queued_call('', 0)
    context.nested = queued_call('', 2, is_nested=True)
    for queued in (context.plain, context.nested):
        enqueue(context.queue, queued)


@behave.then('the nested call starts first, and the other one yields to it')
def then_nested(context: typing.Any) -> None:
    assert context.plain.yields_to(context.nested)
    assert not context.nested.yields_to(context.plain)
    assert context.queue.pop() is context.nested
    assert not context.queue.teams.is_used


@behave.given('a team with {count:d} waiting calls, and one that has none')
def given_many(context: typing.Any, count: int) -> None:
    context.queue = waiting.Queue()
    context.calls = [queued_call('many', due=1.0 + n) for n in range(count)]
    for queued in context.calls:
        enqueue(context.queue, queued)


@behave.then('the last call yields to a new call of the other team')
def then_yields(context: typing.Any) -> None:
    newcomer = queued_call('none', due=99.0)
    context.queue.teams.note_offered(newcomer.call, 0.0)
    context.queue.place(newcomer)
    assert context.calls[-1].yields_to(newcomer)
    assert not context.calls[0].yields_to(newcomer)


@behave.then('no call yields to a new call of its own team or of less urgency')
def then_no_yield(context: typing.Any) -> None:
    own = queued_call('many', due=0.5)
    later = queued_call('none', 2, due=0.5)
    for newcomer in (own, later):
        context.queue.place(newcomer)
        assert not any(call.yields_to(newcomer) for call in context.calls)


_steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('add', 'add', 'pop', 'drop')),
        strategies.sampled_from(('', 'a', 'b', 'c')),
        strategies.integers(0, 1),
        strategies.integers(0, 9).map(float),
        strategies.booleans(),
    ),
    max_size=40,
)


def _check_sound(
    queue: waiting.Queue, expected: list[waiting.QueuedCall]
) -> None:
    """Check that a queue holds calls in order, each team's by due time."""
    listed = queue.waiting_calls
    assert queue.size == len(queue.heap) == len(listed)
    assert set(map(id, listed)) == set(map(id, expected))
    orders = [queued.order for queued in listed]
    assert orders == sorted(orders)
    assert [entry[0] for entry in sorted(queue.heap)] == orders
    for queued in listed:
        dues = [
            known.call.due for known in listed if queued.is_same_team(known)
        ]
        assert dues == sorted(dues)


@behave.then('after any additions, starts and drops the queue is sound')
def then_sound(context: typing.Any) -> None:
    @deterministic
    @hypothesis.given(_steps)
    def check(steps: list) -> None:
        queue = waiting.Queue()
        held: list[waiting.QueuedCall] = []
        times: dict = {}
        for act, team, priority, due, is_nested in steps:
            if act == 'add':
                queued = queued_call(team, priority, due, is_nested=is_nested)
                queue.teams.note_offered(queued.call, 0.0)
                queue.place(queued)
                promised = queued.order
                queue.add(queued)
                assert queued.order == promised
                held.append(queued)
            elif held and act == 'pop':
                first = queue.waiting_calls[0]
                assert queue.pop() is first
                held.remove(first)
                queue.teams.note_served(first.call)
            elif held:
                dropped = held.pop(int(due) % len(held))
                queue.drop(dropped)
                queue.drop(dropped)
            _check_sound(queue, held)
            for level, time in queue.teams.times.items():
                assert time >= times.get(level, 0.0)
            times = dict(queue.teams.times)

    check()


@behave.given('a queue that {count:d} teams have used within a second')
def given_teams_used(context: typing.Any, count: int) -> None:
    context.order = team_order.TeamOrder()
    calls = [queued_call(f'team-{n}').call for n in range(count)]
    tracemalloc.start()
    for number, call in enumerate(calls):
        context.order.note_offered(call, number / count)
    context.held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@behave.then('it holds {count:d} flows of less than {size:d} bytes each')
def then_flows(context: typing.Any, count: int, size: int) -> None:
    assert len(context.order.flows) == count
    assert context.held_bytes < count * size, context.held_bytes / count


@behave.then('it holds 1 flow once a team calls {seconds:d} s later')
def then_evicted(context: typing.Any, seconds: int) -> None:
    call = attrs.evolve(queued_call('team-1').call)
    context.order.note_offered(call, 1.0 + seconds)
    assert len(context.order.flows) == 1, len(context.order.flows)
