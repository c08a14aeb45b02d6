"""Nodes that get no processor time for a moment, which nothing excuses.

Machines that are shared hold processes up without any disruption. What is
done here is noted, and the checks don't excuse losses beside it.
"""

from __future__ import annotations

import asyncio
import typing

from soak import checks
from soak import disturbances as acts

if typing.TYPE_CHECKING:
    from soak import world as worlds

SHORTEST_S = 0.1
LONGEST_S = 0.6
"""Times without processor time."""

END_S = (4.6, 5.4)
"""Times after SIGTERM around the last sixth of the grace period."""

NOTED_S = 0.05
"""Time without processor time before SIGTERM, which is noted late."""


async def hold_up(world: worlds.World) -> None:
    """Hold up a node, whether it stops or not."""
    await world.sleep(0.1, 0.8)
    name = world.random.choice(sorted(world.vms))
    await _hold_up(world, name, 0.0, _length_s(world))


async def hold_up_stopping(world: worlds.World) -> None:
    """Hold up the nodes that stop, also when they close."""
    await world.sleep(0.05, 0.4)
    await asyncio.gather(
        *(
            _hold_up(world, name, 0.0, _length_s(world))
            for name in sorted(world.stopping)
        )
    )


async def stop(world: worlds.World) -> None:
    """Stop a node that is held up before SIGTERM, or later.

    Later is when it closes idle connections, or when its grace period ends.
    """
    with acts.hold(world) as name:
        if not name:
            return
        rng = world.random
        after_s = rng.choice((0.0, rng.uniform(2.2, 2.8), rng.uniform(*END_S)))
        task = asyncio.create_task(
            _hold_up(world, name, after_s, _length_s(world))
        )
        await world.sleep(NOTED_S, 2 * NOTED_S)
        await acts.stop_and_start(world, name)
        await task
        await acts.wait_ready(world, name)


def _length_s(world: worlds.World) -> float:
    return world.random.uniform(SHORTEST_S, LONGEST_S)


async def _hold_up(
    world: worlds.World, name: str, after_s: float, seconds: float
) -> None:
    await acts.freeze(world, name, checks.SHORT_OF_TIME, after_s, seconds)
