"""Steps for the notice of stalls of the event loop."""

from __future__ import annotations

import asyncio
import time
import types
import typing

import async_solipsism
import behave
from structlog import testing

from benchmarks.model import clock as model_clock
from pomelobend import calls
from pomelobend import clock as clocks
from pomelobend.http import message
from pomelobend import lateness as latenesses
from pomelobend.mesh import grace as graces
from pomelobend.mesh import target_selection
from pomelobend.peers import messages
from pomelobend.routing import call as call_module
from pomelobend import stalls
from tests.steps import clocks as test_clocks
from tests.steps import test_routing_startup as startup_steps

PAUSE_S = 0.05
CALLER_S = 1.0


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


@behave.when('its last looks are {lates} ms late')
def when_looked(context: typing.Any, lates: str) -> None:
    context.lateness = latenesses.Lateness(context.clock)
    for item in [] if lates == 'none' else lates.split(', '):
        late_ms, _, count = item.partition('*')
        for _ in range(int(count or 1)):
            context.lateness.note(int(late_ms) / 1000)


@behave.then('the loop is usually {late_ms:d} ms late')
def then_usually(context: typing.Any, late_ms: int) -> None:
    usual_s = context.lateness.usual_s
    assert round(usual_s * 1000) == late_ms, context.lateness


@behave.when(
    'a loop is held up for {held_s:g} s of every {period_s:g} s for '
    '{all_s:d} s'
)
def when_again(
    context: typing.Any, held_s: float, period_s: float, all_s: int
) -> None:
    context.lateness = latenesses.Lateness(clocks.SystemClock())

    async def act() -> None:
        task = asyncio.create_task(context.lateness.run())
        began = time.monotonic()
        for number in range(1, round(all_s / period_s) + 1):
            held_until = began + number * period_s
            left_s = held_until - held_s - time.monotonic()
            await asyncio.sleep(max(left_s, 0.0))
            time.sleep(max(held_until - time.monotonic(), 0.0))
        task.cancel()

    context.run(act())


@behave.then('the loop is usually {least_ms:d} to {most_ms:d} ms late')
def then_usually_between(
    context: typing.Any, least_ms: int, most_ms: int
) -> None:
    usual_ms = context.lateness.usual_s * 1000
    assert least_ms <= usual_ms <= most_ms, context.lateness


class LateClock(model_clock.LoopClock):
    """A clock of a loop that was held up by now."""

    held_s = 0.0

    def monotonic(self) -> float:
        """Return the time with the hold-up, which the loop ignores."""
        return super().monotonic() + self.held_s


class SilentRemote(startup_steps.Remote):
    """A target that never answers."""

    async def call(self, *arguments: typing.Any) -> calls.Answer:
        """Wait until cancelled."""
        await asyncio.Event().wait()


@behave.when('the loop is held up for {held_ms:d} ms while a reply is due')
def when_reply_due(context: typing.Any, held_ms: int) -> None:
    context.loop.close()
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    table = startup_steps.route_table(500)
    state = types.SimpleNamespace(table=table, version=2)
    remote = SilentRemote()
    remote.learn('near')
    context.late_s = []

    async def act() -> None:
        clock = LateClock()
        front = startup_steps.build_front(clock, state, remote)
        front.on_last_reply.append(context.late_s.append)
        context.loop.call_later(
            CALLER_S / 2, setattr, clock, 'held_s', held_ms / 1000
        )
        headers = [
            ('host', 'bells.example'),
            ('x-deadline-ms', str(round(CALLER_S * 1000))),
        ]
        request = message.Request('POST', b'/booking/a', headers, b'')
        with testing.capture_logs() as context.lines:
            await front.answer(request)

    context.run(act())


@behave.then('its log line tells that the reply was {late_ms:d} ms late')
def then_reply_late(context: typing.Any, late_ms: int) -> None:
    (line,) = context.lines
    assert line['event'] == 'front: call refused', line
    assert abs(line['reply_late_ms'] - late_ms) <= 1, line


@behave.then('the lateness of one reply is noted')
def then_noted(context: typing.Any) -> None:
    (late_s,) = context.late_s
    (line,) = context.lines
    assert round(late_s * 1000) == line['reply_late_ms'], late_s


class NotingRemote(startup_steps.Remote):
    """A target that notes the calls that it gets."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[call_module.Call] = []

    async def call(
        self, call: call_module.Call, *arguments: typing.Any
    ) -> calls.Answer:
        """Note a call and answer it."""
        self.calls.append(call)
        return await super().call(call, *arguments)


@behave.when('a call of {caller_ms:d} ms comes')
def when_comes(context: typing.Any, caller_ms: int) -> None:
    table = startup_steps.route_table(500)
    state = types.SimpleNamespace(table=table, version=2)
    remote = NotingRemote()
    remote.learn('near')

    async def act() -> None:
        front = startup_steps.build_front(
            model_clock.LoopClock(), state, remote
        )
        front.usual_late_s = lambda: context.lateness.usual_s
        headers = [
            ('host', 'bells.example'),
            ('x-deadline-ms', str(caller_ms)),
        ]
        await front.answer(message.Request('GET', b'/lookup/a', headers, b''))

    context.run(act())
    (context.call,) = remote.calls


@behave.then(
    'its target has {target_ms:d} ms, and its reply is due after '
    '{reply_ms:d} ms'
)
def then_ends(context: typing.Any, target_ms: int, reply_ms: int) -> None:
    call = context.call
    assert round((call.deadline - call.started) * 1000) == target_ms, call
    assert round((call.reply_by - call.started) * 1000) == reply_ms, call


@behave.when('another node sends a call that has {left_ms:d} ms left')
def when_sent(context: typing.Any, left_ms: int) -> None:
    builder = target_selection.CallBuilder(
        context.clock,
        graces.Grace(context.clock),
        lambda: context.lateness.usual_s,
    )
    start = messages.CallStart(
        1,
        'lookup',
        'tonabok',
        'GET',
        b'/lookup/a',
        [],
        left_ms,
        0,
        'late',
        True,
        1,
        500,
        b'',
        True,
    )
    context.call = builder.build(start, None)


@behave.then('its target has {target_ms:d} ms')
def then_target_has(context: typing.Any, target_ms: int) -> None:
    call = context.call
    assert round((call.deadline - call.started) * 1000) == target_ms, call
