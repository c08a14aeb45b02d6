"""Steps of targets that answer with odd statuses, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import typing

import behave

from tests.steps import test_mesh_path as path_steps

MANY = 1000
BATCH = 60
TARGETS = ('vik-t1', 'vik-t2', 'hella-t1', 'hella-t2')
PAUSE_S = 0.03
BOOKING = '/booking/a'


async def _answer_oddly(context: typing.Any, name: str, what: str) -> None:
    address = context.mesh.vms[name].addresses['app']
    await context.mesh.post_control(address, 'change', odd={what: MANY})


@behave.when(
    'the target of most lookups answers its calls {what}, and lookups come'
)
def when_lookups(context: typing.Any, what: str) -> None:
    """Let the target answer oddly that is chosen most, as one may not be."""

    async def act() -> tuple[int, list[int]]:
        await _send_batch(context, 'first')
        runs = {name: await _runs(context, name) for name in TARGETS}
        name = max(runs, key=runs.get)
        await _answer_oddly(context, name, what)
        statuses = await _send_batch(context, 'second')
        return await _runs(context, name) - runs[name], statuses

    context.runs, context.statuses = context.run(act())


async def _runs(context: typing.Any, name: str) -> int:
    """Return how many lookups of the batches a target has run."""
    runs = (await context.mesh.report(name))['runs']
    return sum(run.startswith('odd-') for run in runs)


async def _send_batch(context: typing.Any, batch: str) -> list[int]:
    calls = []
    names = itertools.cycle(context.mesh.vms)
    for number in range(BATCH):
        call = context.mesh.call(
            next(names), path_steps.LOOKUP, f'odd-{batch}-{number}'
        )
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(PAUSE_S)
    return [status for status, _, _ in await asyncio.gather(*calls)]


@behave.then('it has run some, and all lookups are answered with {status:d}')
def then_answered(context: typing.Any, status: int) -> None:
    assert context.runs
    assert set(context.statuses) == {status}, context.statuses


@behave.when('all targets of bookings answer {what}, and a booking comes')
def when_booking(context: typing.Any, what: str) -> None:
    async def act() -> int:
        for name in ('vik-s', 'hella-s'):
            await _answer_oddly(context, name, what)
        status, _, _ = await context.mesh.call(
            'vik-t1', BOOKING, 'one-booking', 'POST'
        )
        return status

    context.status = context.run(act())


@behave.then('the booking has run once and is answered with {status:d}')
def then_booked(context: typing.Any, status: int) -> None:
    runs = [
        context.run(context.mesh.report(name))['runs'].get('one-booking', 0)
        for name in ('vik-s', 'hella-s')
    ]
    assert sum(runs) == 1, runs
    assert context.status == status, context.status
