"""Processor time of nodes for a call, a nested call and an idle second.

Two VMs of one failure domain run real nodes and targets. Calls enter at the
node of one service and run at the target of the other, so that each passes
two nodes. The figures are the processor time of both nodes together, less
what they use while idle.

Usage: python -m benchmarks call_cost [--calls N] [--idle-s S]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import typing

import aiohttp

from benchmarks import measure
from standins import fleet as fleets
from standins import mesh as meshes

START_S = 25.0
SETTLE_S = 3.0
"""Time after the start in which nodes find each other."""

IN_FLIGHT = 4
"""Calls that are sent at the same time; below the slots of a target."""

LOOKUP = '/lookup/a'
CALLER = 'vik-s'
"""VM of another service than that of the lookups."""


async def processor_s(mesh: meshes.Mesh) -> float:
    """Return the processor time that the nodes have used so far, in s."""
    return sum(measure.Usage.of(vm.node).cpu_s for vm in mesh.vms.values())


async def send(
    mesh: meshes.Mesh,
    count: int,
    headers: dict[str, str],
) -> None:
    """Send lookups over kept connections, a few at a time."""
    address = mesh.vms[CALLER].addresses['outbound']
    numbers = iter(range(count))
    connector = aiohttp.TCPConnector(limit=IN_FLIGHT)

    async def sender(session: aiohttp.ClientSession) -> None:
        for number in numbers:
            sent = {
                **headers,
                'host': 'bells.example',
                'x-attempt-id': f'cost-{number}',
                'x-deadline-ms': '4000',
            }
            async with session.get(
                f'http://{address}{LOOKUP}', headers=sent
            ) as response:
                response.raise_for_status()
                await response.read()

    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(sender(session) for _ in range(IN_FLIGHT)))


async def measure_costs(
    mesh: meshes.Mesh, count: int, idle_s: float
) -> dict[str, typing.Any]:
    """Return the processor time in us of each kind of work."""
    before = await processor_s(mesh)
    await asyncio.sleep(idle_s)
    idle = (await processor_s(mesh) - before) / idle_s
    costs = {'idle_second_us': idle * 1e6}
    kinds = {
        'call_us': {'x-work-s': '0'},
        'call_with_a_nested_one_us': {
            'x-work-s': '0',
            'x-nested-path': LOOKUP,
            'x-nested-method': 'GET',
            'x-nested-work-s': '0',
        },
    }
    loop = asyncio.get_running_loop()
    for name, headers in kinds.items():
        await send(mesh, count // 10, headers)
        before, began = await processor_s(mesh), loop.time()
        await send(mesh, count, headers)
        spent = await processor_s(mesh) - before
        spent -= idle * (loop.time() - began)
        costs[name] = spent / count * 1e6
    return {name: round(value) for name, value in costs.items()}


async def run(count: int, idle_s: float) -> dict[str, typing.Any]:
    """Start two VMs and measure."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(fleets.Fleet.open())
        mesh = meshes.Mesh(fleet)
        await mesh.start_store()
        await mesh.write('config', 'main', meshes.configuration(2))
        mesh.add_vm('vik-t', 'vik', 'tonabok')
        mesh.add_vm(CALLER, 'vik', 'steypudagar')
        await mesh.wait_until_serving(mesh.vms, LOOKUP, START_S)
        await asyncio.sleep(SETTLE_S)
        return await measure_costs(mesh, count, idle_s)


def main() -> None:
    """Parse arguments, measure, and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--idle-s', type=float, default=10.0)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(run(arguments.calls, arguments.idle_s))))
