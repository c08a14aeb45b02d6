"""Steps for a simulated target that has no room for requests."""

from __future__ import annotations

import asyncio
import itertools
import typing

import aiohttp
import behave

from standins import fleet

WAIT_S = 1.5
"""Time after which a request is given up."""

DEADLINE_MS = 1000
EARLIER_MS = 200
"""By so much the deadline of each request is shorter than the last one's."""

APART_S = 0.03
"""Time between two requests, so that their order is known."""


@behave.given('a simulated target with {slots:d} slot and {arguments}')
@behave.given('a simulated target with {slots:d} slots and {arguments}')
def given_target(context: typing.Any, slots: int, arguments: str) -> None:
    context.run(_start(context, slots, arguments))


async def _start(context: typing.Any, slots: int, arguments: str) -> None:
    processes = context.fleet = await context.stack.enter_async_context(
        fleet.Fleet.open()
    )
    port, unused = fleet.free_ports(2)
    context.address = f'127.0.0.1:{port}'
    processes.start(
        'target',
        *('-m', 'standins.backend', '--target', 'i-1', '--service', 'tonabok'),
        *('--version', 'v1', '--domain', 'vik', '--port', str(port)),
        *('--control', f'127.0.0.1:{unused}', '--slots', str(slots)),
        *(arguments.split() if arguments != 'nothing' else ()),
    )
    await processes.wait_until(lambda: _report(context), 20)


async def _report(context: typing.Any) -> typing.Any:
    path = '/stand-in/report'
    return await context.fleet.get_json(context.address, path)


@behave.when(
    '{count:d} requests of {work_s:g} s are sent to it at the same time'
)
def when_sent(context: typing.Any, count: int, work_s: float) -> None:
    async def send_all() -> list[int]:
        async with aiohttp.ClientSession() as http:
            return await asyncio.gather(
                *(_send(context, http, i, work_s) for i in range(count))
            )

    context.statuses = sorted(context.run(send_all()))
    context.report = context.run(_report(context))


async def _send(
    context: typing.Any,
    http: aiohttp.ClientSession,
    number: int,
    work_s: float,
) -> int:
    """Return the status of a request, or 0 if it has none."""
    headers = {
        'x-attempt-id': f'r{number}',
        'x-target-instance': 'i-1',
        'x-work-s': str(work_s),
        'x-deadline-ms': str(DEADLINE_MS - number * EARLIER_MS),
    }
    url = f'http://{context.address}/a'
    timeout = aiohttp.ClientTimeout(total=WAIT_S)
    await asyncio.sleep(number * APART_S)
    # aiohttp would send an idempotent request once more after a reset.
    try:
        async with http.post(url, headers=headers, timeout=timeout) as got:
            return got.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


@behave.then('their statuses are {statuses}')
def then_statuses(context: typing.Any, statuses: str) -> None:
    expected = [int(word) for word in statuses.split()]
    assert context.statuses == expected, context.statuses


def _spans(context: typing.Any) -> list[list[float]]:
    spans = context.report['spans'].values()
    return sorted(itertools.chain.from_iterable(spans))


@behave.then('no two of them ran at the same time')
def then_apart(context: typing.Any) -> None:
    spans = _spans(context)
    assert all(a[1] <= b[0] for a, b in itertools.pairwise(spans)), spans


@behave.then('the runs took {seconds:g} s')
def then_took(context: typing.Any, seconds: float) -> None:
    spans = _spans(context)
    assert all(b - a >= seconds for a, b in spans) and spans, spans


@behave.then('it has reset {count:d} connection')
def then_reset(context: typing.Any, count: int) -> None:
    assert context.report['resets'] == count, context.report
