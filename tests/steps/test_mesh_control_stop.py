"""Steps for heartbeats and deregistrations at a node that stops."""

from __future__ import annotations

import asyncio
import time
import typing

import behave

from pomelobend.platform import kinds
from tests.steps import test_mesh_nested_stop as nested_steps
from tests.steps import test_mesh_stop as stop_steps

NODE = stop_steps.BOOKING_NODE
TARGET = f'i-{NODE}-1'
BEFORE_S = 0.3
BEAT_GAP_S = 0.1


def note_answer(context: typing.Any) -> None:
    """Note when the call of a scenario was answered or cut."""
    context.answered_at = time.monotonic()


def describe_stop(context: typing.Any) -> str:
    """Say when a node and the call through it ended after SIGTERM."""
    answered_s = context.answered_at - context.stopped_at
    ended_s = context.ended_at - context.stopped_at
    return (
        f'status {context.request.status} after {answered_s:.2f} s, node'
        f' ended with {context.code} after {ended_s:.2f} s'
    )


async def deregister(context: typing.Any, late_s: float) -> None:
    """Send the deregistration of a target late after SIGTERM."""
    left_s = context.stopped_at + late_s - time.monotonic()
    await asyncio.sleep(left_s)
    address = context.mesh.vms[NODE].addresses['control']
    url = f'http://{address}/backends/{TARGET}'
    async with context.fleet.http.delete(url) as response:
        context.deregistered = response.status


async def stop_beside_call(
    context: typing.Any, work_s: float, late_s: float | None
) -> None:
    """Stop a node beside a call that its own target does not run."""
    context.request = stop_steps.Request(
        'long', NODE, work_s=work_s, deadline_s=work_s
    )
    reader, writer = await stop_steps.connect(context, NODE)
    writer.write(context.request.encode())
    await asyncio.sleep(BEFORE_S)
    stop_steps.stop(context, NODE)
    receiving = asyncio.create_task(
        stop_steps.receive(context.request, reader)
    )
    leaving = asyncio.create_task(
        asyncio.sleep(0) if late_s is None else deregister(context, late_s)
    )
    receiving.add_done_callback(lambda _: note_answer(context))
    await nested_steps.end(context, NODE)
    await receiving
    (context.error,) = await asyncio.gather(leaving, return_exceptions=True)


@behave.when(
    'a node stops while a call of {work_s:d} s through it runs at another'
    ' target'
)
def when_stops(context: typing.Any, work_s: int) -> None:
    context.run(stop_beside_call(context, work_s, None))


@behave.when(
    'a node stops while a call of {work_s:d} s through it runs at another'
    ' target, and its target deregisters after {late_s:d} s'
)
def when_deregisters(context: typing.Any, work_s: int, late_s: int) -> None:
    context.run(stop_beside_call(context, work_s, late_s))


@behave.when(
    'a node stops without calls while heartbeats come on connections that'
    ' stay open'
)
def when_beats(context: typing.Any) -> None:
    host, _, port = context.mesh.vms[NODE].addresses['control'].rpartition(':')
    beat = (
        f'PUT /backends/{TARGET} HTTP/1.1\r\nhost: {host}\r\n'
        'connection: close\r\ncontent-length: 2\r\n\r\n{}'
    ).encode()

    async def send_beats() -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            context.stack.callback(writer.close)
            writer.write(beat)
            await asyncio.sleep(BEAT_GAP_S)

    async def act() -> None:
        await asyncio.sleep(BEFORE_S)
        beating = asyncio.create_task(send_beats())
        stop_steps.stop(context, NODE)
        await nested_steps.end(context, NODE)
        await beating

    context.run(act())


async def is_stored(context: typing.Any) -> bool:
    """Return whether the store holds the record of the node."""
    path = f'/objects/{kinds.NODES}/{NODE}'
    url = f'http://{context.mesh.store_address}{path}'
    async with context.fleet.http.get(url) as response:
        return response.status == 200


@behave.then('the store holds the record of the node')
def then_stored(context: typing.Any) -> None:
    assert context.run(is_stored(context))


@behave.then('the store holds no record of the node')
def then_not_stored(context: typing.Any) -> None:
    assert not context.run(is_stored(context))


@behave.then('the deregistration is acknowledged')
def then_acknowledged(context: typing.Any) -> None:
    found = describe_stop(context)
    assert context.error is None, (repr(context.error), found)
    assert context.deregistered == 200, (context.deregistered, found)
