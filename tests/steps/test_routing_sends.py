"""Steps of the sends of a call that may be repeated."""

from __future__ import annotations

import asyncio
import re
import types
import typing

import async_solipsism
import attrs
import behave

from pomelobend import calls
from pomelobend import errors
from pomelobend.routing import delivery as deliveries
from pomelobend.routing import sends as sends_module
from pomelobend.routing import target_stats

SEND = re.compile(r'(?:silent at (\d+) )?(answers|refused) at (\d+)')
MS = 0.001


@attrs.define(eq=False)
class Plan:
    """Sends that are planned, and the numbers of those that are at work."""

    steps: list[tuple[str, str, str]]
    at_work: set[int] = attrs.field(factory=set)

    async def play(self, number: int, on_silent: typing.Any) -> calls.Answer:
        """Play one send, with times from its start."""
        silent_ms, outcome, end_ms = self.steps[number - 1]
        self.at_work.add(number)
        try:
            if silent_ms:
                await asyncio.sleep(int(silent_ms) * MS)
                on_silent()
            await asyncio.sleep((int(end_ms) - int(silent_ms or 0)) * MS)
        finally:
            self.at_work.discard(number)
        if outcome == 'refused':
            raise refusal(number)
        return calls.Answer(200, [], b'%d' % number)

    async def run(self, sends: sends_module.Sends) -> calls.Answer:
        """Send a call as ``Delivery`` does, without limits of retries."""
        for number in range(1, len(self.steps) + 1):
            try:
                return await sends.add(
                    lambda on_silent, n=number: self.play(n, on_silent)
                )
            except errors.CallRefusedError:
                continue
        return await sends.rest(refusal(len(self.steps)))


def refusal(number: int) -> errors.CallRefusedError:
    """Return the refusal of a send."""
    return errors.CallRefusedError(
        errors.Reason.PEER_LOST, errors.Run.UNKNOWN, str(number)
    )


def play(context: typing.Any, text: str, leaves_after_s: float = 60.0) -> None:
    """Play a call in simulated time."""
    context.plan = Plan(SEND.findall(text))

    async def act() -> None:
        loop = asyncio.get_running_loop()
        sends = sends_module.Sends()
        began = loop.time()
        try:
            async with asyncio.timeout(leaves_after_s):
                answer = await context.plan.run(sends)
            context.outcome = f'answer of send {answer.body.decode()}'
        except errors.CallRefusedError as error:
            context.outcome = f'refusal of send {error.detail}'
        except TimeoutError:
            context.outcome = 'left'
        context.seconds = loop.time() - began
        sends.cancel()
        await asyncio.sleep(0)

    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(act())
    finally:
        loop.close()


@behave.when('a call is sent again after each silence or refusal: {sends}')
def when_sent(context: typing.Any, sends: str) -> None:
    play(context, sends)


@behave.when('the caller leaves a call after {after_ms:d} ms: {sends}')
def when_left(context: typing.Any, after_ms: int, sends: str) -> None:
    play(context, sends, after_ms * MS)
    assert context.outcome == 'left', context.outcome


@behave.then('the call ends with {outcome} after {seconds:f} s')
def then_ends(context: typing.Any, outcome: str, seconds: float) -> None:
    assert context.outcome == outcome, context.outcome
    assert abs(context.seconds - seconds) < 0.01, context.seconds


@behave.then('no send is left')
def then_none_left(context: typing.Any) -> None:
    assert not context.plan.at_work, context.plan.at_work


@behave.when('a node falls silent on a call and refuses it later')
def when_silent(context: typing.Any) -> None:
    stats = target_stats.TargetStats(1)
    context.shares = {}

    async def call(*arguments: typing.Any) -> calls.Answer:
        arguments[-1]()
        await asyncio.sleep(1.0)
        raise refusal(1)

    async def act() -> None:
        delivery = deliveries.Delivery(
            'n1',
            targets=None,
            placer=types.SimpleNamespace(stats=lambda _: stats),
            gate=None,
            remote=types.SimpleNamespace(call=call),
            budgets=None,
            quarantine=None,
            clock=types.SimpleNamespace(monotonic=lambda: 0.0),
            counters=None,
            startup=None,
        )
        sends = sends_module.Sends()
        member = types.SimpleNamespace(node='n2')
        lookup = types.SimpleNamespace(
            is_idempotent=True, is_nested=False, priority=0, rank=0
        )
        for moment, send in (
            ('silence', lambda: delivery._try(lookup, member, sends)),
            ('refusal', lambda: sends.rest(refusal(1))),
        ):
            try:
                await send()
            except errors.CallRefusedError:
                context.shares[moment] = stats.failure_probability()

    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(act())
    finally:
        loop.close()


@behave.then(
    'the share of failures of its target is {share:f} after the {moment}'
)
def then_share(context: typing.Any, share: float, moment: str) -> None:
    assert abs(context.shares[moment] - share) < 1e-9, context.shares
