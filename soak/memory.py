"""Targets that answer without end, and nodes that use too much memory.

Nodes are told how much memory they may use. One that uses more is killed, as
a platform does, and started again; each time counts as a finding.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import re
import signal
import time
import typing

from soak import checks
from soak import clients
from soak import troubles
from standins import endless_answers

if typing.TYPE_CHECKING:
    from soak import world as worlds
    from standins import fleet

LIMIT_MB = 300
"""Memory in MB of 2**20 bytes that the nodes of a soak may use."""

KB_IN_MB = 1024
LOOK_S = 0.05
END_S = 5.0
MOST_KINDS = 3
CALLS = (5, 40)
"""Most kinds that a target answers with for a while, and calls of each."""

FAULTY_S = (2.0, 6.0)
"""How long a target may begin answers without end."""

CALLS_PER_S = 12.0
WORK_S = 0.01
DEADLINE_S = 4.0


async def answer_endlessly(world: worlds.World) -> None:
    """Let a target begin some answers that have no end; call its service."""
    await world.sleep(0.2, 1.5)
    name = troubles.pick_target(world)
    if not name:
        return
    began, rng = time.time(), world.random
    kinds = rng.sample(
        sorted(endless_answers.KINDS), rng.randint(1, MOST_KINDS)
    )
    odd = {kind: rng.randint(*CALLS) for kind in kinds}
    until = asyncio.Event()
    async with asyncio.TaskGroup() as calls:
        calls.create_task(_call_service(world, name, until))
        await troubles.change_for(
            world, name, FAULTY_S, {'odd': odd}, {'odd': {}}
        )
        until.set()
    world.note(checks.ENDLESS, name, began, str(odd))
    world.replaced.discard(name)


async def _call_service(
    world: worlds.World, name: str, until: asyncio.Event
) -> None:
    """Send calls to the service of a VM, through nodes that are running."""
    prefix = f'{name}-endless-{time.time():.0f}'
    async with asyncio.TaskGroup() as calls:
        for number in itertools.count():
            if until.is_set():
                break
            vm = world.random.choice(world.running)
            request = _request(world, name, vm, f'{prefix}-{number}')
            world.crowds.append(request)
            calls.create_task(_send(world, request))
            await asyncio.sleep(1 / CALLS_PER_S)


def _request(
    world: worlds.World, name: str, vm: str, identity: str
) -> clients.Request:
    """Return a request to the service of a VM, as its clients send them."""
    service, deployment = world.vms[name].service, world.deployment
    path = deployment.paths[deployment.services.index(service)]
    kinds = [kind for kind in deployment.kinds if f'/{kind.route}/a' == path]
    if not kinds:
        method = 'POST' if path.startswith('/booking/') else 'GET'
        return clients.Request(
            identity, vm, method, path, WORK_S, DEADLINE_S, is_kept=False
        )
    kind = kinds[0]
    return clients.Request(
        identity,
        vm,
        kind.method,
        path,
        kind.work_s,
        kind.deadline_s,
        is_kept=False,
        route_limit_s=kind.route_limit_s,
    )


async def _send(world: worlds.World, request: clients.Request) -> None:
    """Send a request on a connection of its own."""
    host, _, port = world.vms[request.vm].addresses['outbound'].rpartition(':')
    request.sent_at = request.ended_at = time.time()
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        request.error = f'not connected: {type(error).__name__}'
        request.ended_at = time.time()
        return
    await clients.exchange(request, reader, writer)
    writer.transport.abort()


async def watch(world: worlds.World, until: asyncio.Event) -> None:
    """Kill each node that uses more memory than it may; start it again."""
    async with asyncio.TaskGroup() as restarts:
        is_last = False
        while not is_last:
            is_last = until.is_set()
            for name, vm in world.vms.items():
                if _look(world, name, vm.node) and not is_last:
                    restarts.create_task(_restart(world, name))
            await asyncio.sleep(LOOK_S)


def peak_kb(pid: int) -> int:
    """Return the most memory that a process has used, 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    found = re.search(r'VmHWM:\s+(\d+) kB', status)
    return int(found[1]) if found else 0


def _look(world: worlds.World, name: str, node: fleet.Process) -> bool:
    """Kill a node above its memory; return whether it was."""
    if node in world.killed:
        return False
    used_kb = peak_kb(node.popen.pid)
    world.peaks_kb[name] = max(used_kb, world.peaks_kb.get(name, 0))
    if used_kb <= world.memory_mb * KB_IN_MB:
        return False
    world.killed.add(node)
    world.excesses.append((name, used_kb))
    node.signal(signal.SIGKILL)
    return True


async def _restart(world: worlds.World, name: str) -> None:
    """Start a node that was killed, unless its stop does so."""
    began, node = time.time(), world.vms[name].node
    is_held, is_stopping = name in world.held, name in world.stopping
    world.held.add(name)
    await node.wait(END_S)
    world.note('kill', name, began, 'above its memory')
    if not is_stopping:
        world.start_node(name)
    if not is_held:
        world.held.discard(name)
