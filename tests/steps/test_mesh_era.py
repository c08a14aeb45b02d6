"""Steps for a store that returns from an older copy, with real processes."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
import typing

import behave

from pomelobend.platform import kinds
from soak import proxy as proxies
from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps

ALL_S = 3600.0
"""Age of a copy that is older than any object of a test."""

POLL_S = 0.1

FOLLOWED_KINDS = 4
"""Number of kinds that a relay lists."""

ERA = 'pomelobend_store_era'


@behave.given('a mesh in which one domain reaches the store through a proxy')
def given_proxy(context: typing.Any) -> None:
    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet)
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', mesh.configuration(2))
        context.proxy = proxies.Proxy(context.mesh.store_address)
        (port,) = fleet.free_ports(1)
        context.proxy_address = f'127.0.0.1:{port}'
        await context.proxy.listen(context.proxy_address)
        for domain, number in itertools.product(('vik', 'hella'), (1, 2)):
            _add_vm(context, f'{domain}-t{number}', domain, 'tonabok')
        for domain in ('vik', 'hella'):
            _add_vm(context, f'{domain}-s', domain, 'steypudagar')
        await context.mesh.wait_until_serving(
            context.mesh.vms, path_steps.LOOKUP, path_steps.START_S
        )
        await asyncio.sleep(2.0)

    context.run(start())


def _add_vm(context: typing.Any, name: str, domain: str, service: str) -> None:
    """Start a VM whose node has the proxy of its domain, if it has one."""
    store_address = context.mesh.store_address
    if domain == 'hella':
        context.mesh.store_address = context.proxy_address
    context.mesh.add_vm(name, domain, service)
    context.mesh.store_address = store_address


async def _details(context: typing.Any) -> collections.Counter:
    return collections.Counter(
        await context.fleet.get_json(
            context.mesh.store_address, '/stand-in/details'
        )
    )


async def _restore(context: typing.Any, age_s: float) -> None:
    context.details = await _details(context)
    await context.mesh.restore_store(age_s)


@behave.when('the store is restored from a copy without anything')
def when_empty(context: typing.Any) -> None:
    context.run(_restore(context, ALL_S))


@behave.when('the store is restored from a copy of before the configuration')
def when_before_configuration(context: typing.Any) -> None:
    age_s = time.monotonic() - context.accepted_at + 0.5
    context.run(_restore(context, age_s))


@behave.when('operators write their objects again')
def when_again(context: typing.Any) -> None:
    context.run(context.mesh.write_again())


@behave.then('within {seconds:d} s the store holds the records of all nodes')
def then_records(context: typing.Any, seconds: int) -> None:
    """Guard against records that are missing for good."""

    async def act() -> None:
        names: set[str] = set()

        async def are_held() -> bool:
            found = await context.fleet.get_json(
                context.mesh.store_address, '/stand-in/names'
            )
            names.clear()
            names.update(found.get(kinds.NODES, ()))
            return names == set(context.mesh.vms)

        try:
            await context.fleet.wait_until(are_held, seconds)
        except TimeoutError:
            missing = sorted(set(context.mesh.vms) - names)
            raise AssertionError(f'no record of {missing}') from None

    context.run(act())


@behave.then('each record was written once, and few nodes listed all objects')
def then_once(context: typing.Any) -> None:
    """Guard against writes in a loop and against listings in lockstep."""

    async def act() -> None:
        await asyncio.sleep(2.0)
        new = await _details(context) - context.details
        assert new[f'write {kinds.NODES}'] == len(context.mesh.vms), new
        relays = len({vm.domain for vm in context.mesh.vms.values()})
        assert new['list'] <= FOLLOWED_KINDS * relays, new

    context.run(act())


@behave.when('a node is killed and restarted')
def when_restarted(context: typing.Any) -> None:
    async def act() -> None:
        process = context.mesh.vms['vik-t1'].node
        process.signal(9)
        await process.wait(5)
        context.mesh.start_node('vik-t1')
        await context.mesh.wait_until_serving(
            ['vik-t1'], path_steps.LOOKUP, path_steps.START_S
        )

    context.run(act())


@behave.then('it serves the new route again within {seconds:d} s')
def then_served_again(context: typing.Any, seconds: int) -> None:
    """Guard against a new process that stays at the older configuration."""
    context.run(
        context.mesh.wait_until_serving(['vik-t1'], '/more/a', seconds)
    )


@behave.then('for {seconds:d} s all nodes serve the new route')
def then_kept(context: typing.Any, seconds: int) -> None:
    """Guard against an older configuration that takes effect."""

    async def act() -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for name in context.mesh.vms:
                status, _, _ = await context.mesh.call(name, '/more/a', 'kept')
                assert status == 200, (name, status)
            await asyncio.sleep(POLL_S)

    context.run(act())


@behave.when('the next configuration with a further route is accepted')
def when_next(context: typing.Any) -> None:
    document = mesh.configuration(12, more='tonabok', further='tonabok')
    context.run(context.mesh.write('config', 'main', document, is_new=False))


@behave.then('every node serves the further route within {seconds:d} s')
def then_further(context: typing.Any, seconds: int) -> None:
    """Guard against a configuration that never arrives."""
    context.run(
        context.mesh.wait_until_serving(
            context.mesh.vms, '/further/a', seconds
        )
    )


@behave.when("{count:d} objects are written that nodes don't use")
def when_unused(context: typing.Any, count: int) -> None:
    async def act() -> None:
        context.unused_at = time.monotonic()
        for number in range(count):
            await context.mesh.write('unused', f'n-{number}', {})
        # The watches of the relays learn of the later revision.
        spec = mesh.configuration(3, more='tonabok')
        await context.mesh.write('config', 'main', spec, is_new=False)
        await asyncio.sleep(1.5)

    context.run(act())


@behave.when('the store is restored from a copy of before them')
def when_before_unused(context: typing.Any) -> None:
    context.run(_restore(context, time.monotonic() - context.unused_at))


@behave.when('the store is restored from a copy of before the end')
def when_before_end(context: typing.Any) -> None:
    context.run(_restore(context, 2.5))


@behave.when('the store is restored from a copy of before the order')
def when_before_order(context: typing.Any) -> None:
    context.run(_restore(context, 8.0))


async def _rollout_state(context: typing.Any) -> str | None:
    found = await context.fleet.get_json(
        context.mesh.store_address, '/objects/rollouts/tonabok'
    )
    return ((found or {}).get('status') or {}).get('state')


@behave.then('within {seconds:d} s the store holds the state {state} again')
def then_state(context: typing.Any, seconds: int, state: str) -> None:
    """Guard against a rollout that begins anew or never ends."""

    async def act() -> None:
        async def is_held() -> bool:
            return await _rollout_state(context) == state

        await context.fleet.wait_until(is_held, seconds)

    context.run(act())


@behave.when('a bad version is being rolled out and the store loses the order')
def when_running(context: typing.Any) -> None:
    async def act() -> None:
        for domain in ('vik', 'hella'):
            context.mesh.add_vm(f'{domain}-new', domain, 'tonabok', 'v2')
        names = ['vik-new', 'hella-new']
        await context.mesh.wait_until_serving(
            names, path_steps.LOOKUP, path_steps.START_S
        )
        for name in names:
            await path_steps.until_target(context, name)
            address = context.mesh.vms[name].addresses['app']
            await context.mesh.post_control(address, 'change', is_failing=True)
        spec = {
            'service': 'tonabok',
            'target_version': 'v2',
            'duration_s': 8,
        }
        await context.mesh.write('rollouts', 'tonabok', spec)
        load = asyncio.create_task(path_steps.lookups(context, 7.8))
        await asyncio.sleep(1.0)
        await _restore(context, 1.5)
        await asyncio.sleep(1.0)
        await context.mesh.write_again()
        await load
        context.rollout = await context.fleet.get_json(
            context.mesh.store_address, '/objects/rollouts/tonabok'
        )

    context.run(act())


@behave.when('the store is restored from a copy of before the withdrawal')
def when_before_withdrawal(context: typing.Any) -> None:
    context.run(_restore(context, 20.0))


@behave.when(
    'that domain is cut off, the store loses all, and operators write again'
)
def when_cut_off(context: typing.Any) -> None:
    async def act() -> None:
        context.proxy.close()
        await asyncio.sleep(1.0)
        await _restore(context, ALL_S)
        await context.mesh.write_again()
        await asyncio.sleep(3.0)
        await context.proxy.listen(context.proxy_address)

    context.run(act())


@behave.then('a configuration with one more route is accepted')
def then_accepted(context: typing.Any) -> None:
    path_steps.when_accepted(context)


@behave.given('the store sends no era')
def given_no_era(context: typing.Any) -> None:
    context.run(
        context.mesh.post_control(
            context.mesh.store_address, 'faults', hides_era=True
        )
    )


@behave.then('all nodes know of the era {era:d}')
def then_era(context: typing.Any, era: int) -> None:
    """Guard against nodes that never learn of the era."""

    async def are_told() -> bool:
        found = [
            (await path_steps.read_metrics(context, name))[ERA]
            for name in context.mesh.vms
        ]
        return found == [era] * len(found)

    context.run(context.fleet.wait_until(are_told, 3.0))
