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


@behave.when(
    '{count:d} connections end without the garbage collector,'
    ' with calls in flight'
)
def when_connections_end(context: typing.Any, count: int) -> None:
    """End the connections from both ends by turns, opening a new one each."""
    pools = (context.dialling, context.accepting)
    del context.first, context.accepted

    async def end_one(number: int) -> None:
        connection = await context.dialling.get(context.address)
        await pool_steps.until(lambda: context.accepting.all())
        (accepted,) = context.accepting.all()
        call = asyncio.create_task(_send(context, number))
        await pool_steps.until(lambda: accepted.serving)
        context.ended += [weakref.ref(connection), weakref.ref(accepted)]
        (connection, accepted)[number % 2].link.abort()
        await call
        await pool_steps.until(lambda: not any(pool.all() for pool in pools))

    async def act() -> None:
        for number in range(count):
            await end_one(number)
        await asyncio.sleep(SETTLE_S)

    context.address = context.accepting.hello.address
    context.calls, context.ended = [], []
    collector.disable(context)
    context.run(act())


@behave.then('none of the connections is held')
def then_connections_freed(context: typing.Any) -> None:
    held = sum(connection() is not None for connection in context.ended)
    assert held == 0, f'{held} of {len(context.ended)}'
