"""Steps for nested calls at the gate of a target, in simulated time."""

from __future__ import annotations

import asyncio
import math
import typing

import async_solipsism
import attrs
import behave

from benchmarks.model import clock as model_clock
from tests.steps import test_admission_gate as gate_steps
from tests.steps import test_admission_overload as overload_steps

if typing.TYPE_CHECKING:
    from pomelobend.routing import call as call_module

RUN_S = 0.15
NESTED_RUN_S = 0.07
NESTED_OBJECTIVE_MS = 304
SERVED_SHARE = 0.99
LONG_MS = 2500
SHORT_MS = 500


@behave.given('a target with 1 slot that is busy for {seconds:g} s')
def given_busy(context: typing.Any, seconds: float) -> None:
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    context.tasks = []

    async def start() -> None:
        beat = attrs.evolve(gate_steps.BEAT, slots=1)
        gate_steps.new_gate(context, beat, model_clock.LoopClock())
        context.gate.registration.heartbeat_s = math.inf
        gate_steps.set_expected_run_time(context.gate, RUN_S)
        await queue(context, seconds, LONG_MS)

    context.run(start())


async def queue(
    context: typing.Any, run_s: float, objective_ms: int, **values: typing.Any
) -> call_module.Call:
    """Offer a call to the gate; return it once it runs or waits."""
    call = gate_steps.call_of(context.clock, run_s, objective_ms)
    call = attrs.evolve(call, **values)
    context.tasks.append(asyncio.create_task(gate_steps.offer(context, call)))
    await asyncio.sleep(0)
    return call


@behave.when(
    'new calls of priorities 0, 1 and 2 are queued, then a nested call of'
    ' priority 2'
)
def when_priorities(context: typing.Any) -> None:
    async def act() -> None:
        for priority in range(3):
            await queue(context, RUN_S, LONG_MS, priority=priority)
        context.nested = await queue(
            context, RUN_S, LONG_MS, priority=2, is_nested=True
        )

    context.run(act())


@behave.when(
    'a nested call with an objective of 0.5 s is queued, then a new one of'
    ' priority 0 and as due'
)
def when_nested_first(context: typing.Any) -> None:
    async def act() -> None:
        context.nested = await queue(
            context, RUN_S, SHORT_MS, priority=2, is_nested=True
        )
        await queue(context, RUN_S, SHORT_MS, priority=0)

    context.run(act())


@behave.when(
    'a new call of priority 0 with an objective of 0.5 s is queued, then a'
    ' nested one as due'
)
def when_new_first(context: typing.Any) -> None:
    async def act() -> None:
        await queue(context, RUN_S, SHORT_MS, priority=0)
        context.nested = await queue(
            context, RUN_S, SHORT_MS, priority=2, is_nested=True
        )

    context.run(act())


@behave.when('the running call waits for a nested call at the same target')
def when_chained(context: typing.Any) -> None:
    async def act() -> None:
        context.nested = await queue(context, RUN_S, SHORT_MS, is_nested=True)

    context.run(act())


@behave.when('all calls have ended')
def when_ended(context: typing.Any) -> None:
    context.run(asyncio.wait(context.tasks))


def outcome(context: typing.Any) -> tuple[typing.Any, float]:
    """Return the reason of the refusal and the duration of the nested call."""
    ((reason, took_s),) = (
        (reason, took_s)
        for call, reason, took_s in context.outcomes
        if call is context.nested
    )
    return reason, took_s


@behave.then('the nested call started first of those queued')
def then_first(context: typing.Any) -> None:
    started = [call for _, call in context.target.started]
    assert started[1] is context.nested, started


@behave.then('the nested call was answered in time')
def then_answered(context: typing.Any) -> None:
    reason, took_s = outcome(context)
    assert reason is None, reason
    assert took_s <= SHORT_MS / 1000, took_s


@behave.then('the nested call was refused before its deadline')
def then_refused(context: typing.Any) -> None:
    reason, took_s = outcome(context)
    assert reason is not None
    assert took_s <= SHORT_MS / 1000, took_s


@behave.given(
    '{per_s:d} nested calls of 0.07 s per second, of priority {priority:d}'
)
def given_nested(context: typing.Any, per_s: int, priority: int) -> None:
    context.offered.append(
        overload_steps.Offered(
            'nested',
            per_s,
            priority,
            NESTED_OBJECTIVE_MS,
            is_nested=True,
            run_s=NESTED_RUN_S,
        )
    )


@behave.then('at least 99 in 100 nested calls are answered')
def then_served(context: typing.Any) -> None:
    share = overload_steps.served_shares(context)['nested']
    assert share >= SERVED_SHARE, share


@behave.then('only the priority of the new calls has a share')
def then_shares(context: typing.Any) -> None:
    shares = context.gate.slots.shares
    expected = {overload_steps.MAIN_PRIORITY}
    assert set(shares.offered) == set(shares.served) == expected, shares
