"""Steps of what a target is given."""

from __future__ import annotations

import asyncio
import typing

import behave

from pomelobend.admission import limiter as limiters
from pomelobend import clock as clocks
from tests.steps import fleet


async def send_many(
    context: typing.Any, node: str, count: int, **headers: str
) -> None:
    """Send calls at once, each with a name, and keep what comes back."""
    context.answers = await asyncio.gather(
        *(
            fleet.call(
                context,
                node,
                'GET',
                f'/tonabok/{index}',
                headers={'x-call': f'many-{index}', **headers},
            )
            for index in range(count)
        )
    )


async def report(context: typing.Any, node: str) -> dict:
    """Return what the target at a node has run."""
    address = context.fleet.nodes[node].target_address
    return await context.fleet.get_json(address, '/stand-in/report')


@behave.when(
    'a cold target of {service} starts at {node} and {count:d} calls come '
    'at once through {entry}'
)
def when_cold(
    context: typing.Any, service: str, node: str, count: int, entry: str
) -> None:
    context.fleet.start_target(node, service, '--cold-s', '3')
    context.busy = node
    names = list(context.fleet.nodes)

    async def send() -> None:
        await context.fleet.until_in_force(
            context.number, names, fleet.IN_FORCE_S
        )
        await context.fleet.until_targets(names, 1, fleet.START_S)
        headers = {'x-work-s': '0.05'}
        await send_many(context, entry, count, **headers)

    context.run(send())


@behave.then('the target has shed nothing')
def then_nothing_shed(context: typing.Any) -> None:
    found = context.run(report(context, context.busy))
    assert found['shed'] == 0, found['shed']


@behave.then('every refusal says not-run and no refused call has run')
def then_truth(context: typing.Any) -> None:
    found = context.run(report(context, context.busy))
    for index, (status, headers, body) in enumerate(context.answers):
        runs = found['runs'].get(f'many-{index}', 0)
        if status == 200:
            assert runs >= 1, index
        elif 'pomelobend-refused' in headers:
            assert headers['pomelobend-run'] == 'not-run', (headers, body)
            assert runs == 0, (index, runs, headers)


@behave.when(
    'the target at {node} turns cold while calls keep coming through n1'
)
def when_turns_cold(context: typing.Any, node: str) -> None:
    context.busy = node

    async def send() -> None:
        context.answers = []
        address = context.fleet.nodes[node].target_address
        for index in range(60):
            if index == 20:
                async with context.fleet.http.post(
                    f'http://{address}/stand-in/change', json={'cold': True}
                ):
                    pass
            context.answers += await asyncio.gather(
                *(
                    fleet.call(
                        context,
                        'n1',
                        'GET',
                        f'/tonabok/{index}',
                        headers={'x-work-s': '0.02'},
                    )
                    for _ in range(3)
                )
            )

    context.run(send())


@behave.then('no more than {share:d} in 100 calls are lost')
def then_few_lost(context: typing.Any, share: int) -> None:
    lost = sum(status != 200 for status, *_ in context.answers)
    assert lost * 100 <= share * len(context.answers), lost


@behave.when('{what} at {node} is taken out')
def when_taken_out(context: typing.Any, what: str, node: str) -> None:
    async def act() -> None:
        context.long_call = asyncio.create_task(
            fleet.call(
                context,
                node,
                'GET',
                '/tonabok/archive/long',
                headers={'x-work-s': '4'},
            )
        )
        await asyncio.sleep(0.3)
        if what == 'a target':
            address = context.fleet.nodes[node].target_address
            async with context.fleet.http.post(
                f'http://{address}/stand-in/change',
                json={'state': 'draining'},
            ) as response:
                assert response.status == 200
        else:
            domains = [{'name': 'hella', 'state': 'withdrawn'}]
            status, answer = await context.fleet.apply(
                'n1', {**fleet.DOCUMENT, 'domains': domains}, context.number
            )
            assert status == 200, answer

    context.run(act())


@behave.then(
    'calls through {entries} are answered without the target at {node}'
)
def then_without(context: typing.Any, entries: str, node: str) -> None:
    async def send() -> None:
        before = sum((await report(context, node))['runs'].values())
        for entry in entries.split():
            await send_many(context, entry, 4)
            statuses = [status for status, *_ in context.answers]
            assert statuses == [200] * 4, (entry, statuses)
        after = sum((await report(context, node))['runs'].values())
        assert after == before, (before, after)

    context.run(send())


@behave.then('no call in flight at {node} was cut')
def then_not_cut(context: typing.Any, node: str) -> None:
    async def wait() -> tuple:
        return await context.long_call

    status, _, body = context.run(wait())
    assert status == 200, body


@behave.when(
    '{count:d} calls with a deadline of {left} ms need 300 ms each through n1'
)
def when_deadlines(context: typing.Any, count: int, left: str) -> None:
    context.busy = 'n2'
    headers = {'x-work-s': '0.3', 'pomelobend-deadline-ms': left}
    context.run(send_many(context, 'n1', count, **headers))


@behave.then('at least {count:d} calls are answered')
def then_answered(context: typing.Any, count: int) -> None:
    answered = sum(status == 200 for status, *_ in context.answers)
    assert answered >= count, answered


class StepClock(clocks.SystemClock):
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.time_s = 0.0

    def monotonic(self) -> float:
        """Return the time that was set."""
        return self.time_s


@behave.then(
    'the limiter falls when calls are shed and rises to the slots again'
)
def then_limiter(context: typing.Any) -> None:
    clock = StepClock()
    limiter = limiters.Limiter(clock, 4.0)
    limiter.start(9)
    seen = []
    for _ in range(9):
        seen.append(limiter.current)
        clock.time_s += 0.5
    assert seen[0] == 1, seen
    assert seen == sorted(seen), seen
    assert limiter.current == 9
    for _ in range(12):
        clock.time_s += 1.0
        limiter.note_overload()
    assert limiter.current == 1
    for _ in range(200):
        limiter.note_success(0.01)
    assert limiter.current == 9
