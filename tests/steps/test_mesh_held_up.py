"""Steps for calls to nodes that are held up, with real processes."""

from __future__ import annotations

import asyncio
import signal
import typing

import behave

from tests.steps import test_mesh_stop as stop_steps

NODE = 'vik-t1'
TARGETS = ('vik-s', 'hella-s')
BOOKING = 'held-up'
WORK_S = 2.0
DEADLINE_MS = 6000
FOUND_S = 1.0
MEANWHILE = {'with no other event': 0}
MEANWHILE['with SIGTERM to the node of its caller'] = signal.SIGTERM


async def find_run(context: typing.Any) -> str:
    """Return the name of the VM whose target runs the booking."""
    found: list[str] = []

    async def is_running() -> bool:
        for name in TARGETS:
            if (await context.mesh.report(name))['runs'].get(BOOKING):
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
