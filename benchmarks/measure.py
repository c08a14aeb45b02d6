"""What the measurements share: load processes and readings of processes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing

import attrs

from standins import fleet as fleets

START_S = 25.0
"""Longest wait for a fleet to be ready."""

MIB = 1024 * 1024


@attrs.frozen
class Usage:
    """Processor time and resident memory of a process."""

    cpu_s: float
    rss_bytes: int

    @classmethod
    def of(cls, process: fleets.Process) -> Usage:
        """Read the usage of a running process."""
        folder = pathlib.Path(f'/proc/{process.popen.pid}')
        fields = (folder / 'stat').read_text().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int((folder / 'statm').read_text().split()[1])
        return cls(
            ticks / os.sysconf('SC_CLK_TCK'),
            pages * os.sysconf('SC_PAGE_SIZE'),
        )


async def load(plan: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Run a plan in a load process of its own."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'benchmarks.load',
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        cwd=fleets.ROOT,
    )
    output, _ = await process.communicate(json.dumps(plan).encode())
    return json.loads(output)


async def start(
    fleet: fleets.Fleet,
    nodes: typing.Iterable[tuple[str, str, str]],
    document: dict[str, typing.Any],
    *options: str,
    settings: dict[str, typing.Any] | None = None,
) -> None:
    """Start nodes given as name, domain and service, and make them ready."""
    await fleet.start_platform()
    nodes = list(nodes)
    for name, domain, service in nodes:
        fleet.add_node(name, domain, **(settings or {}))
        fleet.start_node(name)
        if service:
            fleet.start_target(name, service, *options)
    names = [name for name, *_ in nodes]

    async def are_alive() -> bool:
        return all([await fleet.status(name) for name in names])

    await fleet.until(are_alive, START_S)
    status, answer = await fleet.apply(names[0], document, 0)
    if status != 200:
        raise RuntimeError(answer)
    await fleet.until_in_force(answer['number'], names, START_S)
    count = sum(bool(service) for *_, service in nodes)
    await fleet.until_targets(names, count, START_S)


def report(result: dict[str, typing.Any]) -> None:
    """Print the result as the last line, one JSON object."""
    print(json.dumps(result))
