"""Steps of calls that are freed once they have failed."""

from __future__ import annotations

import typing
import weakref

import attrs
import behave

from pomelobend import errors
from tests import collector
from tests.steps import test_targets_endless as endless_steps

if typing.TYPE_CHECKING:
    from collections import abc

DEADLINE_S = 20.0
BODY = b'bells'


async def _upload(*, is_cut: bool) -> abc.AsyncIterator[bytes]:
    yield BODY
    if is_cut:
        raise errors.CallRefusedError(errors.Reason.BODY_INCOMPLETE)


@behave.when(
    '{count:d} uploads are sent in sequence without the garbage collector,'
    ' and their {side} off'
)
def when_uploaded(context: typing.Any, count: int, side: str) -> None:
    client = context.client

    async def send(number: int) -> errors.Reason | None:
        call = attrs.evolve(
            endless_steps.new_call(client, number, DEADLINE_S),
            method='POST',
            remaining_body=_upload(is_cut=side == 'callers break'),
        )
        context.calls.append(weakref.ref(call))
        try:
            await client.call(call)
        except errors.CallRefusedError as refusal:
            return refusal.reason
        return None

    async def act() -> list[errors.Reason | None]:
        return [await send(number) for number in range(count)]

    context.calls = []
    collector.disable(context)
    context.reasons = context.run(act())


@behave.then('all of them are refused for {reason}')
def then_refused(context: typing.Any, reason: str) -> None:
    assert set(context.reasons) == {errors.Reason(reason)}, context.reasons


@behave.then('none of the calls is held')
def then_freed(context: typing.Any) -> None:
    held = sum(call() is not None for call in context.calls)
    assert context.calls
    assert held == 0, f'{held} of {len(context.calls)}'
