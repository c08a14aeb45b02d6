"""Steps of calls between nodes that are freed once they have failed."""

from __future__ import annotations

import asyncio
import typing
import weakref

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import caller as peer_callers
from pomelobend.routing import target_stats
from standins import fleet
from tests import collector
from tests.steps import test_peers_closing as closing_steps
from tests.steps import test_peers_pool as pool_steps

SETTLE_S = 0.1


async def _send(context: typing.Any, number: int) -> errors.Reason | None:
    """Send a call; return why it was refused."""
    caller = peer_callers.Caller(context.dialling, clocks.SystemClock())
    member = members.Member('n2', 1, 0, 'vik', context.address)
    call = closing_steps.new_call(number)
    context.calls.append(weakref.ref(call))
    try:
        await caller.call(call, member, target_stats.TargetStats(1))
    except errors.CallRefusedError as refusal:
        return refusal.reason
    return None


@behave.given('a node and another one that does not listen')
def given_unreachable(context: typing.Any) -> None:
    addresses = [f'127.0.0.1:{port}' for port in fleet.free_ports(2)]
    context.dialling = pool_steps.open_pool('n1', addresses[0])
    context.address = addresses[1]


@behave.when(
    '{count:d} calls are sent to it {how} without the garbage collector'
)
def when_sent(context: typing.Any, count: int, how: str) -> None:
    async def act() -> list[errors.Reason | None]:
        if how == 'at a time':
            sent = [_send(context, number) for number in range(count)]
            return await asyncio.gather(*sent)
        return [await _send(context, number) for number in range(count)]

    context.calls = []
    collector.disable(context)
    context.reasons = context.run(act())
    context.run(asyncio.sleep(SETTLE_S))


@behave.when(
    '{count:d} calls are sent over it without the garbage collector,'
    ' and it ends'
)
def when_ended(context: typing.Any, count: int) -> None:
    async def act() -> list[errors.Reason | None]:
        sent = [
            asyncio.create_task(_send(context, number))
            for number in range(count)
        ]
        await pool_steps.until(lambda: len(context.accepted.serving) == count)
        context.first.link.abort()
        return await asyncio.gather(*sent)

    context.address = context.accepting.hello.address
    context.calls = []
    collector.disable(context)
    context.reasons = context.run(act())
    context.run(asyncio.sleep(SETTLE_S))
