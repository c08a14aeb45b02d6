"""Steps for nodes that have no free descriptors."""

from __future__ import annotations

import asyncio
import functools
import resource
import typing

import behave

from tests.steps import test_mesh_output as output_steps
from tests.steps import test_mesh_path as path_steps

CONNECTIONS = 150
PORTS = ('outbound', 'inbound', 'control', 'ready')
"""Ports at which the connections are opened. Each is limited; together they
take the descriptors of a node that may have few."""

ROUNDS = 3
CALLS = 24
WORK_S = 0.2
FOUND_S = 2.0
OTHERS = ('vik-t2', 'vik-s', 'hella-s')


@behave.when('a node with at most {count:d} descriptors starts again')
def when_starts_limited(context: typing.Any, count: int) -> None:
    limit = functools.partial(
        resource.setrlimit, resource.RLIMIT_NOFILE, (count, count)
    )
    output_steps.start_again(context, {'preexec_fn': limit})
    context.run(asyncio.sleep(FOUND_S))


@behave.when('lookups come over other nodes while it has no descriptor left')
def when_crowded(context: typing.Any) -> None:
    addresses = context.mesh.vms[output_steps.NAME].addresses

    async def act() -> None:
        for number in range(ROUNDS):
            opened = [
                await _open(addresses[port])
                for port in PORTS
                for _ in range(CONNECTIONS)
            ]
            await asyncio.gather(
                *(
                    context.mesh.call(
                        OTHERS[call % len(OTHERS)],
                        path_steps.LOOKUP,
                        f'crowd-{number}-{call}',
                        **{'x-work-s': str(WORK_S)},
                    )
                    for call in range(CALLS)
                )
            )
            for _, writer in opened:
                writer.close()

    context.run(act())


async def _open(address: str) -> tuple:
    host, _, port = address.partition(':')
    return await asyncio.open_connection(host, int(port))


@behave.then('it could not open a connection to its target')
def then_no_connection(context: typing.Any) -> None:
    lines = [
        line
        for name in context.mesh.vms
        for line in log_of(context, name).splitlines()
        if 'target-unreachable' in line and 'Errno 24' in line
    ]
    assert lines


@behave.then('it has not taken its target for lost')
def then_not_lost(context: typing.Any) -> None:
    assert 'gate: target lost' not in log_of(context, output_steps.NAME)


def log_of(context: typing.Any, name: str) -> str:
    """Return the log of the node of a VM."""
    return context.mesh.vms[name].node.log.read_text()
