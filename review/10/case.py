"""The relay of a zone is cut off from the store as a route changes."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import time
import typing

from review.loopback import deployment as deployments
from review.loopback import proxy as proxies

MACHINES = {
    'node-1': 'old',
    'node-2': 'new',
    'node-3': 'front',
    'node-4': 'front',
}
APPLY_S = 2.0
CUT_S = 5.5
ROUNDS = 2


async def run(deployment: deployments.Deployment) -> int:
    """Change a route while the relay is cut off, in rounds."""
    zones = os.environ.get('ZONES', 'east').split(',')
    deployment.configure(1, _routes('old'))
    cuts: dict[str, proxies.Proxy] = {}
    for number, (name, service) in enumerate(MACHINES.items()):
        cut = cuts[name] = proxies.Proxy(deployment.store.address)
        await cut.start()
        deployment.store_addresses[name] = cut.address
        await deployment.add(name, service, zones[number % len(zones)])
    for name in MACHINES:
        await deployment.wait_until_served(name, '/look/x')
    await asyncio.sleep(8.0)
    versions = itertools.count(2)
    late = []
    for number in range(ROUNDS):
        relays = await _find_relays(
            deployment, cuts, versions, len(set(zones))
        )
        deployment.note('nodes that follow the store', relays)
        relay = relays[0]
        if deployment.has_trouble:
            deployment.note('cut off from the store', relay)
            cuts[relay].open.clear()
        await asyncio.sleep(0.1)
        deployment.configure(next(versions), _routes('new'))
        changed_at = time.monotonic()
        late += await _ask(deployment, relay, changed_at, number)
        await asyncio.sleep(max(0, changed_at + CUT_S - time.monotonic()))
        cuts[relay].open.set()
        await asyncio.sleep(4.0)
    deployment.note('sent later than 2 s, run by the old service', len(late))
    deployment.note('the last of them after', max(late, default=0.0))
    return deployments.BROKEN if late else deployments.HELD


async def _find_relays(
    deployment: deployments.Deployment,
    cuts: dict[str, proxies.Proxy],
    versions: typing.Iterator[int],
    count: int,
) -> list[str]:
    """Return the nodes that follow the store, once they are as many as zones.

    Each change makes them watch anew.
    """
    for _ in range(5):
        for cut in cuts.values():
            cut.watches.clear()
        deployment.configure(next(versions), _routes('old'))
        await asyncio.sleep(3.5)
        found = [name for name in MACHINES if cuts[name].watches]
        if len(found) == count:
            return found
    raise deployments.NotRunError('not one relay for each zone')


async def _ask(
    deployment: deployments.Deployment,
    relay: str,
    changed_at: float,
    number: int,
) -> list[float]:
    """Return when requests were sent that the old service ran too late."""
    sent: dict[str, float] = {}
    tasks = set()
    while time.monotonic() < changed_at + CUT_S - 1.0:
        for name in MACHINES:
            if name == relay:
                continue
            identity = f'ask{number}-{len(sent)}'
            sent[identity] = time.monotonic() - changed_at
            call = deployment.call(name, 'GET', '/look/x', identity)
            tasks.add(asyncio.create_task(call))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    old = deployment.backends['node-1']
    return [
        round(after_s, 2)
        for identity, after_s in sent.items()
        if after_s > APPLY_S and old.runs[identity]
    ]


def _routes(service: str) -> list[dict]:
    """Return the routes, of which one changes its service."""
    return [
        deployments.route('look', 'idempotent', service),
        deployments.route('old', 'idempotent', 'old'),
        deployments.route('new', 'idempotent', 'new'),
    ]


if __name__ == '__main__':
    deployments.run_case(run, str(pathlib.Path(__file__).parent))
