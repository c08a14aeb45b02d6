"""Steps for the slots reserved for urgent calls, in simulated time."""

from __future__ import annotations

import asyncio
import math
import random
import typing

import async_solipsism
import attrs
import behave

from benchmarks.model import clock as model_clock
from pomelobend.admission import reserve as reserves
from tests.steps import test_admission_gate as gate_steps

SLOTS = 9
BURST_S = 6.0
SPREAD = 0.3
QUARTER = 0.25
SEEN_S = 60.0


@attrs.frozen
class Kind:
    """A kind of calls, with its usual number per second."""

    name: str
    per_s: float
    run_s: float
    objective_ms: int
    priority: int


URGENT = Kind('urgent', 18.0, 0.2, 506, 0)
LONG = Kind('long', 3.3, 1.1, 6000, 2)


@behave.given(
    'a target of 9 slots with urgent calls of 0.2 s and long calls of 1.1 s'
)
def given_target(context: typing.Any, seed: int = 5) -> None:
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    context.rng = random.Random(seed)

    async def start() -> None:
        beat = attrs.evolve(gate_steps.BEAT, slots=SLOTS)
        gate_steps.new_gate(context, beat, model_clock.LoopClock())
        context.gate.registration.heartbeat_s = math.inf

    context.run(start())


def play(context: typing.Any, factor: float, seconds: float) -> None:
    """Offer calls; every second span of 6 s is a burst of long ones."""

    async def offer(kind: Kind) -> None:
        run_s = kind.run_s * context.rng.lognormvariate(0.0, SPREAD)
        call = gate_steps.call_of(context.clock, run_s, kind.objective_ms)
        call = attrs.evolve(
            call,
            route_name=kind.name,
            priority=kind.priority,
            deadline=call.started + 3.0 * kind.objective_ms / 1000,
        )
        await gate_steps.offer(context, call)

    async def arrive(kind: Kind) -> None:
        tasks = []
        while (now := context.clock.monotonic()) < seconds:
            tasks.append(asyncio.create_task(offer(kind)))
            is_burst = kind is LONG and int(now / BURST_S) % 2 == 1
            per_s = kind.per_s * (factor if is_burst or factor < 1 else 1.0)
            await asyncio.sleep(context.rng.expovariate(per_s))
        await asyncio.gather(*tasks)

    async def act() -> None:
        await asyncio.gather(arrive(URGENT), arrive(LONG))

    context.run(act())


@behave.when(
    'the long calls come in bursts of {factor:g} times their usual number for'
    ' {seconds:d} s'
)
def when_bursts(context: typing.Any, factor: float, seconds: int) -> None:
    context.factor, context.seconds = factor, seconds


@behave.when('a quarter as many calls as usual come for {seconds:d} s')
def when_quarter(context: typing.Any, seconds: int) -> None:
    play(context, 0.25, seconds)


def timely_share(context: typing.Any, draws: int) -> float:
    """Return the share of the urgent calls that are answered in time."""
    found = []
    for seed in range(draws):
        given_target(context, seed)
        play(context, context.factor, context.seconds)
        found += context.outcomes
    context.outcomes = found
    timely = [
        reason is None and took_s <= call.objective_ms / 1000
        for call, reason, took_s in found
        if call.route_name == URGENT.name
    ]
    return sum(timely) / len(timely)


@behave.then(
    'over {draws:d} draws the urgent calls answered in time are at least'
    ' {percent:d} in 100'
)
def then_timely(context: typing.Any, draws: int, percent: int) -> None:
    context.draws = draws
    context.share = timely_share(context, draws)
    context.found = context.outcomes
    assert context.share >= percent / 100, context.share


@behave.then('without a reserve they are fewer')
def then_fewer(context: typing.Any) -> None:
    kept, reserves.MAX_SHARE = reserves.MAX_SHARE, 0.0
    try:
        without = timely_share(context, context.draws)
    finally:
        reserves.MAX_SHARE = kept
    assert without < context.share, (without, context.share)


@behave.then(
    'the long calls are served at least a quarter as often as all calls'
)
def then_served(context: typing.Any) -> None:
    served = [reason is None for _, reason, _ in context.found]
    long = [
        reason is None
        for call, reason, _ in context.found
        if call.route_name == LONG.name
    ]
    share, total = sum(long) / len(long), sum(served) / len(served)
    assert share >= QUARTER * total, (share, total)


@behave.then('no call was refused and no slot is reserved')
def then_calm(context: typing.Any) -> None:
    refused = [reason for _, reason, _ in context.outcomes if reason]
    assert not refused, refused
    reserve = context.gate.slots.reserve
    size = reserve.size(2, 1.1, SLOTS, context.clock.monotonic())
    assert size == 0, reserve


@behave.given(
    'a reserve that has seen {per_s:d} calls per second of {run_s:g} s and'
    ' priority {priority:d}, with an objective of {objective_s:g} s'
)
def given_reserve(
    context: typing.Any,
    per_s: int,
    run_s: float,
    priority: int,
    objective_s: float,
) -> None:
    context.reserve = reserves.Reserve()
    for number in range(round(SEEN_S * per_s)):
        context.reserve.note_arrival(
            priority, run_s, objective_s, number / per_s
        )


@behave.when('a call found less urgent ones in all slots {waited_s:d} s ago')
def when_waited(context: typing.Any, waited_s: int) -> None:
    context.reserve.note_wait(SEEN_S - waited_s)


@behave.then(
    '{size:d} of {slots:d} slots are reserved from calls of {run_s:g} s and'
    ' priority {priority:d}'
)
def then_size(
    context: typing.Any, size: int, slots: int, run_s: float, priority: int
) -> None:
    actual = context.reserve.size(priority, run_s, slots, SEEN_S)
    assert actual == size, actual
