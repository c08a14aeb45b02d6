"""Steps of accepting configurations and putting them in force."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import typing

import attrs
import behave
import hypothesis
from hypothesis import strategies

from pomelobend import clock as clocks
from pomelobend.configuration import commands
from pomelobend.configuration import manifest as manifests
from pomelobend.configuration import queries
from pomelobend.configuration import store as stores
from pomelobend import errors
from pomelobend.platform import queries as platform_queries

fixed = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)


def document(team: str, number: int, *, is_bad: bool = False) -> dict:
    """Return a document of a team, told apart by a number."""
    return {
        'team': team,
        'services': [] if is_bad else [{'name': f'{team}-{number}'}],
        'routes': [
            {
                'name': f'{team}-{number}',
                'path': f'/{team}/{number}',
                'service': f'{team}-{number}',
            }
        ],
    }


def chain(length: int, bad: set[int]) -> list[tuple]:
    """Return the manifests of a run of changes and their documents."""
    made = [(manifests.Manifest(), {})]
    for number in range(1, length + 1):
        team = f'team{number % 3}'
        value = document(team, number, is_bad=number in bad)
        digest = manifests.digest(value)
        before, documents = made[-1]
        made.append(
            (
                before.with_change(f'c{number}', team, digest, 'x', 'now'),
                {**documents, digest: value},
            )
        )
    return made


def is_whole(store: stores.Store) -> bool:
    """Tell whether what is in force is exactly one configuration."""
    snapshot = store.snapshot
    named = {ref.digest for ref in snapshot.manifest.documents.values()}
    routes = itertools.chain.from_iterable(snapshot.routes.values())
    return (
        set(snapshot.documents) == named
        and snapshot.number == snapshot.manifest.number
        and all(
            snapshot.services.get(route.rule.service) is route.service
            for route in routes
        )
    )


@behave.then('no order of offers makes the store go back or hold a part')
def then_forward(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 8), strategies.booleans()
            ),
            max_size=30,
        ),
        strategies.sets(strategies.integers(1, 8), max_size=3),
    )
    def check(offers: list[tuple[int, bool]], bad: set[int]) -> None:
        made = chain(8, bad)
        store = stores.Store()
        seen = [0]
        store.listeners.append(lambda s: seen.append(s.number))
        for number, is_cut in offers:
            manifest, documents = made[number]
            given = dict(list(documents.items())[1:] if is_cut else documents)
            try:
                store.apply(manifest, given)
            except errors.PomelobendError:
                pass
            assert is_whole(store)
        assert seen == sorted(set(seen)), seen

    check()


@behave.then('a manifest with a route to no service is refused as a whole')
def then_refused(context: typing.Any) -> None:
    made = chain(2, {2})
    store = stores.Store()
    store.apply(*made[1])
    try:
        store.apply(*made[2])
    except errors.FindingsError as error:
        assert [str(f.code) for f in error.findings] == ['PF009']
    else:
        raise AssertionError('the configuration was applied')
    assert store.snapshot.number == 1
    assert store.refused == 1


class FakeClock(clocks.SystemClock):
    """A clock whose delays are only turns of the event loop."""

    async def sleep(self, seconds: float) -> None:
        """Let others run."""
        await asyncio.sleep(0)


@attrs.define
class FakePlatform:
    """Objects in memory; writes and their answers are lost at random."""

    random: random.Random
    loss: float
    objects: dict = attrs.field(factory=dict)
    revision: int = 0

    async def get(self, kind: str, name: str) -> platform_queries.StoredObject:
        """Return an object."""
        await asyncio.sleep(0)
        if self.random.random() < self.loss / 4:
            raise errors.PlatformUnavailableError('away')
        if (kind, name) not in self.objects:
            raise errors.PlatformNotFoundError(name)
        version, text = self.objects[kind, name]
        return platform_queries.StoredObject(
            kind, name, version, json.loads(text)
        )

    async def put(
        self, kind: str, name: str, value: object, version: int
    ) -> int:
        """Write an object if its version holds, perhaps late or unheard."""
        await asyncio.sleep(0)
        if self.random.random() < self.loss:
            raise errors.PlatformOutcomeUnknownError('lost before')
        current = self.objects.get((kind, name), (0, ''))[0]
        if current != version:
            raise errors.PlatformConflictError('conflict', current)
        self.revision += 1
        self.objects[kind, name] = (self.revision, json.dumps(value))
        if self.random.random() < self.loss:
            raise errors.PlatformOutcomeUnknownError('lost after')
        return self.revision


@behave.then('racing operators with lost answers are accepted exactly once')
def then_once(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(strategies.integers(0, 10**6))
    def check(seed: int) -> None:
        asyncio.run(race(seed))

    check()


async def race(seed: int) -> None:
    """Let operators race and compare what they heard with the history."""
    platform = FakePlatform(random.Random(seed), 0.3)

    async def operator(name: str, team: str) -> tuple[str, str]:
        node = commands.Commands(
            platform,
            queries.Queries(platform),
            FakeClock(),
            random=random.Random(seed),
        )
        request = commands.Request(
            name, team, document(team, int(name[1:])), 0, name
        )
        try:
            await node.accept(request)
        except errors.ConfigurationConflictError:
            return name, 'conflict'
        except errors.PomelobendError:
            return name, 'unsettled'
        return name, 'accepted'

    heard = dict(
        await asyncio.gather(
            *(operator(f'c{i}', f'team{i % 2}') for i in range(6))
        )
    )
    stored = platform.objects.get((manifests.KIND, manifests.NAME))
    history = (
        manifests.Manifest.from_value(json.loads(stored[1])).history
        if stored
        else ()
    )
    made = [change.identity for change in history]
    assert len(made) == len(set(made)), made
    assert [c.number for c in history] == list(range(1, len(history) + 1))
    teams = [change.team for change in history]
    assert len(teams) == len(set(teams)), teams
    for name, outcome in heard.items():
        assert outcome != 'accepted' or name in made, (name, made)
        assert outcome != 'conflict' or name not in made, (name, made)
