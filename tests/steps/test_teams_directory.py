"""Steps of teams, their keys and their labels."""

from __future__ import annotations

import collections
import datetime
import typing

import behave
import hypothesis
from hypothesis import strategies
import structlog

from pomelobend import errors
from pomelobend.mesh import state as states
from pomelobend.metrics import counters as counter_module
from pomelobend.metrics import exposition
from pomelobend.routing import table as tables
from pomelobend.teams import access as accesses
from pomelobend.teams import directory as directories

HOST = 'bells.example'
KEY = 'th5m'
ARTICLES = {'missing': 'a', 'malformed': 'a', 'unknown': 'an'}

deterministic = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)

_teams = strategies.dictionaries(
    strategies.text(min_size=1), strategies.sets(strategies.text(min_size=1))
)


def _distinct(keys: dict[str, set[str]]) -> dict[str, set[str]]:
    """Return teams with their keys, each of which only the first team has."""
    seen: set[str] = set()
    found = {}
    for name, own in keys.items():
        found[name] = own - seen
        seen |= own
    return found


def _directory(keys: dict[str, set[str]]) -> directories.TeamDirectory:
    return directories.TeamDirectory.build(
        (directories.Team(name), own) for name, own in keys.items()
    )


@behave.then(
    'each key of any set of teams finds its team, and other texts find none'
)
def then_found(context: typing.Any) -> None:
    @deterministic
    @hypothesis.given(_teams, strategies.text())
    def check(teams: dict[str, set[str]], other: str) -> None:
        teams = _distinct(teams)
        directory = _directory(teams)
        for name, own in teams.items():
            for key in own:
                assert directory.find(key).name == name
        if not any(other in own for own in teams.values()):
            assert directory.find(other) is None

    check()


@behave.then(
    'no key is in a directory, in its text or in the text of its teams'
)
def then_no_key(context: typing.Any) -> None:
    directory = _directory({'pulo780': {'th5mkeyofpulo'}})
    team = directory.find('th5mkeyofpulo')
    texts = (repr(directory), repr(team), str(directory.teams_by_digest))
    assert not any('th5mkeyofpulo' in text for text in texts), texts


def _table(
    teams: directories.TeamDirectory | None, *, is_public: bool = False
) -> tables.RouteTable:
    second = datetime.timedelta(seconds=1)
    route = tables.Route(
        name='lookup',
        hostname=HOST,
        prefix=b'/',
        weighted_services=(),
        is_idempotent=True,
        timeout=second,
        objective=second,
        attempts=1,
        priority=1,
        is_public=is_public,
    )
    limits = tables.Limits(1, 1, second, second)
    return tables.RouteTable.build(2, [route], [], limits, teams)


@behave.given('a directory with the key th5m of the team pulo780')
def given_directory(context: typing.Any) -> None:
    context.directory = _directory({'pulo780': {KEY}})


@behave.when('a request {what} comes on a route that is {kind}')
def when_request(context: typing.Any, what: str, kind: str) -> None:
    headers = [('host', HOST)]
    if what != 'without a key':
        value, _, twice = what.removeprefix('with ').partition(' twice')
        is_twice = what.endswith('twice')
        headers += [('authorization', value)] * (2 if is_twice else 1)
    counters = counter_module.Counters()
    context.counters = counters
    access = accesses.Access(states.State(), counters)
    table = _table(context.directory, is_public=kind == 'public')
    (route,) = table.routes.values()
    with structlog.testing.capture_logs() as lines:
        try:
            team = access.team_of(table, route, headers)
            context.result = f'the team {team.name}' if team else 'no team'
        except errors.CallRefusedError as refusal:
            assert refusal.reason is errors.Reason.UNAUTHORIZED
            assert refusal.run is errors.Run.NOT_RUN
            (cause,) = (name for _, name in counters.counts)
            context.result = f'{ARTICLES[cause]} {cause} key rejected'
            assert KEY not in str(refusal).lower(), refusal
            assert [line['cause'] for line in lines] == [cause], lines
    assert KEY not in str(lines).lower(), lines


@behave.then('it has {result}')
def then_result(context: typing.Any, result: str) -> None:
    assert context.result == result, context.result


@behave.given('an access with {count:d} teams that have calls')
def given_access(context: typing.Any, count: int) -> None:
    context.counters = counter_module.Counters()
    context.access = accesses.Access(states.State(), context.counters)
    context.count = count
    for _ in range(2):
        for number in range(count):
            context.access.count(f'team-{number}', 'answered')


@behave.then(
    '{labels:d} of them have labels, and the calls of the others count '
    'together'
)
def then_labels(context: typing.Any, labels: int) -> None:
    counts = collections.Counter(
        {name: n for (_, name), n in context.counters.counts.items()}
    )
    assert counts.pop('other/answered') == 2 * (context.count - labels)
    assert len(counts) == labels and set(counts.values()) == {2}, counts
    assert accesses.TEAM_COUNTER in exposition.DESCRIPTIONS


@behave.then('labels of teams that a configuration removes are dropped')
def then_dropped(context: typing.Any) -> None:
    teams = _directory({'team-1': {'a'}, 'team-200': {'b'}})
    context.access.forget_removed_teams(_table(teams))
    context.access.count('team-200', 'refused')
    names = {name for _, name in context.counters.counts}
    kept = {'team-1/answered', 'team-200/refused', 'other/answered'}
    assert names == kept, names
