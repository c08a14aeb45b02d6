"""Steps of calls with a key, which run at most once."""

from __future__ import annotations

import asyncio
import random
import signal
import typing

import aiohttp
import behave
import hypothesis
from hypothesis import strategies

from pomelobend import calls
from pomelobend.claims import ledger as ledgers
from pomelobend.claims import runner as runners
from pomelobend.configuration import snapshot as snapshots
from pomelobend.documents import model
from pomelobend import errors
from pomelobend.metrics import counters
from tests.steps import fleet
from tests.steps import test_configuration_store as fakes

RULE = model.Route('deposits', '/innborgun/', 'innborgun', ('POST',))
ROUTE = snapshots.BoundRoute(RULE, model.Service('innborgun'), b'/innborgun/')


def call() -> calls.Call:
    """Return a call with a key."""
    return calls.Call(ROUTE, 'POST', b'/innborgun/1', [], 1e12, 0, 'k', b'b')


class FakeClient:
    """A target that answers, or loses the call before or after it ran."""

    def __init__(self, source: random.Random, loss: float) -> None:
        self.random = source
        self.loss = loss
        self.runs = 0

    async def call(self, _: calls.Call) -> calls.Answer:
        """Run a call, perhaps."""
        await asyncio.sleep(0)
        if self.random.random() < self.loss:
            raise errors.CallRefusedError(errors.Reason.TARGET_UNREACHABLE)
        self.runs += 1
        await asyncio.sleep(0)
        if self.random.random() < self.loss:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_LOST, errors.Run.UNKNOWN
            )
        return calls.Answer(200, [], b'run %d' % self.runs)


def runner(
    platform: fakes.FakePlatform, client: FakeClient, seed: int
) -> runners.Runner:
    """Return what runs calls on one node."""
    ledger = ledgers.Ledger(
        platform,
        platform,
        fakes.FakeClock(),
        counters.Counters(),
        random=random.Random(seed),
    )
    return runners.Runner(client, ledger)


async def attempts(seed: int) -> None:
    """Send one call by way of several nodes, some of which are killed."""
    source = random.Random(seed)
    platform = fakes.FakePlatform(source, source.choice([0, 0.2, 0.5]))
    client = FakeClient(source, source.choice([0, 0.3]))
    nodes = [runner(platform, client, seed + i) for i in range(4)]
    tasks = [
        asyncio.create_task(nodes[source.randrange(4)].call(call()))
        for _ in range(8)
    ]
    for task in tasks:
        for _ in range(source.randint(0, 12)):
            await asyncio.sleep(0)
        if source.random() < 0.3:
            task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert client.runs <= 1, client.runs
    for result in results:
        if isinstance(result, calls.Answer):
            assert result.body == b'run 1', result
        elif isinstance(result, errors.CallRefusedError):
            is_settled = result.run is not errors.Run.UNKNOWN
            assert is_settled or result.reason in (
                errors.Reason.ALREADY_CLAIMED,
                errors.Reason.TARGET_LOST,
            ), result


@behave.then('attempts under one key with losses at any step run at most once')
def then_once(context: typing.Any) -> None:
    @hypothesis.settings(
        max_examples=400, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(strategies.integers(0, 10**9))
    def check(seed: int) -> None:
        asyncio.run(attempts(seed))

    check()


@behave.then('a released claim is taken over and a finished one is replayed')
def then_released(context: typing.Any) -> None:
    async def act() -> None:
        platform = fakes.FakePlatform(random.Random(1), 0)
        client = FakeClient(random.Random(1), 1.0)
        node = runner(platform, client, 1)
        for _ in range(2):
            try:
                await node.call(call())
            except errors.CallRefusedError as refusal:
                assert refusal.run is errors.Run.NOT_RUN
            await asyncio.wait(node.ledger.tasks)
        client.loss = 0.0
        first = await node.call(call())
        await asyncio.wait(node.ledger.tasks)
        second = await runner(platform, client, 2).call(call())
        assert first.body == second.body == b'run 1'
        assert client.runs == 1

    asyncio.run(act())


async def deposit(
    context: typing.Any, node: str, key: str, body: bytes, work_s: float
) -> tuple:
    """Send a deposit with a key."""
    return await fleet.call(
        context,
        node,
        'POST',
        '/innborgun/deposit',
        data=body,
        headers={
            'idempotency-key': key,
            'x-call': key,
            'x-work-s': str(work_s),
        },
    )


async def runs(context: typing.Any, key: str) -> int:
    """Return how often the targets that live have run a key."""
    total = 0
    for node in context.fleet.nodes.values():
        if node.target_address:
            report = await context.fleet.get_json(
                node.target_address, '/stand-in/report'
            )
            total += (report or {'runs': {}})['runs'].get(key, 0)
    return total


@behave.when(
    'a deposit with key {key} is sent through {one} and {what} through {other}'
)
def when_twice(
    context: typing.Any, key: str, one: str, what: str, other: str
) -> None:
    async def send() -> None:
        body = b'five' if what == 'again' else b'six'
        context.first = await deposit(context, one, key, b'five', 0)
        context.second = await deposit(context, other, key, body, 0)
        context.runs = await runs(context, key)

    context.run(send())


@behave.then('both answers are the same and it has run once')
def then_same(context: typing.Any) -> None:
    assert context.first[0] == 200, context.first
    assert context.first[2] == context.second[2], context.second
    assert context.second[1]['pomelobend-replayed'] == 'true'
    assert context.runs == 1


@behave.then('the second is refused with {reason} and {run}')
def then_second(context: typing.Any, reason: str, run: str) -> None:
    headers = context.second[1]
    assert headers['pomelobend-refused'] == reason, context.second
    assert headers['pomelobend-run'] == run


@behave.when('a deposit with a key is sent until it is settled while {fault}')
def when_sent_until(context: typing.Any, fault: str) -> None:
    context.run(send_until_settled(context, fault))


async def send_until_settled(context: typing.Any, fault: str) -> None:
    """Send a deposit through n2, again and again, with a fault meanwhile."""
    if fault == 'the platform loses answers':
        await context.fleet.faults(lost_answers=3)
    if fault == 'the platform is away':
        await context.fleet.faults(is_away=True)
    first = asyncio.create_task(deposit(context, 'n2', 'key-1', b'x', 1.0))
    await asyncio.sleep(0.6)
    context.counted = 0
    for node in ('n1', 'n3'):
        found = context.fleet.nodes[node]
        report = await context.fleet.get_json(
            found.target_address, '/stand-in/report'
        )
        if report['runs'].get('key-1'):
            context.counted += strike(fault, found)
    context.outcomes = [await outcome(first)]
    if fault == 'the platform is away':
        await context.fleet.faults(is_away=False)
    for _ in range(6):
        again = deposit(context, 'n2', 'key-1', b'x', 1.0)
        context.outcomes.append(await outcome(asyncio.ensure_future(again)))
        await asyncio.sleep(0.2)
    for node in context.fleet.nodes.values():
        node.process.signal(signal.SIGCONT)
    await asyncio.sleep(1.5)


def strike(fault: str, node: typing.Any) -> int:
    """Bring about a fault at a node; return runs that die with it."""
    match fault:
        case 'the target dies during the run':
            node.target.signal(signal.SIGKILL)
            return 1
        case 'the node of the target dies':
            node.process.signal(signal.SIGKILL)
        case 'the node of the target freezes':
            node.process.signal(signal.SIGSTOP)
    return 0


async def outcome(task: asyncio.Task) -> str:
    """Return done, not-run or unknown."""
    try:
        status, headers, _ = await task
    except aiohttp.ClientError:
        return 'unknown'
    return 'done' if status == 200 else headers['pomelobend-run']


@behave.then('it has run at most once on all targets')
def then_at_most_once(context: typing.Any) -> None:
    context.runs = context.counted + context.run(runs(context, 'key-1'))
    assert context.runs <= 1, (context.runs, context.outcomes)


@behave.then('its last answer agrees with what has run')
def then_agrees(context: typing.Any) -> None:
    last = context.outcomes[-1]
    if context.runs == 0:
        assert last != 'done', context.outcomes
    else:
        assert last != 'not-run', context.outcomes
