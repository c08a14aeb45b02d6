"""Steps for calls whose bodies arrive slowly, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
import typing

import behave

from tests.steps import test_mesh_stop as stop_steps

PAUSE_S = 0.25


@behave.when(
    'a call with a deadline of {deadline_s:d} s sends its body for {body_s:d}'
    ' s and works for {work_s:g} s'
)
def when_slow_body(
    context: typing.Any, deadline_s: int, body_s: int, work_s: float
) -> None:
    count = round(body_s / PAUSE_S)
    request = stop_steps.Request(
        'slow-body',
        stop_steps.NODE,
        work_s=work_s,
        deadline_s=deadline_s,
        body=b'x' * count,
    )
    context.request = request

    async def send(writer: asyncio.StreamWriter, started: float) -> None:
        data = request.encode()
        writer.write(data[:-count])
        for index in range(count):
            due = started + PAUSE_S * (index + 1)
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            writer.write(data[len(data) - count + index :][:1])
        context.sent_s = time.monotonic() - started

    async def act() -> None:
        context.body_s, context.sent_s = body_s, math.inf
        reader, writer = await stop_steps.connect(context, stop_steps.NODE)
        started = time.monotonic()
        sending = asyncio.create_task(send(writer, started))
        await stop_steps.receive(request, reader)
        context.answer_s = time.monotonic() - started
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sending
        context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.then(
    'it is answered with {status:d} within {limit_s:f} s of its first byte'
)
def then_answered(context: typing.Any, status: int, limit_s: float) -> None:
    found = (context.request.status, context.answer_s)
    assert context.request.status == status, found
    assert context.answer_s < limit_s, found


@behave.then(
    'it is answered with {status:d} within {limit_s:f} s of its last byte'
)
def then_answered_after_body(
    context: typing.Any, status: int, limit_s: float
) -> None:
    found = (context.request.status, context.sent_s, context.answer_s)
    assert context.request.status == status, found
    assert context.body_s <= context.sent_s <= context.answer_s, found
    assert context.answer_s - context.sent_s < limit_s, found


@behave.then('it has not run')
def then_not_run(context: typing.Any) -> None:
    assert not context.runs[context.request.identity], context.runs
