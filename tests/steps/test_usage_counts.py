"""Steps for calls that are counted by window and team."""

from __future__ import annotations

import collections
import json
import types
import typing

import behave
import hypothesis
from hypothesis import strategies

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.peers import messages
from pomelobend.usage import counts
from pomelobend.usage import exchange

WINDOWS = counts.Windows(5.0)

CALLS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('n1', 'n2', 'n3')),
        strategies.integers(0, 2),
        strategies.sampled_from(('pulo780', 'samlag')),
    ),
    max_size=30,
)


@behave.then('cumulative counts in any order, repeated, give the same sums')
def then_same(context: typing.Any) -> None:
    @hypothesis.settings(
        deadline=None, database=None, derandomize=True, max_examples=200
    )
    @hypothesis.given(CALLS, strategies.randoms(use_true_random=False))
    def check(calls: list, random: typing.Any) -> None:
        local = collections.defaultdict(lambda: counts.LocalCounts(WINDOWS))
        messages = []
        for node, window, team in calls:
            local[node].note(team, WINDOWS.end(window) - 1.0)
            messages += [
                ((node, 1), number, dict(found))
                for number, found in local[node].changes_since(0).items()
            ]
        messages += random.choices(messages, k=5) if messages else []
        random.shuffle(messages)
        domain = counts.DomainCounts()
        for message in messages:
            domain.merge(*message)
        for window in range(3):
            expected = collections.Counter(
                t for _, w, t in calls if w == window
            )
            assert domain.total(window) == expected

    check()


@behave.given('counts of a domain')
def given_domain(context: typing.Any) -> None:
    context.domain = counts.DomainCounts()


@behave.when(
    'node {node} reports {count:d} calls of {team} in window {window:d} as '
    'process {incarnation:d}'
)
def when_reports(
    context: typing.Any,
    node: str,
    count: int,
    team: str,
    window: int,
    incarnation: int,
) -> None:
    context.domain.merge((node, incarnation), window, {team: count})


@behave.when('the windows before {window:d} are forgotten')
def when_forgotten(context: typing.Any, window: int) -> None:
    context.domain.forget_before(window)


@behave.then('the domain has {count:d} calls of {team} in window {window:d}')
def then_count(
    context: typing.Any, count: int, team: str, window: int
) -> None:
    found = context.domain.total(window).get(team, 0)
    assert found == count, found


def _sum(window: int, domain: int, team: int) -> int:
    return 1 + (window * 7 + domain * 3 + team) % 900


@behave.given(
    'sums of {domains:d} domains with {teams:d} teams for {windows:d} windows'
)
def given_sums(
    context: typing.Any, domains: int, teams: int, windows: int
) -> None:
    context.sums = counts.Sums()
    context.shape = (domains, teams, windows)
    for window in range(windows):
        for domain in range(domains):
            row = {f't{t}': _sum(window, domain, t) for t in range(teams)}
            context.sums.merge(f'd{domain}', window, row)
        context.sums.compress(window + 1)


@behave.then('the sums of the latest {kept:d} windows are right')
def then_right(context: typing.Any, kept: int) -> None:
    domains, teams, windows = context.shape
    for window in range(windows - kept, windows):
        expected = {
            f't{t}': sum(_sum(window, d, t) for d in range(domains))
            for t in range(teams)
        }
        assert context.sums.total(window) == expected, window
    assert context.sums.dropped > 0


@behave.then('they take less than {size:d} MB')
def then_size(context: typing.Any, size: int) -> None:
    taken = sum(map(len, context.sums.packed.values()))
    assert taken < size * 1024 * 1024, taken


@behave.then('a correction of a compressed window counts')
def then_correction(context: typing.Any) -> None:
    window = max(context.sums.packed)
    before = context.sums.total(window)['t1']
    known = _sum(window, 0, 1)
    context.sums.merge('d0', window, {'t1': known + 9})
    context.sums.compress(window + 100)
    found = context.sums.total(window)['t1']
    assert found == before + 9, (before, found)


@behave.given('calls of a node counted in windows 7 and 8')
def given_calls(context: typing.Any) -> None:
    context.local = counts.LocalCounts(WINDOWS)
    context.local.note('pulo780', WINDOWS.end(7) - 1.0)
    context.first = context.local.begin_round()
    context.local.note('pulo780', WINDOWS.end(8) - 1.0)


@behave.then('the changes since the first round hold only window 8')
def then_changed(context: typing.Any) -> None:
    found = context.local.changes_since(context.first)
    assert found == {8: {'pulo780': 1}}, found


@behave.then('the changes since the start hold both windows')
def then_all(context: typing.Any) -> None:
    found = context.local.changes_since(0)
    assert found == {7: {'pulo780': 1}, 8: {'pulo780': 1}}, found


@behave.given('the exchange of a node')
def given_exchange(context: typing.Any) -> None:
    context.exchange = exchange.Exchange(
        None, None, clocks.SystemClock(), None, WINDOWS
    )


@behave.when(
    'calls of {team}, of no team and a nested one of {other} are sent'
)
def when_sent(context: typing.Any, team: str, other: str) -> None:
    for name, is_nested in ((team, False), ('', False), (other, True)):
        call = types.SimpleNamespace(team=name, is_nested=is_nested)
        context.exchange.note_sent(call)


@behave.when('the target refuses {refused:d} of {sent:d} calls of {team}')
def when_refused(
    context: typing.Any, refused: int, sent: int, team: str
) -> None:
    calls = [
        types.SimpleNamespace(team=team, is_nested=False) for _ in range(sent)
    ]
    for call in calls:
        context.exchange.note_sent(call)
    for call in calls[:refused]:
        context.exchange.note_not_run(call)


@behave.then('the node has counted {count:d} call of {team}')
def then_counted(context: typing.Any, count: int, team: str) -> None:
    found = list(context.exchange.local.by_window.values())
    assert found == [{team: count}], found


@behave.then('sums with the item {text} are refused')
def then_refused(context: typing.Any, text: str) -> None:
    try:
        context.exchange.handle_sums(
            messages.UsageSums('vik', [json.loads(text)])
        )
    except errors.ProtocolError:
        return
    raise AssertionError(text)


@behave.when('sums of a window that begins in an hour come')
def when_ahead(context: typing.Any) -> None:
    window = WINDOWS.number(context.exchange.wall_s() + 3600)
    context.exchange.handle_sums(messages.UsageSums('vik', [[window, {}]]))


@behave.then('no window is known')
def then_none_known(context: typing.Any) -> None:
    assert not context.exchange.sums.by_window
