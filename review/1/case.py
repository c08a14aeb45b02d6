"""A version that is bad under load is completed."""

from __future__ import annotations

import asyncio

from review.lib import backend as backends
from review.lib import deployment as deployments

REQUESTS_PER_S = 70
DURATION_S = 16
BAD_SHARE = 0.15
BAD_ABOVE_PER_S = 12
AFTER_S = 14.0
BAD_ANSWERS = 50
ROLLBACK_S = deployments.BOUNDS['rollback_ms'] / 1000
ZONES = ('burgos', 'bilbao', 'oviedo')


async def play(mesh: deployments.Deployment) -> bool:
    """Order a version that fails when it gets its part of the load."""
    for zone in ZONES:
        mesh.add(f'caller-{zone}', zone, 'innborgun')
        mesh.add(f'old-{zone}', zone, 'tonabok')
    services = ('innborgun', 'tonabok')
    rules = [deployments.route('tuning', 'idempotent', 'tonabok')]
    await mesh.start(deployments.configuration(2, rules, services))
    await mesh.wait_ready({'tonabok': '/tuning/warm'})
    loading = asyncio.create_task(load(mesh))
    await asyncio.sleep(1)
    mesh.note('ordered', version='v2')
    order = {'service': 'tonabok', 'target_version': 'v2'}
    mesh.store.put('rollouts', 'tonabok', {**order, 'duration_s': DURATION_S})
    ordered_at = mesh.now
    for zone in ZONES:
        node = mesh.add(f'new-{zone}', zone, 'tonabok', version='v2')
        node.backend.bad_share = BAD_SHARE if mesh.is_troubled else 0.0
        node.backend.bad_above_per_s = BAD_ABOVE_PER_S
        mesh.start_node(node)
        await node.backend.start()
    state = await final_state(mesh, ordered_at + DURATION_S + 2)
    mesh.note('final state', state=state)
    # The platform acts on the state, as the operator's API says.
    if state == 'completed':
        for zone in ZONES:
            await backends.stop(mesh.nodes[f'old-{zone}'].backend)
    elif state == 'rolled_back':
        await asyncio.sleep(3)
        for zone in ZONES:
            await mesh.nodes[f'new-{zone}'].backend.drain()
    await asyncio.sleep(AFTER_S)
    loading.cancel()
    await asyncio.wait((loading,))
    return judge(mesh)


async def load(mesh: deployments.Deployment) -> None:
    """Send requests at a steady rate, until cancelled."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            group.create_task(
                mesh.request(
                    mesh.nodes[f'caller-{ZONES[number % 3]}'],
                    'GET',
                    f'/tuning/{number}',
                    headers={'x-work-ms': '100'},
                    deadline_ms=1200,
                )
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def final_state(mesh: deployments.Deployment, end: float) -> str:
    """Return the state of the rollout once it is final."""
    while mesh.now < end:
        state = mesh.store.status('rollouts', 'tonabok').get('state', '')
        if state in ('completed', 'rolled_back'):
            return state
        await asyncio.sleep(0.02)
    return ''


def judge(mesh: deployments.Deployment) -> bool:
    """Return whether the rule was broken, and note the figures."""
    new = {
        node.backend.id
        for node in mesh.nodes.values()
        if node.backend.version == 'v2'
    }
    bad = [e['at'] for e in mesh.noted('runs badly') if e['id'] in new]
    late = 0
    if len(bad) >= BAD_ANSWERS:
        end = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        sent = {
            entry['attempt']
            for entry in mesh.noted('client sends')
            if entry['at'] > end
        }
        late = sum(
            entry['attempt'] in sent
            for entry in mesh.noted('reaches backend', version='v2')
        )
    mesh.note('judged', bad_answers=len(bad), sent_later_than_the_bound=late)
    return late > 0


if __name__ == '__main__':
    deployments.main(__file__, play)
