"""Steps for a node whose previous process still stops, on the loopback."""

from __future__ import annotations

import asyncio
import time
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.mesh import directory as directories
from pomelobend.peers import callee as callees
from pomelobend.peers import codec
from pomelobend.peers import messages
from standins import fleet
from tests.steps import test_peers_closing as closing_steps
from tests.steps import test_peers_pool as pool_steps

if typing.TYPE_CHECKING:
    from pomelobend.peers import pool as pools

WORK_S = 0.6
AT_ONCE_S = 0.4


def open_process(address: str, incarnation: int) -> pools.Pool:
    """Return the pool of a process of the other node, with its target."""
    pool = pool_steps.open_pool('n2', address)
    pool.hello = attrs.evolve(pool.hello, incarnation=incarnation)
    pool.handler = callees.Callee(
        closing_steps.Guard(10), lambda start, _: start.path
    )
    return pool


def announce(pool: pools.Pool, state: members.State, sequence: int) -> None:
    """Announce the record of a process to the nodes that are connected."""
    hello = pool.hello
    record = members.Member(
        hello.node,
        hello.incarnation,
        sequence,
        hello.domain,
        hello.address,
        state=state,
    )
    for connection in pool.all():
        connection.send(messages.Announce(codec.member_to_wire(record)))


async def connect(context: typing.Any, process: pools.Pool) -> None:
    """Connect to a process and wait for its announcement."""
    await process.listen()
    context.stack.push_async_callback(process.close)
    await context.dialling.get(process.hello.address)
    await pool_steps.until(process.all)
    announce(process, members.State.SERVING, 1)
    await until_announced(context, process, 1)


async def until_announced(
    context: typing.Any, process: pools.Pool, sequence: int
) -> None:
    """Wait until the record of a process is known."""
    order = (process.hello.incarnation, sequence)
    live = context.directory.live
    await pool_steps.until(
        lambda: 'n2' in live and live['n2'][1].order == order
    )


@behave.given('a node that has a connection to another node with a target')
def given_connected(context: typing.Any) -> None:
    async def act() -> None:
        own, *others = [f'127.0.0.1:{port}' for port in fleet.free_ports(3)]
        context.dialling = pool_steps.open_pool('n1', own)
        context.stack.push_async_callback(context.dialling.close)
        context.directory = directories.Directory(
            members.Member('n1', 1, 0, 'vik', own),
            context.dialling,
            clocks.SystemClock(),
        )
        context.dialling.handler.dispatch_message = (
            context.directory.handle_announce
        )
        context.previous = open_process(others[0], 1)
        context.next = open_process(others[1], 2)
        await connect(context, context.previous)

    context.run(act())


@behave.when(
    'the other node is replaced after {sign} while a call runs at its previous'
    ' process'
)
def when_replaced(context: typing.Any, sign: str) -> None:
    previous = context.previous
    previous.handler.guard.work_s = WORK_S

    async def act() -> None:
        call = asyncio.create_task(
            closing_steps.send_to(previous, context.dialling, 1)
        )
        await pool_steps.until(lambda: previous.handler.guard.runs)
        if sign == 'its goodbye':
            (connection,) = context.dialling.all()
            previous.send_goodbye()
            await pool_steps.until(lambda: connection.is_draining)
        elif sign == 'it announced its drain':
            announce(previous, members.State.DRAINING, 2)
            await until_announced(context, previous, 2)
        await connect(context, context.next)
        began_at = time.monotonic()
        context.answer = await call
        context.took_s = time.monotonic() - began_at

    context.run(act())


@behave.then('the call has the answer of the previous process')
def then_answered(context: typing.Any) -> None:
    assert context.answer == b'a' * 10, context.answer


@behave.then('the call has failed with its outcome unknown at once')
def then_failed(context: typing.Any) -> None:
    assert context.answer is errors.Run.UNKNOWN, context.answer
    assert context.took_s < AT_ONCE_S, context.took_s
