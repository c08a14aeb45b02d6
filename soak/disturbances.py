"""What is done to the processes of a soak; each function is one series.

A function does one thing once, and is repeated after a pause until the soak
ends. The functions draw from the random numbers of the world.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
import typing

if typing.TYPE_CHECKING:
    from soak import world as worlds

GRACE_S = 6.0
BUSY_PROCESSES = 6
BUSY_CODE = (
    'import time\nend = time.time() + {}\nwhile time.time() < end: pass'
)


@contextlib.contextmanager
def hold(world: worlds.World) -> typing.Iterator[str]:
    """Hold a VM for a disturbance; yield '' if none is free."""
    name = world.pick()
    try:
        yield name
    finally:
        world.held.discard(name)


async def finish_stop(world: worlds.World, name: str, began: float) -> None:
    """Wait for the end of a node as the platform does, and start it again."""
    node = world.vms[name].node
    try:
        code = await node.wait(GRACE_S - (time.time() - began))
    except TimeoutError:
        node.signal(signal.SIGKILL)
        code = await node.wait(5)
    world.exits.append((name, code))
    world.note('term', name, began, f'exit {code}')
    await asyncio.sleep(world.random.uniform(0, 0.5))
    world.start_node(name)
    await asyncio.sleep(world.random.uniform(1.0, 2.0))


async def stop(world: worlds.World) -> None:
    """Stop a node, and start it again."""
    with hold(world) as name:
        if name:
            began = time.time()
            world.vms[name].node.signal(signal.SIGTERM)
            await finish_stop(world, name, began)


async def stop_late(world: worlds.World) -> None:
    """Stop a node that gets no processor time around the signal."""
    with hold(world) as name:
        if not name:
            return
        node = world.vms[name].node
        paused = time.time()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(world.random.uniform(0.05, 0.5))
        began = time.time()
        node.signal(signal.SIGTERM)
        await asyncio.sleep(world.random.uniform(0.05, 0.5))
        node.signal(signal.SIGCONT)
        world.note('held-up', name, paused)
        await finish_stop(world, name, began)


async def stop_stuttering(world: worlds.World) -> None:
    """Stop a node that gets no processor time at some moments of the stop."""
    with hold(world) as name:
        if not name:
            return
        began = time.time()
        node = world.vms[name].node
        node.signal(signal.SIGTERM)
        task = asyncio.create_task(finish_stop(world, name, began))
        await asyncio.sleep(world.random.uniform(2.2, 2.7))
        paused = time.time()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(world.random.uniform(0.1, 0.6))
        node.signal(signal.SIGCONT)
        world.note('held-up', name, paused)
        await task


async def hup(world: worlds.World) -> None:
    """Send SIGHUP to a node, whatever else is done to it."""
    await asyncio.sleep(world.random.uniform(0.2, 1.0))
    name = world.random.choice(sorted(set(world.vms) - world.held))
    world.vms[name].node.signal(signal.SIGHUP)
    world.note('hup', name, time.time())


async def configure(world: worlds.World) -> None:
    """Send up to four configurations within a second."""
    await asyncio.sleep(world.random.uniform(1.0, 3.0))
    for _ in range(world.random.randint(1, 4)):
        began = time.time()
        await world.write(
            'config', 'main', world.next_document(), is_new=False
        )
        world.note('config', '*', began)
        await asyncio.sleep(world.random.uniform(0.05, 0.25))


async def limit(world: worlds.World) -> None:
    """Change the idle time of connections."""
    await asyncio.sleep(world.random.uniform(1.0, 3.0))
    idle_ms = world.random.choice((1000, 1500, 2500, 4000))
    began = time.time()
    document = world.next_document(idle_timeout_ms=idle_ms)
    await world.write('config', 'main', document, is_new=False)
    world.note('config', '*', began, f'idle {idle_ms} ms')


async def pause(world: worlds.World) -> None:
    """Pause a node that does not stop."""
    await asyncio.sleep(world.random.uniform(0.2, 2.0))
    with hold(world) as name:
        if not name:
            return
        began = time.time()
        node = world.vms[name].node
        node.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(world.random.uniform(0.3, 1.5))
        finally:
            node.signal(signal.SIGCONT)
        world.note('pause', name, began)


async def busy(world: worlds.World) -> None:
    """Run processes that take processor time."""
    await asyncio.sleep(world.random.uniform(0.5, 2.0))
    began = time.time()
    code = BUSY_CODE.format(world.random.uniform(0.5, 2.5))
    running = [
        subprocess.Popen([sys.executable, '-c', code])
        for _ in range(BUSY_PROCESSES)
    ]
    for process in running:
        await asyncio.to_thread(process.wait)
    world.note('busy', '*', began)


async def reset(world: worlds.World) -> None:
    """Reset the connections to a node, most often one that stops."""
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    name = world.random.choice(sorted(world.held or world.vms))
    world.proxies[name].reset()
    world.note('reset', name, time.time())


async def cut(world: worlds.World) -> None:
    """Hold back the bytes from or to a node for a moment."""
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    name = world.random.choice(sorted(world.held or world.vms))
    began = time.time()
    direction = world.random.randrange(2)
    await world.proxies[name].cut(direction, world.random.uniform(0.2, 1.5))
    world.note('cut', name, began, f'direction {direction}')


async def replace(world: worlds.World) -> None:
    """Replace a target at its address by a new one.

    The old one drains for some seconds and ends when it runs nothing more.
    """
    await asyncio.sleep(world.random.uniform(0.0, 2.0))
    name = world.random.choice(sorted(world.vms))
    if f'target {name}' in world.held:
        return
    world.held.add(f'target {name}')
    try:
        await _drain(world, name)
    finally:
        world.held.discard(f'target {name}')


async def _drain(world: worlds.World, name: str) -> None:
    began = time.time()
    address = world.vms[name].addresses['app']
    await world.post_control(address, 'change', state='draining')
    await asyncio.sleep(world.random.uniform(2.2, 3.0))
    while (await world.report(name) or {}).get('running'):
        await asyncio.sleep(0.1)
        if time.time() > began + 12:
            break
    killed = time.time()
    await world.end_target(name)
    world.note('replace', name, began, f'killed {killed:.2f}')
    await asyncio.sleep(world.random.uniform(0.0, 1.0))
    world.start_target(name)
    await asyncio.sleep(2.0)


async def lose_store(world: worlds.World) -> None:
    """Take the store away for some seconds."""
    await asyncio.sleep(world.random.uniform(1.0, 4.0))
    began = time.time()
    await _set_store(world, is_away=True)
    await asyncio.sleep(world.random.uniform(1.0, 4.0))
    await _set_store(world, is_away=False)
    world.note('store', '*', began)


async def _set_store(world: worlds.World, **faults: typing.Any) -> None:
    await world.post_control(world.store_address, 'faults', **faults)
