"""Disturbances beside stops: of targets, the store, other nodes, callers."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import typing

from pomelobend.platform import kinds
from soak import callers
from soak import disturbances as acts

if typing.TYPE_CHECKING:
    from soak import world as worlds

CROWD = 150
CROWD_S = 0.6
REUSE_S = 2.0
SLOWER = (4.0, 12.0)
SLOW_S = (2.0, 5.0)
"""Factor of the processing times of a target that is slow, and how long."""

ODD_S = (1.0, 3.0)
"""How long a target answers oddly."""

COPY_S = (2.0, 8.0)
"""Age of the copy from which the store is restored."""

REWRITE_S = (0.2, 3.0)
"""Time after which the operator writes again what was lost."""

ODD = ('lost', 'cut', 'bytes', 'extra', 'silent')


async def crash(world: worlds.World) -> None:
    """Let a target crash; it is back under a new id after some seconds."""
    await world.sleep(0.5, 3.0)
    name = pick_target(world)
    if not name:
        return
    vm, began = world.vms[name], time.time()
    url = f'http://{vm.addresses["app"]}/stand-in/crash'
    async with world.processes.http.post(url) as response:
        world.reports.append((name, await response.json()))
    await vm.target.wait(5)
    await world.sleep(0.3, 2.0)
    await _start_target(world, name)
    world.note('crash', name, began)
    world.replaced.discard(name)


async def answer_oddly(world: worlds.World) -> None:
    """Let a target lose or spoil some answers, or stay silent."""
    await world.sleep(0.5, 2.0)
    name = pick_target(world)
    if not name:
        return
    began = time.time()
    odd = {world.random.choice(ODD): world.random.randint(1, 6)}
    await change_for(world, name, ODD_S, {'odd': odd}, {'odd': {}})
    world.note('odd', name, began, str(odd))
    world.replaced.discard(name)


async def slow(world: worlds.World) -> None:
    """Let a target take several times as long, which excuses no node."""
    await world.sleep(0.2, 1.5)
    name = pick_target(world)
    if not name:
        return
    began = time.time()
    pace = world.deployment.targets.pace(list(world.vms).index(name))
    factor = world.random.uniform(*SLOWER)
    await change_for(
        world, name, SLOW_S, {'pace': pace * factor}, {'pace': pace}
    )
    world.note('slow', name, began, f'factor {factor:.1f}')
    world.replaced.discard(name)


async def change_for(
    world: worlds.World,
    name: str,
    range_s: tuple[float, float],
    changed: dict[str, typing.Any],
    restored: dict[str, typing.Any],
) -> None:
    """Change a target for a random time in s."""
    address = world.vms[name].addresses['app']
    await world.post_control(address, 'change', **changed)
    await world.sleep(*range_s)
    await world.post_control(address, 'change', **restored)


async def vex_store(world: worlds.World) -> None:
    """Let the store be slow, silent, away, forgetful, or refuse some."""
    await world.sleep(0.5, 3.0)
    began, seconds = time.time(), world.random.uniform(0.5, 4.0)
    kinds = ('delay_s', 'is_silent', 'is_away', 'lost', 'refuse', 'cut')
    kind = world.random.choice(kinds)
    proxy = world.proxies['store']
    if kind == 'refuse':
        proxy.close()
        await asyncio.sleep(seconds)
        await proxy.listen(world.side_address)
    elif kind == 'cut':
        await asyncio.gather(proxy.cut(0, seconds), proxy.cut(1, seconds))
    elif kind == 'lost':
        await world.post_control(
            world.store_address, 'faults', lost_answers=3, late_writes=3
        )
        await world.post_control(world.store_address, 'drop-history')
    else:
        on, off = (0.7, 0.0) if kind == 'delay_s' else (True, False)
        address = world.store_address
        await world.post_control(address, 'faults', **{kind: on})
        await asyncio.sleep(seconds)
        await world.post_control(address, 'faults', **{kind: off})
    world.note('store', '*', began, kind)


async def restore_store(world: worlds.World) -> None:
    """Restore an older copy of the store; wait for the nodes' own writes.

    Raises
    ------
    TimeoutError
        The record of a node that was left alone stays lost.
    """
    await world.sleep(4.0, 9.0)
    began = time.time()
    age_s = world.random.uniform(*COPY_S)
    await world.restore_store(age_s)
    await world.sleep(*REWRITE_S)
    await world.write_again()
    world.note('store', '*', began, f'restored from {age_s:.1f} s before')

    async def are_back() -> bool:
        names = await world.processes.get_json(
            world.store_address, '/stand-in/names'
        )
        alone = set(world.vms) - world.held
        return {world.vms[name].name for name in alone} <= set(
            (names or {}).get(kinds.NODES, ())
        )

    await world.processes.wait_until(are_back, acts.START_S)


async def kill(world: worlds.World) -> None:
    """Kill a node, and start it again after up to two seconds."""
    with acts.hold(world) as name:
        if name:
            began, node = time.time(), world.vms[name].node
            node.signal(signal.SIGKILL)
            await node.wait(5)
            await world.sleep(0.0, 2.0)
            world.note('kill', name, began)
            world.start_node(name)
            await acts.wait_ready(world, name)
    await world.sleep(1.0, 3.0)


async def freeze(world: worlds.World) -> None:
    """Freeze the node of a VM, sometimes its target too."""
    with acts.hold(world) as name:
        if name:
            seconds = world.random.uniform(0.3, 4.0)
            target = world.vms[name].target
            is_whole = world.random.random() < 0.5
            if is_whole:
                target.signal(signal.SIGSTOP)
            await acts.freeze(world, name, 'pause', 0.0, seconds)
            target.signal(signal.SIGCONT)
            if is_whole:
                world.note('odd', name, time.time() - seconds, 'frozen')
    await world.sleep(0.2, 2.0)


async def stop_all(world: worlds.World) -> None:
    """Stop all nodes within a second, sometimes again at their start."""
    await world.sleep(1.0, 4.0)
    names = sorted(set(world.vms) - world.held)
    world.held |= set(names)
    again = world.random.random() < 0.5
    await asyncio.gather(*(_stop_one(world, name, again) for name in names))
    world.held -= set(names)
    await world.sleep(3.0, 6.0)


async def _stop_one(world: worlds.World, name: str, again: bool) -> None:
    await world.sleep(0.0, 1.0)
    await acts.stop_and_start(world, name)
    if again:
        await world.sleep(0.0, 2.0)
        await acts.stop_and_start(world, name)
    await acts.wait_ready(world, name)


async def stop_crowded(world: worlds.World) -> None:
    """Stop a node while many clients connect to it."""
    with acts.hold(world) as name:
        if name:
            crowd = asyncio.create_task(_crowd(world, name))
            await world.sleep(0.0, CROWD_S)
            await acts.stop_and_start(world, name)
            await crowd
            await acts.wait_ready(world, name)


async def _crowd(world: worlds.World, name: str) -> None:
    kinds = [kind for kind in world.deployment.kinds if kind.share]
    began, domain = time.time(), world.vms[name].domain

    async def come(number: int) -> None:
        rng = random.Random(f'{began}{number}')
        caller = callers.Caller(world, domain, number, rng, {})
        caller.prefix = f'{name}-crowd-{began:.0f}-'
        await asyncio.sleep(rng.uniform(0.0, CROWD_S))
        await caller.ask(rng.choice(kinds), name)
        world.crowds += caller.requests

    await asyncio.gather(*(come(number) for number in range(CROWD)))
    world.note('crowd', name, began)


async def swap(world: worlds.World) -> None:
    """Take two VMs away; new ones of each other's service get their
    addresses."""
    names = [name for name in (world.pick(), world.pick()) if name]
    vms = [world.vms[name] for name in names]
    if len(names) == 2 and vms[0].service != vms[1].service:
        began = time.time()
        await asyncio.gather(*(_take_away(world, name) for name in names))
        await asyncio.sleep(REUSE_S)
        vms[0].service, vms[1].service = vms[1].service, vms[0].service
        for name, vm in zip(names, vms, strict=True):
            vm.name += 'x'
            world.start_node(name)
            await _start_target(world, name)
            world.note('swap', name, began)
            world.replaced.discard(name)
            await acts.wait_ready(world, name)
    world.held -= set(names)
    await world.sleep(0.5, 2.0)


async def _take_away(world: worlds.World, name: str) -> None:
    """Drain and end a target, then its node."""
    world.replaced.add(name)
    vm = world.vms[name]
    address = vm.addresses['app']
    await world.post_control(address, 'change', state='draining')
    await world.sleep(2.5, 4.0)
    while (await world.report(name) or {}).get('running'):
        await asyncio.sleep(0.1)
    await world.end_target(name)
    began = time.time()
    vm.node.signal(signal.SIGTERM)
    code = await vm.node.wait(acts.GRACE_S + 1)
    world.exits.append((name, code))
    world.note('term', name, began, f'exit {code}')


def pick_target(world: worlds.World) -> str:
    """Return a VM whose target is left alone and may be taken, or ''."""
    name = world.random.choice(sorted(world.vms))
    if name in world.replaced or not world.may_take(name):
        return ''
    world.replaced.add(name)
    return name


async def _start_target(world: worlds.World, name: str) -> None:
    world.start_target(name)
    await world.processes.wait_until(lambda: world.report(name), acts.START_S)
