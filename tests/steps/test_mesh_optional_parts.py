"""Steps of nodes whose settings lack the bounds of optional parts."""

from __future__ import annotations

import itertools
import typing

import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path

BOUNDS_BY_PART = {
    'the cold limit': ('cold_multiplier', 'cold_slack'),
    'rollouts': ('exposure_share', 'exposure_slack'),
}


@behave.given('a deployment whose settings lack the bounds of {part}')
def given_deployment(context: typing.Any, part: str) -> None:
    missing = BOUNDS_BY_PART.get(
        part, tuple(itertools.chain(*BOUNDS_BY_PART.values()))
    )

    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet)
        context.mesh.bounds = {
            name: value
            for name, value in mesh.BOUNDS.items()
            if name not in missing
        }
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', mesh.configuration(2))

    context.run(start())


@behave.when('its nodes are started')
def when_started(context: typing.Any) -> None:
    context.mesh.add_vm('vik-t1', 'vik', 'tonabok')
    context.mesh.add_vm('vik-s', 'vik', 'steypudagar')


@behave.then('a call through each node is answered by a target')
def then_answered(context: typing.Any) -> None:
    context.run(
        context.mesh.wait_until_serving(
            context.mesh.vms, test_mesh_path.LOOKUP, test_mesh_path.START_S
        )
    )
