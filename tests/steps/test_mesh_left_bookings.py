"""Steps of bookings whose callers leave, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import typing

import behave

from standins import mesh
from tests.steps import test_mesh_path as path_steps
from tests.steps import test_mesh_stop as stop_steps

VERSION = 9
MS_PER_S = 1000
TARGET_NODES = ('vik-s', 'hella-s')
AT_WORK_S = 0.3
WAITS_S = 0.2
SETTLE_S = 4.0


@behave.given('bookings that may wait for {wait_s:d} s')
def given_patient(context: typing.Any, wait_s: int) -> None:
    document = mesh.configuration(VERSION)
    for rule in document['listeners'][0]['rules']:
        rule['target_latency_ms'] = wait_s * MS_PER_S

    async def is_in_force() -> bool:
        for name in context.mesh.vms:
            page = await path_steps.read_metrics(context, name)
            if page['pomelobend_configuration_version'] != VERSION:
                return False
        return True

    async def act() -> None:
        await context.mesh.write('config', 'main', document, is_new=False)
        await context.fleet.wait_until(is_in_force, 5.0)

    context.run(act())


def _booking(identity: str, node: str, work_s: float) -> stop_steps.Request:
    return stop_steps.Request(
        identity, node, 'POST', '/booking/a', work_s=work_s
    )


async def _send(
    context: typing.Any, request: stop_steps.Request
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a connection of its own."""
    reader, writer = await stop_steps.connect(context, request.node)
    writer.write(request.encode())
    return reader, writer


@behave.when(
    '{count:d} bookings of {work_s:f} s hold the slots of all targets, and'
    ' {left:d} of {waiting:d} callers of {node} leave while their bookings'
    ' wait'
)
def when_waiting(
    context: typing.Any,
    count: int,
    work_s: float,
    left: int,
    waiting: int,
    node: str,
) -> None:
    names = itertools.islice(itertools.cycle(TARGET_NODES), count)
    first = [
        _booking(f'first-{n}', name, work_s) for n, name in enumerate(names)
    ]
    behind = [_booking(f'behind-{n}', node, 0.1) for n in range(waiting)]
    context.left = behind[:left]
    context.stayed = [*first, *behind[left:]]

    async def act() -> None:
        sent = [await _send(context, request) for request in first]
        await asyncio.sleep(AT_WORK_S)
        before = await stop_steps.runs(context)
        context.began = sum(before[r.identity] for r in first)
        sent_behind = [await _send(context, request) for request in behind]
        await asyncio.sleep(WAITS_S)
        for _, writer in sent_behind[:left]:
            writer.close()
        readers = [reader for reader, _ in [*sent, *sent_behind[left:]]]
        await asyncio.gather(*map(stop_steps.receive, context.stayed, readers))
        await asyncio.sleep(SETTLE_S)
        context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.then('no booking of a caller that left has run')
def then_not_run(context: typing.Any) -> None:
    ran = [r.identity for r in context.left if context.runs[r.identity]]
    print(f'{context.began} held slots, {len(ran)} of the others ran: {ran}')
    assert context.began == len(TARGET_NODES) * context.mesh.slots
    assert not ran, ran


@behave.then('all other bookings are answered')
def then_others(context: typing.Any) -> None:
    statuses = [request.status for request in context.stayed]
    assert set(statuses) == {200}, statuses


@behave.when(
    '{count:d} bookings of {work_s:f} s run as their callers at {node} leave'
)
def when_running(
    context: typing.Any, count: int, work_s: float, node: str
) -> None:
    context.left = [_booking(f'runs-{n}', node, work_s) for n in range(count)]

    async def act() -> None:
        sent = [await _send(context, request) for request in context.left]
        await asyncio.sleep(AT_WORK_S)
        for _, writer in sent:
            writer.close()
        await asyncio.sleep(work_s + AT_WORK_S)
        reports = [await context.mesh.report(n) for n in TARGET_NODES]
        context.spans = [
            span
            for request in context.left
            for report in reports
            for span in report['spans'].get(request.identity, [])
        ]

    context.run(act())


@behave.then('each of these bookings has run to its end once')
def then_ended(context: typing.Any) -> None:
    assert len(context.spans) == len(context.left), context.spans
    assert all(ended_at for _, ended_at in context.spans), context.spans
