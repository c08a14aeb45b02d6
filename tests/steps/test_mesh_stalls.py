"""Steps for the notice of stalls of the event loop."""

from __future__ import annotations

import asyncio
import time
import types
import typing

import behave
from structlog import testing

from benchmarks.model import clock as model_clock
from pomelobend import clock as clocks
from pomelobend.http import message
from pomelobend import stalls
from tests.steps import clocks as test_clocks
from tests.steps import test_routing_startup as startup_steps

PAUSE_S = 0.05


@behave.when('an event loop is held up for {seconds:g} s')
def when_held_up(context: typing.Any, seconds: float) -> None:
    context.watch = stalls.StallWatch(clocks.SystemClock())

    async def act() -> None:
        task = asyncio.create_task(context.watch.run())
        await asyncio.sleep(PAUSE_S)
        time.sleep(seconds)
        await asyncio.sleep(stalls.INTERVAL_S + PAUSE_S)
        task.cancel()

    context.run(act())


@behave.then('one stall of at least {seconds:g} s is counted')
def then_counted(context: typing.Any, seconds: float) -> None:
    assert context.watch.count == 1, context.watch
    assert context.watch.longest_s >= seconds, context.watch


@behave.then('no stall is counted')
def then_not_counted(context: typing.Any) -> None:
    assert context.watch.count == 0, context.watch


@behave.given('a node whose event loop was held up for {seconds:g} s')
def given_held_up(context: typing.Any, seconds: float) -> None:
    context.clock = test_clocks.StepClock()
    context.watch = stalls.StallWatch(context.clock)
    context.watch.note(seconds)


@behave.when('a call is refused {later_s:g} s later')
def when_refused(context: typing.Any, later_s: float) -> None:
    state = types.SimpleNamespace(table=None, version=2)

    async def act() -> None:
        front = startup_steps.build_front(
            model_clock.LoopClock(), state, startup_steps.Remote()
        )
        front.loop_late_ms = context.watch.recent_ms
        context.clock.time_s += later_s
        headers = [('x-deadline-ms', 'none')]
        request = message.Request('GET', b'/', headers, b'')
        with testing.capture_logs() as context.lines:
            await front.answer(request)

    context.run(act())


@behave.then('its log line tells that the loop was {late_ms:d} ms late')
def then_told(context: typing.Any, late_ms: int) -> None:
    (line,) = context.lines
    assert line['event'] == 'front: call refused', line
    assert line['loop_late_ms'] == late_ms, line


@behave.given('a node whose event loop runs')
def given_running(context: typing.Any) -> None:
    context.clock = test_clocks.StepClock()
    context.watch = stalls.StallWatch(context.clock)
    context.watch.due = context.clock.time_s + stalls.INTERVAL_S


@behave.when(
    'a signal is noted {noted_s:g} s after that, and {read_s:g} s after the '
    'clock was read'
)
def when_noted(context: typing.Any, noted_s: float, read_s: float) -> None:
    context.noted_at = context.clock.time_s + noted_s
    context.clock.read_at = context.noted_at - read_s
    context.came_at = context.watch.earliest(context.noted_at)


@behave.then('it may have come {early_s:g} s before it is noted')
def then_may_have_come(context: typing.Any, early_s: float) -> None:
    found_s = context.noted_at - context.came_at
    assert abs(found_s - early_s) < 1e-6, found_s
