"""Steps of every fault at every step of a call."""

from __future__ import annotations

import asyncio
import signal
import typing

import aiohttp
import behave

from tests.steps import fleet
from tests.steps import test_distribution_faults as faults

STRIKE_S = 0.5
"""Time after which a call has come to the step that is meant."""

DEADLINE_MS = 4_000
"""Deadline of the call; a frozen process cannot hold it longer."""

BODY_BYTES = 400_000


@behave.given('a deployment with one slot')
def given_deployment(context: typing.Any) -> None:
    fleet.given_platform(context)
    context.settings = {
        **faults.QUICK,
        'platform': {'address': context.fleet.platform_address},
        'target': {'slow_start': 0, 'queue_wait': 6_000},
        'limits': {'body_silence': 3_000},
    }
    fleet.given_nodes(context, 'n1', 'selfoss')
    fleet.given_nodes(context, 'n2', 'hella')
    context.fleet.start_target(
        'n2', 'innborgun', '--cold-s', '0', '--slots', '1'
    )
    context.targets = 1
    fleet.given_configuration(context)
    fleet.given_all_known(context)


@behave.when('a call meets that {fault} while {step}')
def when_fault(context: typing.Any, fault: str, step: str) -> None:
    context.run(strike_at(context, fault, step))


async def strike_at(context: typing.Any, fault: str, step: str) -> None:
    """Bring a call to a step, bring about a fault, keep the outcome."""
    headers = {
        'x-call': 'the-call',
        'pomelobend-deadline-ms': str(DEADLINE_MS),
    }
    others = []
    body: typing.Any = b'deposit'
    if step == 'a call waits for a slot':
        others.append(send(context, {'x-work-s': '1.5'}, b'before'))
        await asyncio.sleep(0.2)
    elif step == 'its body is under way':
        body = slow_body()
    elif step == 'the target runs it':
        headers['x-work-s'] = '1.5'
    else:
        headers |= {'x-answer-bytes': '1000000', 'x-pause-s': '0.1'}
    call = send(context, headers, body)
    await asyncio.sleep(STRIKE_S)
    context.runs = await runs(context)
    strike(context, fault, call)
    context.outcome = await settle(call)
    for other in others:
        await settle(other)
    for process in (
        context.fleet.nodes['n2'].process,
        context.fleet.nodes['n2'].target,
    ):
        process.signal(signal.SIGCONT)
    await asyncio.sleep(0.3)
    later = await runs(context)
    context.runs = max(context.runs, later)


def send(
    context: typing.Any, headers: dict[str, str], body: typing.Any
) -> asyncio.Task:
    """Send a call that is not idempotent through n1."""
    return asyncio.create_task(
        fleet.call(
            context,
            'n1',
            'POST',
            '/innborgun/deposit',
            headers=headers,
            data=body,
        )
    )


async def slow_body() -> typing.AsyncIterator[bytes]:
    """Yield a body that takes about 2 s to send."""
    for _ in range(20):
        yield b'b' * (BODY_BYTES // 20)
        await asyncio.sleep(0.1)


def strike(context: typing.Any, fault: str, call: asyncio.Task) -> None:
    """Bring about a fault."""
    entry, other = (context.fleet.nodes[name] for name in ('n1', 'n2'))
    match fault:
        case 'the caller breaks off':
            call.cancel()
        case 'the entry node is killed':
            entry.process.signal(signal.SIGKILL)
        case 'the other node is killed':
            other.process.signal(signal.SIGKILL)
        case 'the other node is frozen':
            other.process.signal(signal.SIGSTOP)
        case 'the target is killed':
            other.target.signal(signal.SIGKILL)
        case 'the target is frozen':
            other.target.signal(signal.SIGSTOP)


async def settle(call: asyncio.Task) -> str:
    """Return done, not-run, unknown, broken or cancelled."""
    try:
        async with asyncio.timeout(fleet.START_S):
            status, headers, _ = await call
    except asyncio.CancelledError:
        return 'cancelled'
    except aiohttp.ClientError:
        return 'broken'
    return 'done' if status == 200 else headers['pomelobend-run']


async def runs(context: typing.Any) -> int:
    """Return how often the target has run the call, as far as it lives."""
    address = context.fleet.nodes['n2'].target_address
    report = await context.fleet.get_json(address, '/stand-in/report')
    return (report or {'runs': {}})['runs'].get('the-call', 0)


@behave.then('the outcome of the call is true')
def then_true(context: typing.Any) -> None:
    if context.outcome == 'not-run':
        assert context.runs == 0, context.runs
    if context.outcome == 'done':
        assert context.runs == 1, context.runs


@behave.then('the call has run at most once')
def then_once(context: typing.Any) -> None:
    assert context.runs <= 1, (context.runs, context.outcome)


@behave.then('no call stays in flight on the nodes that live')
def then_idle(context: typing.Any) -> None:
    alive = [
        name
        for name, node in context.fleet.nodes.items()
        if node.process.popen.poll() is None
    ]

    async def is_idle() -> bool:
        states = [await context.fleet.status(name) for name in alive]
        return all(state.get('in_flight') == 0 for state in states)

    context.run(context.fleet.until(is_idle, fleet.START_S))
