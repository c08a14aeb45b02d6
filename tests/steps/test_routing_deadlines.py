"""Steps for the ends of calls."""

from __future__ import annotations

import typing

import behave

from pomelobend.routing import deadlines

STARTED = 100.0


@behave.given('a node whose loop is usually {late_ms:d} ms late')
def given_late(context: typing.Any, late_ms: int) -> None:
    context.late_s = late_ms / 1000


@behave.when(
    'the ends of a call are set for {caller_ms:d} ms and a route of '
    '{route_ms:d} ms'
)
def when_set(context: typing.Any, caller_ms: int, route_ms: int) -> None:
    late_s = getattr(context, 'late_s', 0.0)
    context.ends = deadlines.of(
        STARTED, caller_ms / 1000, route_ms / 1000, late_s
    )


@behave.then('targets have {target_ms:d} ms')
def then_target(context: typing.Any, target_ms: int) -> None:
    seconds = context.ends.target - STARTED
    assert round(seconds * 1000) == target_ms, context.ends


@behave.then('the node replies itself from {reply_ms:d} ms on')
def then_reply(context: typing.Any, reply_ms: int) -> None:
    seconds = context.ends.reply - STARTED
    assert round(seconds * 1000) == reply_ms, context.ends


@behave.then('a node that stops replies itself from {last_ms:d} ms on')
def then_last(context: typing.Any, last_ms: int) -> None:
    seconds = context.ends.last - STARTED
    assert round(seconds * 1000) == last_ms, context.ends


@behave.then(
    'a node that is usually {other_ms:d} ms late waits for its target beyond '
    'the last reply'
)
def then_waits(context: typing.Any, other_ms: int) -> None:
    ends = context.ends
    told = deadlines.of_served(STARTED, ends.target - STARTED, other_ms / 1000)
    context.given_up_at = told + deadlines.SERVED_MARGIN_S
    assert context.given_up_at > ends.last, (context.given_up_at, ends)


@behave.then('the node of the caller waits for that node for longer')
def then_waits_longer(context: typing.Any) -> None:
    waits_until = context.ends.target + deadlines.SENT_MARGIN_S
    assert waits_until > context.given_up_at, waits_until
