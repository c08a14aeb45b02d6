"""Steps of failure domains that are cut off and wires that fall silent."""

from __future__ import annotations

import asyncio
import json
import typing

import behave

from pomelobend import config
from standins import fleet as fleets
from tests.steps import fleet
from tests.steps import test_distribution_faults as faults

NODES = (
    ('near-1', 'near', 'tonabok'),
    ('far-1', 'far', 'tonabok'),
    ('far-2', 'far', 'innborgun'),
)

SETTLE_S = 3.0
"""Time in which a change would come to a VM that is not really cut off."""


@behave.given('two failure domains on wires')
def given_wires(context: typing.Any) -> None:
    fleet.given_platform(context)
    near_platform = context.fleet.platform_address
    wires: list[list] = []
    (control, far_platform) = fleets.free_ports(2)
    host, port = config.split_address(near_platform)
    wires.append([far_platform, host, port])
    for name, domain, _ in NODES:
        is_far = domain == 'far'
        context.fleet.add_node(
            name,
            domain,
            **{
                **faults.QUICK,
                'target': {'slow_start': 0},
                'platform': {
                    **faults.QUICK['platform'],
                    'address': (
                        f'127.0.0.1:{far_platform}'
                        if is_far
                        else near_platform
                    ),
                },
            },
        )
        wires.append(lay_wire(context.fleet.nodes[name]))
    context.control = f'127.0.0.1:{control}'
    context.fleet.start(
        'wire',
        '-m',
        'standins.wire',
        '--port',
        str(control),
        '--groups',
        json.dumps({'far': wires}),
    )
    context.targets = 0
    for name, _, service in NODES:
        context.fleet.start_node(name)
        if service:
            fleet.given_target(context, service, name)
    context.dead = set()
    context.seen = {name: [] for name, *_ in NODES}
    context.run(fleet.until_alive(context, [name for name, *_ in NODES]))
    fleet.given_configuration(context)
    fleet.given_all_known(context)


def lay_wire(node: fleets.NodePorts) -> list:
    """Have other nodes reach a node by a wire."""
    (port,) = fleets.free_ports(1)
    node.settings['listen']['advertised'] = f'127.0.0.1:{port}'
    host, target = config.split_address(node.peers)
    return [port, host, target]


async def switch(context: typing.Any, mode: str) -> None:
    """Switch the wires between all VMs and from far to the platform."""
    async with context.fleet.http.post(
        f'http://{context.control}/switch',
        json={'group': 'far', 'mode': mode},
    ) as response:
        assert response.status == 200


@behave.when('every VM is cut off from the others and far from the platform')
def when_cut(context: typing.Any) -> None:
    context.run(switch(context, 'cut'))


@behave.when('the wires pass again')
def when_pass(context: typing.Any) -> None:
    context.run(switch(context, 'pass'))


@behave.when('every connection of far falls silent for good')
def when_silent(context: typing.Any) -> None:
    context.run(switch(context, 'silent'))


@behave.when('a configuration is accepted in near')
def when_accepted(context: typing.Any) -> None:
    context.before = context.number
    context.run(faults.accept(context, 'near-1'))


@behave.then('calls to far-1 and into near are answered by their own targets')
def then_own(context: typing.Any) -> None:
    async def send() -> None:
        for name in ('near-1', 'far-1'):
            domain = context.fleet.nodes[name].domain
            own = context.fleet.nodes[f'{domain}-1'].target_address
            for index in range(5):
                status, _, body = await fleet.call(
                    context, name, 'GET', f'/tonabok/{index}'
                )
                assert status == 200, (name, status, body)
                life = json.loads(body)['life']
                report = await context.fleet.get_json(own, '/stand-in/report')
                assert report['life'] == life, (name, body)

    context.run(send())


@behave.then('far has the old configuration and near the new one')
def then_apart(context: typing.Any) -> None:
    async def look() -> None:
        await asyncio.sleep(SETTLE_S)
        for name, domain, _ in NODES:
            wanted = context.before if domain == 'far' else context.number
            state = await context.fleet.status(name)
            context.seen[name].append(state['number'])
            assert state['number'] == wanted, (name, state['number'])

    names = ['near-1']
    context.run(
        context.fleet.until_in_force(context.number, names, fleet.IN_FORCE_S)
    )
    context.run(look())


@behave.then('every node knows all targets again')
def then_all_targets(context: typing.Any) -> None:
    fleet.given_all_known(context)


@behave.then('calls from near to the service of far are answered')
def then_near_to_far(context: typing.Any) -> None:
    async def send() -> None:
        for index in range(5):
            status, _, body = await fleet.call(
                context, 'near-1', 'POST', f'/innborgun/{index}'
            )
            assert status == 200, (status, body)

    context.run(send())


@behave.when('a deposit runs in far while its connection falls silent')
def when_deposit_silent(context: typing.Any) -> None:
    async def act() -> None:
        first = asyncio.create_task(
            fleet.call(
                context,
                'near-1',
                'POST',
                '/innborgun/deposit',
                headers={'x-work-s': '2', 'x-call': 'silent'},
            )
        )
        await asyncio.sleep(0.5)
        await switch(context, 'silent')
        began = asyncio.get_running_loop().time()
        context.answer = await first
        context.took = asyncio.get_running_loop().time() - began
        address = context.fleet.nodes['far-2'].target_address
        report = await context.fleet.get_json(address, '/stand-in/report')
        context.runs = report['runs'].get('silent', 0)

    context.run(act())


@behave.then(
    'the deposit ends as unknown before its deadline and has run once'
)
def then_deposit_unknown(context: typing.Any) -> None:
    status, headers, body = context.answer
    assert headers['pomelobend-run'] == 'unknown', (status, body)
    assert headers['pomelobend-refused'] == 'peer-lost', (status, body)
    assert context.runs == 1, context.runs


@behave.when('{count:d} configurations are swapped while calls keep coming')
def when_swapped(context: typing.Any, count: int) -> None:
    context.answers = []

    async def send(node: str, done: asyncio.Event) -> None:
        while not done.is_set():
            context.answers.append(
                await fleet.call(context, node, 'GET', '/tonabok/bells')
            )

    async def act() -> None:
        done = asyncio.Event()
        tasks = [
            asyncio.create_task(send(node, done))
            for node in ('n1', 'n2', 'n3')
        ]
        for _ in range(count):
            await faults.accept(context, 'n1')
            await asyncio.sleep(0.2)
        done.set()
        await asyncio.gather(*tasks)

    context.run(act())


@behave.then('every one of those calls was answered or refused as not run')
def then_settled(context: typing.Any) -> None:
    assert len(context.answers) > 50, len(context.answers)
    for status, headers, body in context.answers:
        assert status == 200 or headers['pomelobend-run'] == 'not-run', body


@behave.then('no call was refused for want of a route')
def then_routed(context: typing.Any) -> None:
    refused = [
        headers['pomelobend-refused']
        for status, headers, _ in context.answers
        if status != 200
    ]
    assert 'no-route' not in refused, refused
