"""Steps of planned stops and of kills with calls in flight."""

from __future__ import annotations

import asyncio
import json
import typing

import aiohttp
import behave

from standins import fleet as fleets
from tests.steps import fleet


def process_of(context: typing.Any, name: str) -> fleets.Process:
    """Return a process by its words in a scenario."""
    kind, _, node = name.rpartition(' ')
    found = context.fleet.nodes[node]
    return found.process if kind == 'node' else found.target


@behave.when('calls of 1 s are in flight through n1 and {name} gets SIGTERM')
def when_terminated(context: typing.Any, name: str) -> None:
    async def send() -> None:
        calls = [
            asyncio.create_task(
                fleet.call(
                    context,
                    'n1',
                    'GET',
                    f'/tonabok/archive/{index}',
                    headers={'x-work-s': '1', 'x-call': f'stop-{index}'},
                )
            )
            for index in range(4)
        ]
        await asyncio.sleep(0.5)
        fleet.signal_process(process_of(context, name), 'SIGTERM')
        context.answers = await asyncio.gather(*calls)

    context.run(send())


@behave.then('every call in flight is answered whole')
def then_whole(context: typing.Any) -> None:
    assert [a[0] for a in context.answers] == [200] * 4, context.answers
    for index, (_, _, body) in enumerate(context.answers):
        assert json.loads(body)['call'] == f'stop-{index}', body


@behave.then('the {name} exits with 0')
def then_exits(context: typing.Any, name: str) -> None:
    process = process_of(context, name)
    assert context.run(process.wait(fleet.START_S)) == 0


async def slow_answer(context: typing.Any) -> typing.Any:
    """Ask for an answer that takes about 1.5 s to arrive."""
    try:
        return await fleet.call(
            context,
            'n1',
            'GET',
            '/tonabok/archive',
            headers={'x-answer-bytes': '2000000', 'x-pause-s': '0.05'},
        )
    except aiohttp.ClientError as error:
        return error


@behave.when(
    'an answer of {size:d} bytes is under way and n1 and n2 get SIGTERM'
)
def when_stream_terminated(context: typing.Any, size: int) -> None:
    async def send() -> None:
        answer = asyncio.create_task(slow_answer(context))
        await asyncio.sleep(0.4)
        for name in ('n1', 'n2'):
            context.fleet.nodes[name].process.signal(15)
        result = await answer
        assert isinstance(result, tuple), result
        context.status, context.headers, context.body = result

    context.run(send())


@behave.when(
    'an answer of {size:d} bytes is under way through n1 and {name} is killed'
)
def when_stream_killed(context: typing.Any, size: int, name: str) -> None:
    async def send() -> None:
        answer = asyncio.create_task(slow_answer(context))
        await asyncio.sleep(0.4)
        fleet.signal_process(process_of(context, name), 'SIGKILL')
        context.seen = await answer

    context.run(send())


@behave.then('the caller sees a broken answer or a typed refusal')
def then_broken_or_refused(context: typing.Any) -> None:
    if isinstance(context.seen, tuple):
        assert 'pomelobend-refused' in context.seen[1], context.seen[:2]
    else:
        assert isinstance(context.seen, aiohttp.ClientError), context.seen


@behave.when('a deposit runs through n1 and {name} is killed meanwhile')
def when_deposit_killed(context: typing.Any, name: str) -> None:
    async def send() -> None:
        answer = asyncio.create_task(
            fleet.call(
                context,
                'n1',
                'POST',
                '/innborgun/deposit',
                headers={'x-work-s': '2', 'x-call': 'deposit'},
            )
        )
        await asyncio.sleep(0.5)
        target = context.fleet.nodes['n3'].target_address
        report = await context.fleet.get_json(target, '/stand-in/report')
        context.runs = report['runs'].get('deposit', 0)
        fleet.signal_process(process_of(context, name), 'SIGKILL')
        context.status, context.headers, context.body = await answer

    context.run(send())


@behave.then('the deposit ends as unknown and has run at most once')
def then_unknown(context: typing.Any) -> None:
    assert context.headers['pomelobend-run'] == 'unknown', context.body
    assert context.runs == 1, context.runs


@behave.when('calls keep coming to n3 while n2 gets SIGTERM')
def when_leaving(context: typing.Any) -> None:
    async def send() -> None:
        context.answers = []
        for index in range(150):
            if index == 30:
                context.fleet.nodes['n2'].process.signal(15)
            context.answers.append(
                await fleet.call(context, 'n3', 'GET', f'/tonabok/{index}')
            )
            await asyncio.sleep(0.02)

    context.run(send())


@behave.then('no call to n3 is lost')
def then_none_lost(context: typing.Any) -> None:
    failed = [a for a in context.answers if a[0] != 200]
    assert not failed, [(a[0], a[2][:200]) for a in failed]
