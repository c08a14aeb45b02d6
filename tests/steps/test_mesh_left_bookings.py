"""Steps of bookings whose callers leave, with real processes."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
import typing

import behave

from standins import mesh
from tests.steps import test_http_half_closed as half_closed_steps
from tests.steps import test_mesh_path as path_steps
from tests.steps import test_mesh_stop as stop_steps

VERSION = 9
MS_PER_S = 1000
TARGET_NODES = ('vik-s', 'hella-s')
AT_WORK_S = 0.3
WAITS_S = 0.2
SETTLE_S = 4.0
HALF_CLOSE = 'close their sending sides'
HELD = tuple(
    f'pomelobend_{name}'
    for name in ('calls_in_flight', 'held_bytes_requests', 'held_bytes_nodes')
)


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


def _booking(
    identity: str,
    node: str,
    work_s: float,
    size: int = 0,
    read_s: float = 0.0,
) -> stop_steps.Request:
    return stop_steps.Request(
        identity,
        node,
        'POST',
        '/booking/a',
        work_s=work_s,
        body=b'b' * size,
        read_s=read_s,
    )


def _bookings_in_all_slots(
    count: int, work_s: float
) -> list[stop_steps.Request]:
    names = itertools.islice(itertools.cycle(TARGET_NODES), count)
    return [
        _booking(f'first-{n}', name, work_s) for n, name in enumerate(names)
    ]


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
@behave.when(
    '{count:d} bookings of {work_s:f} s hold the slots of all targets, and'
    ' {left:d} of {waiting:d} callers at {node}, with {size:d} bytes, {how}'
    ' while their bookings wait'
)
def when_waiting(
    context: typing.Any,
    count: int,
    work_s: float,
    left: int,
    waiting: int,
    node: str,
    size: int = 0,
    how: str = 'leave',
) -> None:
    first = _bookings_in_all_slots(count, work_s)
    behind = [_booking(f'behind-{n}', node, 0.1, size) for n in range(waiting)]
    gone = 0 if how == HALF_CLOSE else left
    context.left = behind[:gone]
    context.stayed = [*first, *behind[gone:]]

    async def act() -> None:
        sent = [await _send(context, request) for request in first]
        await asyncio.sleep(AT_WORK_S)
        before = await stop_steps.runs(context)
        context.began = sum(before[r.identity] for r in first)
        sent_behind = [await _send(context, request) for request in behind]
        await asyncio.sleep(WAITS_S)
        for _, writer in sent_behind[:left]:
            await _leave(writer, how)
        readers = [reader for reader, _ in [*sent, *sent_behind[gone:]]]
        await asyncio.gather(*map(stop_steps.receive, context.stayed, readers))
        await asyncio.sleep(SETTLE_S)
        context.runs = await stop_steps.runs(context)

    context.run(act())


async def _leave(writer: asyncio.StreamWriter, how: str) -> None:
    """Close a connection in one of several ways, or its sending side only."""
    if how == HALF_CLOSE:
        writer.write_eof()
        return
    await half_closed_steps.leave(writer, how)


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


async def _note_reports(context: typing.Any) -> None:
    """Note what the targets have begun, and the bodies that they have got."""
    context.begun = collections.Counter()
    context.bodies = collections.Counter()
    for name in TARGET_NODES:
        report = await context.mesh.report(name)
        context.begun.update(report['begun'])
        context.bodies.update(report['bodies'])


@behave.when(
    '{count:d} bookings of {size:d} bytes, read in {read_s:f} s, are begun as'
    ' their callers at {node} leave'
)
def when_begun(
    context: typing.Any, count: int, size: int, read_s: float, node: str
) -> None:
    context.left = [
        _booking(f'begun-{n}', node, AT_WORK_S, size, read_s)
        for n in range(count)
    ]

    async def act() -> None:
        await _begin_and_leave(context)
        await asyncio.sleep(read_s + SETTLE_S)
        await _note_reports(context)

    context.run(act())


async def _begin_and_leave(context: typing.Any) -> None:
    """Send bookings, and leave while targets read their bodies."""
    sent = [await _send(context, request) for request in context.left]
    await asyncio.sleep(AT_WORK_S)
    for _, writer in sent:
        writer.close()


@behave.when(
    '{count:d} bookings of {size:d} bytes, read in {read_s:f} s, are begun as'
    ' their callers at {node} leave, and {stopped} stops'
)
def when_begun_at_stop(
    context: typing.Any,
    count: int,
    size: int,
    read_s: float,
    node: str,
    stopped: str,
) -> None:
    context.left = [
        _booking(f'begun-{n}', node, AT_WORK_S, size, read_s)
        for n in range(count)
    ]

    async def act() -> None:
        await _begin_and_leave(context)
        await asyncio.sleep(WAITS_S)
        stop_steps.stop(context, stopped)
        await stop_steps.note_end(context, stopped)
        await asyncio.sleep(AT_WORK_S)
        await _note_reports(context)

    context.run(act())


@behave.then('the node has ended with 0')
def then_ended_well(context: typing.Any) -> None:
    assert context.code == 0, context.code


@behave.when(
    '{count:d} bookings of {work_s:f} s hold the slots of all targets, and'
    ' {left:d} callers at {node}, with {size:d} bytes, leave from {early_s:f}'
    ' s before these end to {late_s:f} s after it'
)
def when_crossing(
    context: typing.Any,
    count: int,
    work_s: float,
    left: int,
    node: str,
    size: int,
    early_s: float,
    late_s: float,
) -> None:
    first = _bookings_in_all_slots(count, work_s)
    context.left = [
        _booking(f'crossing-{n}', node, AT_WORK_S, size, AT_WORK_S)
        for n in range(left)
    ]
    times_s = [
        work_s - early_s + n * (early_s + late_s) / left for n in range(left)
    ]

    async def leave(writer: asyncio.StreamWriter, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        writer.close()

    async def act() -> None:
        for request in first:
            await _send(context, request)
        began_at = time.monotonic()
        sent = [await _send(context, request) for request in context.left]
        passed_s = time.monotonic() - began_at
        await asyncio.gather(
            *(
                leave(writer, time_s - passed_s)
                for (_, writer), time_s in zip(sent, times_s, strict=True)
            )
        )
        await asyncio.sleep(SETTLE_S)
        await _note_reports(context)

    context.run(act())


@behave.then(
    'each target has got the whole body of each booking that it began'
)
def then_whole(context: typing.Any) -> None:
    found = {
        request.identity: context.bodies[request.identity]
        for request in context.left
        if context.begun[request.identity]
    }
    print(f'{len(found)} of {len(context.left)} were begun: {found}')
    assert set(found.values()) <= {len(context.left[0].body)}, found
    assert max(context.begun[r.identity] for r in context.left) == 1


@behave.then('all of these bookings were begun')
def then_all_begun(context: typing.Any) -> None:
    assert all(context.begun[r.identity] for r in context.left), context.begun


@behave.then('some of these bookings were begun, and some were not')
def then_some_begun(context: typing.Any) -> None:
    count = sum(context.begun[r.identity] for r in context.left)
    assert 0 < count < len(context.left), count


@behave.then('no node holds a call or a request any more')
def then_nothing_held(context: typing.Any) -> None:
    async def act() -> None:
        for name in context.mesh.vms:
            page = await path_steps.read_metrics(context, name)
            held = {key: page[key] for key in HELD if page[key]}
            assert not held, (name, held)

    context.run(act())
