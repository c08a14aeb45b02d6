"""Show the whole path: a small deployment, a configuration, real calls."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import pathlib
import sys
import time

import attrs
from rich import console
from rich import table as tables

from pomelobend.findings import source as sources
from standins import fleet as fleets

DOCUMENT = fleets.ROOT / 'examples' / 'sudurland.jsonc'
START_S = 60.0

DOMAINS = ('selfoss', 'hella', 'hveragerdi', 'vik')
SERVICES = ('tonabok', 'steypudagar', 'tilbodasafn', 'innborgun')
SLOTS = 6
VMS = tuple(itertools.product(DOMAINS, SERVICES))
"""Failure domain and service of each VM: four targets of each service."""

CALLS = (
    ('GET', '/tonabok/bells', 30),
    ('GET', '/steypudagar/slots', 10),
    ('GET', '/tilbodasafn/quotes', 10),
    ('POST', '/innborgun/deposits', 10),
    ('GET', '/nowhere', 1),
)
"""Method, path and number of the calls that are sent."""


@attrs.define
class Row:
    """What became of the calls to one path."""

    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    targets: set[str] = attrs.field(factory=set)
    millis: list[float] = attrs.field(factory=list)


async def send(
    fleet: fleets.Fleet, node: str, method: str, path: str, row: Row
) -> None:
    """Send one call and note what became of it."""
    address = fleet.nodes[node].callers
    began = time.perf_counter()
    async with fleet.http.request(
        method, f'http://{address}{path}'
    ) as response:
        body = json.loads(await response.read())
    row.millis.append((time.perf_counter() - began) * 1000)
    refused = response.headers.get('pomelobend-refused')
    row.statuses[refused or str(response.status)] += 1
    if 'life' in body:
        row.targets.add(body['life'])


async def send_all(fleet: fleets.Fleet) -> dict[tuple[str, str], Row]:
    """Send all calls, one after the other, entering at every node."""
    rows: dict[tuple[str, str], Row] = {}
    names = list(fleet.nodes)
    for method, path, count in CALLS:
        row = rows.setdefault((method, path), Row())
        for index in range(count):
            node = names[index % len(names)]
            await send(fleet, node, method, path, row)
    return rows


def show(rows: dict[tuple[str, str], Row]) -> None:
    """Print what became of the calls."""
    table = tables.Table('call', 'answers', 'targets', 'median ms')
    for (method, path), row in rows.items():
        table.add_row(
            f'{method} {path}',
            ', '.join(f'{k}: {v}' for k, v in sorted(row.statuses.items())),
            str(len(row.targets)),
            f'{sorted(row.millis)[len(row.millis) // 2]:.1f}',
        )
    console.Console(width=79).print(table)


async def run() -> int:
    """Run the demonstration and return the exit code."""
    async with fleets.Fleet.open() as fleet:
        await fleet.start_platform()
        for index, (domain, service) in enumerate(VMS, 1):
            fleet.add_node(f'{domain}-{index}', domain)
            fleet.start_node(f'{domain}-{index}')
            fleet.start_target(
                f'{domain}-{index}', service, '--slots', str(SLOTS)
            )
        print(
            f'started {len(fleet.processes)} processes: the platform, '
            f'{len(VMS)} nodes and {len(VMS)} targets'
        )
        names = list(fleet.nodes)

        async def are_alive() -> bool:
            return all([await fleet.status(name) for name in names])

        await fleet.until(are_alive, START_S)
        document = sources.Source.from_file(pathlib.Path(DOCUMENT)).value
        status, answer = await fleet.apply(names[0], document, 0)
        if status != 200:
            print(json.dumps(answer, indent=2))
            return 1
        began = time.perf_counter()
        await fleet.until_in_force(answer['number'], names, START_S)
        took = time.perf_counter() - began
        print(
            f'configuration {answer["number"]} was in force on '
            f'{len(names)} nodes {took:.2f} s after it was accepted'
        )
        await fleet.until_targets(names, len(VMS), START_S)
        rows = await send_all(fleet)
        show(rows)
        await fleet.stop_gracefully()
    print('all processes have ended')
    answered = sum(row.statuses['200'] for row in rows.values())
    return 0 if answered == sum(c for *_, c in CALLS[:-1]) else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
