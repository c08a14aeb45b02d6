"""Steps that start a fleet and send calls through it."""

from __future__ import annotations

import asyncio
import signal
import typing

import behave

from standins import fleet as fleets

IN_FORCE_S = 13.0
"""Time within which an accepted configuration is in force everywhere."""

START_S = 30.0
"""Longest wait for processes to start, not a bound on the product."""

DOCUMENT = {
    'team': 'samlag',
    'services': [{'name': 'tonabok'}, {'name': 'innborgun'}],
    'routes': [
        {
            'name': 'tunings',
            'path': '/tonabok/',
            'service': 'tonabok',
            'is_idempotent': True,
        },
        {
            'name': 'archive',
            'path': '/tonabok/archive',
            'service': 'tonabok',
            'methods': ['GET', 'PUT', 'POST'],
            'timeout': 20_000,
        },
        {
            'name': 'deposits',
            'path': '/innborgun/',
            'service': 'innborgun',
            'methods': ['POST', 'PUT', 'DELETE'],
        },
    ],
}


@behave.given('a platform')
def given_platform(context: typing.Any) -> None:
    context.fleet = context.run(
        context.stack.enter_async_context(fleets.Fleet.open())
    )
    context.run(context.fleet.start_platform())
    context.number = 0


@behave.given('nodes {names} in {domain}')
def given_nodes(context: typing.Any, names: str, domain: str) -> None:
    for name in names.split():
        context.fleet.add_node(
            name, domain, **getattr(context, 'settings', {})
        )
        context.fleet.start_node(name)
    context.run(until_alive(context, names.split()))


async def until_alive(context: typing.Any, names: list[str]) -> None:
    async def holds() -> bool:
        return all([await context.fleet.status(name) for name in names])

    await context.fleet.until(holds, START_S)


@behave.given('a target of {service} at {node}')
@behave.when('a target of {service} starts at {node}')
def given_target(context: typing.Any, service: str, node: str) -> None:
    context.fleet.start_target(node, service, '--cold-s', '0')
    context.targets = getattr(context, 'targets', 0) + 1


@behave.given('an accepted configuration')
def given_configuration(context: typing.Any) -> None:
    first = next(iter(context.fleet.nodes))
    status, answer = context.run(
        context.fleet.apply(first, DOCUMENT, context.number)
    )
    assert status == 200, answer
    context.number = answer['number']


@behave.given('everything is known everywhere')
def given_all_known(context: typing.Any) -> None:
    names = list(context.fleet.nodes)
    context.run(
        context.fleet.until_in_force(context.number, names, IN_FORCE_S)
    )
    context.run(
        context.fleet.until_targets(names, context.targets, IN_FORCE_S)
    )


@behave.given('a small deployment')
def given_small_deployment(context: typing.Any) -> None:
    context.settings = {'target': {'slow_start': 0}}
    context.execute_steps("""
        Given a platform
        And nodes n1 in selfoss
        And nodes n2 n3 in hella
        And a target of tonabok at n2
        And a target of innborgun at n3
        And an accepted configuration
        And everything is known everywhere
    """)


async def call(
    context: typing.Any,
    node: str,
    method: str,
    path: str,
    **options: typing.Any,
) -> typing.Any:
    """Send a call through a node; return status, headers and body."""
    address = context.fleet.nodes[node].callers
    async with context.fleet.http.request(
        method, f'http://{address}{path}', **options
    ) as response:
        return response.status, response.headers, await response.read()


async def metrics(context: typing.Any, node: str) -> dict[str, float]:
    """Return the metrics of a node by name and labels."""
    address = context.fleet.nodes[node].admin
    async with context.fleet.http.get(f'http://{address}/metrics') as answer:
        lines = (await answer.text()).splitlines()
    return {
        line.rpartition(' ')[0]: float(line.rpartition(' ')[2])
        for line in lines
        if line and not line.startswith('#')
    }


def signal_process(process: fleets.Process, name: str) -> None:
    """Send a signal by its name."""
    process.signal(getattr(signal, name))


@behave.when('{seconds:f} s pass')
def when_time_passes(context: typing.Any, seconds: float) -> None:
    context.run(asyncio.sleep(seconds))


@behave.when('{number} goes to the node {name}')
def when_node_signalled(context: typing.Any, name: str, number: str) -> None:
    signal_process(context.fleet.nodes[name].process, number)


@behave.when('{number} goes to the target at {name}')
def when_target_signalled(context: typing.Any, name: str, number: str) -> None:
    signal_process(context.fleet.nodes[name].target, number)
