"""Steps of signals that reach real nodes at any moment of their life."""

from __future__ import annotations

import asyncio
import collections
import itertools
import os
import pathlib
import random
import signal
import time
import typing

import attrs
import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps
from tests.steps import test_mesh_stop as stop_steps

KINDS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
PAUSES_S = (0.0, 0.1, 0.5, 1.0)
MAX_GAP_S = 0.06
START_S = 20.0
STOP_S = 12.0
POLL_S = 0.002
NOT_RUN = 503
SETTLE_S = 0.3
NODE = stop_steps.NODE
LONG = stop_steps.Request('long', NODE, work_s=9.0, deadline_s=9.0)

SITE_TEXT = """
import importlib.abc
import sys
import time


class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == 'pomelobend.mesh.node':
            {statement}


sys.meta_path.insert(0, Finder())
"""


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


async def hold_up(context: typing.Any, hold_s: float) -> asyncio.StreamReader:
    """Send a call, then SIGTERM while a reload holds up the event loop."""
    reader, writer = await stop_steps.connect(context, NODE)
    writer.write(LONG.encode())
    await asyncio.sleep(SETTLE_S)
    path = context.fleet.folder / f'{NODE}.json'
    settings = path.read_bytes()
    path.unlink()
    os.mkfifo(path)
    context.mesh.vms[NODE].node.signal(signal.SIGHUP)
    await asyncio.sleep(SETTLE_S)
    stop_steps.stop(context, NODE)
    await asyncio.sleep(hold_s)
    await asyncio.to_thread(path.write_bytes, settings)
    return reader


def start_modified(context: typing.Any, statement: str) -> None:
    """Start a node that runs a statement in the middle of its imports."""
    start_with_site(context, SITE_TEXT.format(statement=statement))


def start_with_site(context: typing.Any, text: str) -> None:
    """Start a node whose Python runs a text when it looks for modules."""
    folder = context.fleet.folder / 'site'
    folder.mkdir()
    (folder / 'sitecustomize.py').write_text(text)
    context.mesh.start_node(NODE, PYTHONPATH=str(folder))


async def load_slowly(
    context: typing.Any, hold_s: float
) -> asyncio.StreamReader:
    """Send a call and SIGTERM to a node that has just been started."""
    node = context.mesh.vms[NODE].node
    node.signal(signal.SIGKILL)
    await node.wait(STOP_S)
    start_modified(context, f'time.sleep({hold_s})')
    async with asyncio.timeout(START_S):
        while True:
            try:
                reader, writer = await stop_steps.connect(context, NODE)
                break
            except OSError:
                await asyncio.sleep(POLL_S)
    writer.write(LONG.encode())
    stop_steps.stop(context, NODE)
    return reader


_STATES = {'being loaded': load_slowly, 'held up': hold_up}


async def kill_later(context: typing.Any) -> None:
    """Kill the node at the end of its grace period, as the platform does."""
    end = context.stopped_at + mesh.BOUNDS['grace_s']
    await asyncio.sleep(end - time.monotonic())
    context.mesh.vms[NODE].node.signal(signal.SIGKILL)


@behave.when(
    'a node gets a call of 9 s and then SIGTERM while it is {state} for '
    '{hold_s:g} s'
)
def when_late(context: typing.Any, state: str, hold_s: float) -> None:
    async def act() -> None:
        context.request = attrs.evolve(LONG)
        reader = await _STATES[state](context, hold_s)
        killing = asyncio.create_task(kill_later(context))
        await stop_steps.receive(context.request, reader)
        context.replied_at = time.monotonic()
        context.code = await context.mesh.vms[NODE].node.wait(STOP_S)
        context.ended_at = time.monotonic()
        await killing

    context.run(act())


@behave.then(
    'the call was held until the last second of the grace period, or has not'
    ' run'
)
def then_held(context: typing.Any) -> None:
    """Check the reply; a start that takes over 2.5 s refuses the call."""
    assert context.code == 0, context.code
    if context.request.status == NOT_RUN:
        found = context.run(stop_steps.runs(context))
        assert not found[context.request.identity], found
        return
    left_s = context.stopped_at + mesh.BOUNDS['grace_s'] - context.replied_at
    assert 0 < left_s < 1, (left_s, context.request)


STEPS = {
    'announce its state': 'mesh.control:Control.publish',
    'say goodbye': 'peers.pool:Pool.send_goodbye',
    'stop listening': 'http.server:Server.stop_listening',
    'close idle connections': 'http.server:Server.close_idle',
    'deregister': 'mesh.registry:Registry.deregister',
}


def failing(step: str) -> str:
    """Return a statement that makes a step of the stop fail."""
    module, _, attribute = STEPS[step].partition(':')
    return (
        f'from tests import failing_step; '
        f'failing_step.install("pomelobend.{module}", "{attribute}")'
    )


@behave.when(
    'a node that fails to {step} gets a call of {work_s:g} s and then SIGTERM'
)
def when_step_fails(context: typing.Any, step: str, work_s: float) -> None:
    vm = context.mesh.vms[NODE]
    context.request = stop_steps.Request('step', NODE, work_s=work_s)
    context.request.deadline_s = 2 * work_s

    async def act() -> None:
        vm.node.signal(signal.SIGKILL)
        await vm.node.wait(STOP_S)
        start_modified(context, failing(step))
        await context.mesh.wait_until_serving(
            [NODE], path_steps.LOOKUP, START_S
        )
        reader, writer = await stop_steps.connect(context, NODE)
        writer.write(context.request.encode())
        await asyncio.sleep(SETTLE_S)
        await context.mesh.post_control(
            vm.addresses['app'], 'change', state='draining'
        )
        await asyncio.sleep(SETTLE_S)
        stop_steps.stop(context, NODE)
        await stop_steps.receive(context.request, reader)
        context.code = await vm.node.wait(STOP_S)
        context.ended_at = time.monotonic()

    context.run(act())


@behave.then('the node has ended with 0 and logged the failure of a step')
def then_logged(context: typing.Any) -> None:
    log = context.mesh.vms[NODE].node.log.read_text()
    assert context.code == 0, context.code
    assert 'node: step of the stop failed' in log, log[-2000:]


@behave.when(
    'a node whose start of Python takes {start_s:d} s gets {kind} {after_s:d}'
    ' s after its start'
)
def when_python_starts(
    context: typing.Any, start_s: int, kind: str, after_s: int
) -> None:
    vm = context.mesh.vms[NODE]

    async def act() -> None:
        vm.node.signal(signal.SIGKILL)
        await vm.node.wait(STOP_S)
        context.log_size = len(vm.node.log.read_text())
        start_with_site(context, f'import time\ntime.sleep({start_s})\n')
        await asyncio.sleep(after_s)
        vm.node.signal(signal.Signals[kind])
        await asyncio.sleep(start_s)

    context.run(act())


@behave.then('the node has not been started')
def then_not_started(context: typing.Any) -> None:
    vm = context.mesh.vms[NODE]
    text = vm.node.log.read_text()
    assert 'node: st' not in text[context.log_size :], text
