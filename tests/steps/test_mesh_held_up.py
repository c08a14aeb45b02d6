"""Steps for calls to nodes that are held up, with real processes."""

from __future__ import annotations

import asyncio
import signal
import time
import typing

import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps
from tests.steps import test_mesh_stop as stop_steps

NODE = 'vik-t1'
TARGETS = ('vik-s', 'hella-s')
BOOKING = 'held-up'
LOOKUP = 'held-up-lookup'
WORK_S = 2.0
DEADLINE_MS = 6000
FOUND_S = 1.0
GRACE_S = mesh.BOUNDS['grace_s']
TIMELY_S = 4.8
LONG_S = 9.0
LATE_CALLS = 8
LATE_SENT_S = 3.02
LATE_PAUSE_S = 0.005
MEANWHILE = {'with no other event': 0}
MEANWHILE['with SIGTERM to the node of its caller'] = signal.SIGTERM


async def find_run(context: typing.Any, identity: str = BOOKING) -> str:
    """Return the name of a VM whose target runs a call."""
    found: list[str] = []

    async def is_running() -> bool:
        for name in TARGETS:
            if (await context.mesh.report(name))['runs'].get(identity):
                found.append(name)
        return bool(found)

    await context.fleet.wait_until(is_running, FOUND_S)
    return found[0]


@behave.when(
    'the node at the target of a booking is held up for {held_s:f} s, '
    '{meanwhile}'
)
def when_held_up(context: typing.Any, held_s: float, meanwhile: str) -> None:
    headers = {
        'x-work-s': str(WORK_S),
        'x-deadline-ms': str(DEADLINE_MS),
    }

    async def act() -> None:
        call = asyncio.create_task(
            context.mesh.call(
                NODE, '/booking/a', BOOKING, 'POST', 8.0, **headers
            )
        )
        context.ran_at = await find_run(context)
        node = context.mesh.vms[context.ran_at].node
        node.signal(signal.SIGSTOP)
        context.mesh.vms[NODE].node.signal(MEANWHILE[meanwhile])
        await asyncio.sleep(held_s)
        node.signal(signal.SIGCONT)
        context.answer = await call
        context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.then('the booking is answered by its target')
def then_answered(context: typing.Any) -> None:
    status, _, text = context.answer
    assert status == 200, context.answer
    assert text.startswith(f'i-{context.ran_at}-'), text


@behave.then('the booking ran once')
def then_ran_once(context: typing.Any) -> None:
    assert context.runs[BOOKING] == 1, context.runs


def start_lookup(context: typing.Any, work_s: float) -> asyncio.Task:
    """Start a call that may be repeated, to the service of the bookings."""
    headers = {'x-work-s': str(work_s), 'x-deadline-ms': str(DEADLINE_MS)}
    return asyncio.create_task(
        context.mesh.call(NODE, '/archive/a', LOOKUP, timeout_s=8.0, **headers)
    )


async def hold_up(nodes: list[fleet.Process], held_s: float) -> None:
    """Give some nodes no processor time for a while."""
    for node in nodes:
        node.signal(signal.SIGSTOP)
    await asyncio.sleep(held_s)
    for node in nodes:
        node.signal(signal.SIGCONT)


@behave.when(
    'all nodes at the targets of a lookup are held up for {held_s:f} s, '
    '{meanwhile}'
)
def when_all_held_up(
    context: typing.Any, held_s: float, meanwhile: str
) -> None:
    async def act() -> None:
        call = start_lookup(context, WORK_S)
        await find_run(context, LOOKUP)
        vms = context.mesh.vms
        vms[NODE].node.signal(MEANWHILE[meanwhile])
        await hold_up([vms[name].node for name in TARGETS], held_s)
        context.answer = await call
        context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.when('the node of the caller of a lookup is held up for {held_s:f} s')
def when_caller_held_up(context: typing.Any, held_s: float) -> None:
    async def act() -> None:
        call = start_lookup(context, held_s + 0.5)
        await find_run(context, LOOKUP)
        await hold_up([context.mesh.vms[NODE].node], held_s)
        context.answer = await call
        context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.then('the lookup is answered by a target')
def then_lookup_answered(context: typing.Any) -> None:
    status, _, text = context.answer
    assert status == 200, context.answer
    assert text.startswith('i-'), text


@behave.then('the metrics of its node count the answer of a silent node')
def then_counted(context: typing.Any) -> None:
    page = context.run(path_steps.read_metrics(context, NODE))
    counts = [
        value
        for name, value in page.items()
        if name.startswith('pomelobend_answers_of_silent_nodes_total{')
    ]
    assert counts == [1], counts


@behave.then('the lookup ran once')
def then_lookup_ran_once(context: typing.Any) -> None:
    assert context.runs[LOOKUP] == 1, context.runs


@behave.then('the lookup ran at most twice')
def then_lookup_ran_twice(context: typing.Any) -> None:
    assert context.runs[LOOKUP] <= 2, context.runs


@behave.when(
    'a node with calls in flight is held up for {held_s:f} s and gets SIGTERM '
    '{after_s:f} s after its start'
)
def when_held_up_at_stop(
    context: typing.Any, held_s: float, after_s: float
) -> None:
    context.timely = stop_steps.Request(
        'timely', NODE, work_s=TIMELY_S, deadline_s=11
    )
    context.long = stop_steps.Request(
        'long', NODE, work_s=LONG_S, deadline_s=11
    )
    context.late = [
        stop_steps.Request(
            f'late-{number}', NODE, work_s=LONG_S, deadline_s=11
        )
        for number in range(LATE_CALLS)
    ]
    context.ends = {}
    node = context.mesh.vms[NODE].node

    async def act() -> None:
        async with asyncio.TaskGroup() as group:
            for request in (context.timely, context.long):
                group.create_task(send(context, request))
            await asyncio.sleep(0.3)
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(after_s)
            stop_steps.stop(context, NODE)
            group.create_task(wait_for_end(context))
            await asyncio.sleep(held_s - after_s)
            node.signal(signal.SIGCONT)
            for number, request in enumerate(context.late):
                sent_s = LATE_SENT_S + number * LATE_PAUSE_S
                await sleep_until(context.stopped_at + sent_s)
                group.create_task(send(context, request))
        context.runs = await stop_steps.runs(context)

    context.run(act())


async def send(context: typing.Any, request: stop_steps.Request) -> None:
    """Send a request on a connection of its own; note when it ended."""
    try:
        reader, writer = await stop_steps.connect(context, request.node)
        writer.write(request.encode())
        await stop_steps.receive(request, reader)
    except OSError:
        return
    finally:
        context.ends[request.identity] = time.monotonic()


async def sleep_until(at: float) -> None:
    """Wait until a monotonic time."""
    await asyncio.sleep(at - time.monotonic())


async def wait_for_end(context: typing.Any) -> None:
    """Wait for the end of the node; kill it after its grace period."""
    node = context.mesh.vms[NODE].node
    left_s = context.stopped_at + GRACE_S - time.monotonic()
    try:
        context.code = await node.wait(left_s)
    except TimeoutError:
        node.signal(signal.SIGKILL)
        context.code = await node.wait(left_s)
    context.ended_at = time.monotonic()


@behave.then(
    'the call that ends before the last sixth of the grace period has the '
    'answer of its target'
)
def then_timely_answered(context: typing.Any) -> None:
    assert context.timely.status == 200, context.timely


@behave.then(
    'the call that lasts longer has an answer from the last sixth of the '
    'grace period'
)
def then_long_answered(context: typing.Any) -> None:
    assert context.long.status, context.long
    ended_s = context.ends['long'] - context.stopped_at
    assert ended_s >= GRACE_S * 5 / 6, ended_s


@behave.then('no call that came later than 3 s after SIGTERM was cut')
def then_no_late_cut(context: typing.Any) -> None:
    cut = [
        request
        for request in context.late
        if context.runs[request.identity] and request.status != 200
    ]
    assert not cut, cut
