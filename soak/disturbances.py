"""What is done to the processes of a soak.

Each function that takes only the world does one thing once; a soak repeats
it until it ends. All draw from the random numbers of the world.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
import typing

import aiohttp

if typing.TYPE_CHECKING:
    from soak import world as worlds

GRACE_S = 6.0
START_S = 60.0
DRAIN_S = 12.0
WRITE_S = 6.0
APPLIED_S = 2.0
"""Time after which a configuration is in force everywhere."""

AT_ONCE = 4
GAP_S = 1.0
"""How many nodes are stopped at a time if all are in turn, and the time from
one to the next."""

LOOPS = 6
LOOP = 'import time\nend = time.time() + {}\nwhile time.time() < end: pass'


@contextlib.contextmanager
def hold(world: worlds.World) -> typing.Iterator[str]:
    """Hold a VM for a disturbance; yield '' if none is free."""
    name = world.pick()
    try:
        yield name
    finally:
        world.held.discard(name)


async def stop_and_start(
    world: worlds.World, name: str, pause_s: float = 0.5
) -> None:
    """Stop a node as the platform does, and start it after up to a pause."""
    began, node = time.time(), world.vms[name].node
    node.signal(signal.SIGTERM)
    world.starting.discard(name)
    world.stopping.add(name)
    try:
        code = await node.wait(GRACE_S)
    except TimeoutError:
        node.signal(signal.SIGKILL)
        code = await node.wait(5)
    world.stopping.discard(name)
    world.exits.append((name, code))
    world.note('term', name, began, f'exit {code}')
    await world.sleep(0, pause_s)
    world.start_node(name)


async def freeze(
    world: worlds.World, name: str, kind: str, after_s: float, seconds: float
) -> None:
    """Give a node no processor time for some seconds."""
    await asyncio.sleep(after_s)
    began, node = time.time(), world.vms[name].node
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.signal(signal.SIGCONT)
    world.note(kind, name, began)


async def wait_ready(world: worlds.World, name: str) -> None:
    """Wait until a node is ready, and a second more."""
    began = time.time()
    await world.processes.wait_until(lambda: world.is_ready(name), START_S)
    world.starting.discard(name)
    world.note('start', name, began)
    await asyncio.sleep(1.0)


async def stop(world: worlds.World) -> None:
    """Stop a node, and start it again."""
    with hold(world) as name:
        if name:
            await stop_and_start(world, name)
            await wait_ready(world, name)


async def stop_in_turn(world: worlds.World) -> None:
    """Stop all nodes in turn, and start each again at once."""
    places = asyncio.Semaphore(AT_ONCE)
    async with asyncio.TaskGroup() as stops:
        for name in world.vms:
            await places.acquire()
            while name in world.held or not world.may_take(name, 1):
                await asyncio.sleep(0.1)
            world.held.add(name)
            stops.create_task(_take_turn(world, name, places))
            await asyncio.sleep(GAP_S)


async def _take_turn(
    world: worlds.World, name: str, places: asyncio.Semaphore
) -> None:
    await stop_and_start(world, name, 0.0)
    await wait_ready(world, name)
    world.held.discard(name)
    places.release()


async def stop_early(world: worlds.World) -> None:
    """Stop a node, and once more while it starts or soon after."""
    with hold(world) as name:
        if name:
            await stop_and_start(world, name)
            began = time.time()
            await world.sleep(0.1, 2.0)
            await stop_and_start(world, name)
            world.note('early', name, began)
            await wait_ready(world, name)


async def stop_held_up(world: worlds.World) -> None:
    """Stop a node that is held up at SIGTERM, or when it closes."""
    with hold(world) as name:
        if not name:
            return
        rng = world.random
        after_s = rng.choice((0.0, rng.uniform(2.2, 2.8)))
        seconds = rng.uniform(0.1, 0.8)
        task = asyncio.create_task(
            freeze(world, name, 'held-up', after_s, seconds)
        )
        await world.sleep(0.05, 0.3)
        await stop_and_start(world, name)
        await task
        await wait_ready(world, name)


async def pause(world: worlds.World) -> None:
    """Hold up a node that does not stop."""
    seconds = world.random.uniform(0.3, 1.5)
    with hold(world) as name:
        if name:
            await freeze(world, name, 'pause', 0.2, seconds)
    await world.sleep(0.2, 2.0)


async def busy(world: worlds.World) -> None:
    """Run processes that take processor time."""
    began = time.time()
    code = LOOP.format(world.random.uniform(0.5, 2.5))
    running = [
        subprocess.Popen([sys.executable, '-c', code]) for _ in range(LOOPS)
    ]
    for process in running:
        await asyncio.to_thread(process.wait)
    world.note('busy', '*', began)
    await world.sleep(0.5, 2.0)


async def hup(world: worlds.World) -> None:
    """Send SIGHUP to a node that is not being disturbed."""
    await world.sleep(0.2, 1.0)
    free = sorted(set(world.vms) - world.held)
    if not free:
        return
    name = world.random.choice(free)
    world.vms[name].node.signal(signal.SIGHUP)
    world.note('hup', name, time.time())


async def hup_stopping(world: worlds.World) -> None:
    """Send SIGHUP to the nodes that stop."""
    await world.sleep(0.0, 0.1)
    for name in sorted(world.stopping):
        world.vms[name].node.signal(signal.SIGHUP)
        world.note('hup', name, time.time())


async def _configure(world: worlds.World, **limits: int) -> None:
    began, document = time.time(), world.next_document(**limits)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(WRITE_S):
            await world.write('config', 'main', document, is_new=False)
        loop = asyncio.get_running_loop()
        loop.call_later(APPLIED_S, world.note_applied, world.version)
    world.note('config', '*', began, str(limits or ''))


async def configure(world: worlds.World) -> None:
    """Send up to four configurations within a second."""
    await world.sleep(1.0, 3.0)
    for _ in range(world.random.randint(1, 4)):
        await _configure(world)
        await world.sleep(0.05, 0.25)


async def limit(world: worlds.World) -> None:
    """Change the idle time of connections."""
    await world.sleep(1.0, 3.0)
    idle_ms = world.random.choice((1000, 1500, 2500, 4000))
    await _configure(world, idle_timeout_ms=idle_ms)


async def reset(world: worlds.World) -> None:
    """Reset the connections to a node, most often one that stops."""
    await world.sleep(0.5, 4.0)
    name = world.random.choice(sorted(world.held or world.vms))
    world.proxies[name].reset()
    world.note('reset', name, time.time())


async def cut(world: worlds.World) -> None:
    """Hold back the bytes from or to a node for a moment."""
    await world.sleep(0.5, 4.0)
    name = world.random.choice(sorted(world.held or world.vms))
    began, direction = time.time(), world.random.randrange(2)
    await world.proxies[name].cut(direction, world.random.uniform(0.2, 1.5))
    world.note('cut', name, began, f'direction {direction}')


async def replace(world: worlds.World) -> None:
    """Replace a target that has drained at its address by a new one."""
    await world.sleep(0.0, 2.0)
    name = world.random.choice(sorted(world.vms))
    if name in world.replaced or not world.may_take(name):
        return
    world.replaced.add(name)
    began = time.time()
    address = world.vms[name].addresses['app']
    await world.post_control(address, 'change', state='draining')
    await world.sleep(2.2, 3.0)
    while (await world.report(name) or {}).get('running'):
        await asyncio.sleep(0.1)
        if time.time() > began + DRAIN_S:
            break
    killed = time.time()
    await world.end_target(name)
    world.note('replace', name, began, f'killed {killed:.2f}')
    await world.sleep(0.0, 1.0)
    world.start_target(name)
    await world.processes.wait_until(lambda: world.report(name), START_S)
    await asyncio.sleep(2.0)
    world.replaced.discard(name)


async def lose_store(world: worlds.World) -> None:
    """Take the store away for some seconds."""
    await world.sleep(1.0, 4.0)
    began = time.time()
    address = world.store_address
    await world.post_control(address, 'faults', is_away=True)
    await world.sleep(1.0, 4.0)
    await world.post_control(address, 'faults', is_away=False)
    world.note('store', '*', began)
