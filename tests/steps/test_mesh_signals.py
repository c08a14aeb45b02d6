"""Steps of signals that reach real nodes at any moment of their life."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import random
import signal
import typing

import behave

from standins import fleet
from tests.steps import test_mesh_stop as stop_steps

KINDS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
PAUSES_S = (0.0, 0.1, 0.5, 1.0)
MAX_GAP_S = 0.06
START_S = 20.0
STOP_S = 12.0
POLL_S = 0.002


def handles(pid: int, kind: signal.Signals) -> bool:
    """Return whether a process has a handler for a signal."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    mask = int(status.partition('SigCgt:')[2].split()[0], 16)
    return bool(mask >> (kind - 1) & 1)


async def until_handled(process: fleet.Process) -> None:
    """Wait until a process has run its first lines."""
    async with asyncio.timeout(START_S):
        while process.popen.poll() is None:
            if handles(process.popen.pid, signal.SIGTERM):
                return
            await asyncio.sleep(POLL_S)


async def send_until_gone(rng: random.Random, process: fleet.Process) -> int:
    """Send signals until a process has ended; return its exit code."""
    await until_handled(process)
    await asyncio.sleep(rng.choice(PAUSES_S))
    async with asyncio.timeout(STOP_S):
        while process.popen.poll() is None:
            process.signal(rng.choice(KINDS))
            await asyncio.sleep(rng.uniform(0.0, MAX_GAP_S))
    return process.popen.returncode


def start_again(context: typing.Any, name: str) -> fleet.Process:
    """Start a node of either program and return its process."""
    if name in context.fleet.nodes:
        return context.fleet.start_node(name)
    context.mesh.start_node(name)
    return context.mesh.vms[name].node


def running(context: typing.Any) -> dict[str, fleet.Process]:
    """Return the processes of all nodes, of either program, by name."""
    if context.fleet.nodes:
        return {n.name: n.process for n in context.fleet.nodes.values()}
    return {vm.name: vm.node for vm in context.mesh.vms.values()}


@behave.when(
    '{count:d} stops are made by signals of drawn kinds and gaps, with seed '
    '{seed:d}'
)
def when_stopped(context: typing.Any, count: int, seed: int) -> None:
    """Make the stops; ``-D seed=N`` of behave replaces the seed."""
    seed = int(context.config.userdata.get('seed', seed))
    context.codes = collections.Counter()
    numbers = itertools.count()

    async def stop_in_turn(name: str, process: fleet.Process) -> None:
        while (number := next(numbers)) < count:
            rng = random.Random(f'{seed} {number}')
            context.codes[await send_until_gone(rng, process)] += 1
            process = start_again(context, name)

    async def act() -> None:
        until = asyncio.Event()
        nodes = running(context)
        callers = [
            stop_steps.Caller(context, name, 0, seed)
            for name in nodes
            if name not in context.fleet.nodes
        ]
        calling = [asyncio.create_task(one.run(until)) for one in callers]
        await asyncio.gather(*(stop_in_turn(*item) for item in nodes.items()))
        until.set()
        await asyncio.gather(*calling)
        context.requests = [r for one in callers for r in one.requests]
        if callers:
            context.runs = await stop_steps.runs(context)

    context.run(act())


@behave.then('every node has ended with 0')
def then_zero(context: typing.Any) -> None:
    assert set(context.codes) == {0}, context.codes


@behave.then('every call that ran has got an answer')
def then_answered(context: typing.Any) -> None:
    ran = [r for r in context.requests if context.runs[r.identity]]
    lost = [request for request in ran if not request.status]
    assert ran
    assert not lost, (len(ran), lost)
