"""Steps for the grace period of a node, in simulated time."""

from __future__ import annotations

import asyncio
import functools
import socket
import time
import typing

import async_solipsism
import behave

from benchmarks.model import clock as model_clock
from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.mesh import grace as graces

if typing.TYPE_CHECKING:
    from collections import abc

TIMER_SLACK_S = 0.001
LIMIT_S = 0.4
ANSWER = b'bells'


@behave.given(
    'a node that has received SIGTERM with a grace period of {grace_s:d} s'
)
def given_stopping(context: typing.Any, grace_s: int) -> None:
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    context.grace_s = grace_s

    async def create() -> None:
        context.clock = model_clock.LoopClock()
        context.grace = graces.Grace(context.clock)

    context.run(create())


def begin(context: typing.Any, late_s: float = 0.0) -> None:
    """Begin the grace period, late after SIGTERM."""
    signalled_at = context.clock.monotonic() - late_s
    context.grace.begin(context.grace_s, signalled_at)


@behave.when('a call comes after {came_s:g} s that ends within {left_s:g} s')
def when_comes(context: typing.Any, came_s: float, left_s: float) -> None:
    check_call(context, came_s, left_s, context.grace.check)


@behave.when(
    'a call from another node comes after {came_s:g} s that ends within '
    '{left_s:g} s and {kind}'
)
def when_taken_over(
    context: typing.Any, came_s: float, left_s: float, kind: str
) -> None:
    check = functools.partial(
        context.grace.check_served, is_idempotent=kind == 'may be repeated'
    )
    check_call(context, came_s, left_s, check)


def check_call(
    context: typing.Any,
    came_s: float,
    left_s: float,
    check: abc.Callable[[float], None],
) -> None:
    """Check a call that comes after SIGTERM; note the outcome."""

    async def act() -> None:
        begin(context)
        await asyncio.sleep(came_s)
        try:
            check(context.clock.monotonic() + left_s)
        except errors.CallRefusedError as refusal:
            assert refusal.run is errors.Run.NOT_RUN
            assert refusal.reason is errors.Reason.STOPPING
            context.outcome = 'refused'
        else:
            context.outcome = 'accepted'

    context.run(act())


@behave.then('it is {outcome} as far as the grace period goes')
def then_outcome(context: typing.Any, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


async def wait(
    context: typing.Any, deadline: float, last: float | None = None
) -> float:
    """Wait longer than a deadline allows; return when the wait ended."""
    try:
        async with context.grace.timeout(deadline, last):
            await asyncio.sleep(2 * (deadline - context.clock.monotonic()))
    except TimeoutError:
        pass
    return context.clock.monotonic()


@behave.when(
    'the grace period begins while a call of {short_s:g} s reaches its limit'
    ' beside one of {long_s:g} s'
)
def when_at_limit(context: typing.Any, short_s: float, long_s: float) -> None:
    async def act() -> None:
        started = context.clock.monotonic()
        context.loop.call_later(
            short_s, context.loop.call_soon, begin, context
        )
        ended = await asyncio.gather(
            wait(context, started + short_s), wait(context, started + long_s)
        )
        context.replied_s = [at - started for at in ended]

    context.run(act())


@behave.then(
    'the callers are replied to {first_s:g} s and {second_s:g} s after they'
    ' came'
)
def then_replied_both(
    context: typing.Any, first_s: float, second_s: float
) -> None:
    for found, expected in zip(
        context.replied_s, (first_s, second_s), strict=True
    ):
        assert abs(found - expected) <= TIMER_SLACK_S, context.replied_s


@behave.when('a call that came {when} waits until {deadline_s:g} s after it')
def when_waits(context: typing.Any, when: str, deadline_s: float) -> None:
    wait_beside(context, when, deadline_s, deadline_s)


@behave.when(
    'a call that came {when} waits until {deadline_s:g} s after it, or '
    '{last_s:g} s at a node that stops'
)
def when_waits_longer(
    context: typing.Any, when: str, deadline_s: float, last_s: float
) -> None:
    wait_beside(context, when, deadline_s, last_s)


def wait_beside(
    context: typing.Any, when: str, deadline_s: float, last_s: float
) -> None:
    """Let a call wait that came before or after SIGTERM; note its end."""

    async def act() -> None:
        started = context.clock.monotonic()
        if when == 'after it':
            begin(context)
        waiting = asyncio.create_task(
            wait(context, started + deadline_s, started + last_s)
        )
        await asyncio.sleep(0)
        if when == 'before it':
            begin(context)
        context.replied_s = await waiting - started
        assert not context.grace.timeouts

    context.run(act())


@behave.when(
    'a call that comes {came_s:g} s after a start waits until {deadline_s:g} '
    's after it, or {last_s:g} s beside a planned stop, at a node that had '
    '{what}'
)
def when_started(
    context: typing.Any,
    came_s: float,
    deadline_s: float,
    last_s: float,
    what: str,
) -> None:
    async def act() -> None:
        started = context.clock.monotonic()
        if what != 'no earlier process':
            learns_s = float(what.split()[-2])
            context.loop.call_later(
                learns_s, context.grace.follow, started, context.grace_s
            )
        await asyncio.sleep(came_s)
        came = context.clock.monotonic()
        context.replied_s = (
            await wait(context, came + deadline_s, came + last_s) - came
        )

    context.run(act())


@behave.then('its caller is replied to {reply_s:g} s after it came')
def then_replied_after(context: typing.Any, reply_s: float) -> None:
    then_replied(context, reply_s)


@behave.then('its caller is replied to {reply_s:g} s after SIGTERM')
def then_replied(context: typing.Any, reply_s: float) -> None:
    assert abs(context.replied_s - reply_s) <= TIMER_SLACK_S, context.replied_s


@behave.when(
    'SIGTERM is handled {late_s:g} s late while a call of {call_s:d} s waits'
)
def when_handled_late(context: typing.Any, late_s: float, call_s: int) -> None:
    stop_late(context, late_s, call_s, is_known=True)


@behave.when(
    'SIGTERM is noted {unsure_s:g} s after its earliest time while a call of '
    '{call_s:g} s waits'
)
def when_noted_late(
    context: typing.Any, unsure_s: float, call_s: float
) -> None:
    stop_late(context, unsure_s, call_s, is_known=False)


def stop_late(
    context: typing.Any, late_s: float, call_s: float, *, is_known: bool
) -> None:
    """Stop late after the earliest time of SIGTERM; it may be known."""

    async def act() -> None:
        signalled_at = context.clock.monotonic()
        waiting = asyncio.create_task(wait(context, signalled_at + call_s))
        await asyncio.sleep(late_s)
        noted_at = None if is_known else context.clock.monotonic()
        context.grace.begin(context.grace_s, signalled_at, noted_at)
        grace = context.grace
        context.accepts_s = grace.accepts_until - signalled_at
        context.listens_s = grace.listens_until - signalled_at
        context.replied_s = await waiting - signalled_at
        context.closes_s = grace.closes_at - signalled_at
        for left_s in (0.01, 9.0):
            try:
                grace.check(context.clock.monotonic() + left_s)
            except errors.CallRefusedError:
                continue
            raise AssertionError(f'accepted with {left_s} s left')

    context.run(act())


@behave.then(
    'calls of any length are accepted until {accepts_s:g} s, connections '
    'until {listens_s:g} s, and closed {closes_s:g} s after SIGTERM'
)
def then_ends(
    context: typing.Any, accepts_s: float, listens_s: float, closes_s: float
) -> None:
    found = (context.accepts_s, context.listens_s, context.closes_s)
    for one, expected in zip(
        found, (accepts_s, listens_s, closes_s), strict=True
    ):
        assert abs(one - expected) <= TIMER_SLACK_S, found


@behave.then('the reply comes in the last sixth of the grace period')
def then_excused(context: typing.Any) -> None:
    left_s = context.grace_s - context.replied_s
    assert 0 < left_s <= context.grace_s / 6, left_s


@behave.when(
    'the loop is held up past the limit of a call whose answer has arrived'
)
def when_held_up(context: typing.Any) -> None:
    async def act() -> None:
        clock = clocks.SystemClock()
        grace = graces.Grace(clock)
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)
        context.stack.callback(writer.close)
        context.stack.callback(far.close)
        task = asyncio.create_task(reader.readexactly(len(ANSWER)))
        deadline = clock.monotonic() + LIMIT_S
        waiting = asyncio.create_task(grace.wait(task, deadline))
        await asyncio.sleep(LIMIT_S / 2)
        far.sendall(ANSWER)
        time.sleep(LIMIT_S)
        context.answer = await waiting

    context.run(act())


@behave.then('the call has its answer')
def then_has_answer(context: typing.Any) -> None:
    assert context.answer == ANSWER
