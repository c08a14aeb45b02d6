"""Time from acceptance of a change until it is in force at the last node."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import signal
import statistics
import time
import typing

from benchmarks import measure
from standins import fleet as fleets

TARGET_S = 13.0
"""Stated bound on the time until a change is in force everywhere."""

DOMAINS = ('selfoss', 'hella', 'hveragerdi', 'vik')
PAUSE_S = 0.6
"""Pause between changes, which the rate limit of a team allows."""

PLATFORM_KINDS = ('get', 'list', 'put', 'watch')


def document(revision: int) -> dict[str, typing.Any]:
    """Return a document that differs with each revision."""
    return {
        'team': 'samlag',
        'services': [{'name': f's{index}'} for index in range(20)],
        'routes': [
            {
                'name': f'r{index}',
                'path': f'/s{index}/',
                'service': f's{index}',
                'timeout': 1000 + revision % 1000,
            }
            for index in range(20)
        ],
    }


async def reading(fleet: fleets.Fleet) -> list[tuple[float, ...]]:
    """Return processor seconds and bytes from and to peers of every node."""
    found = []
    for node in fleet.nodes.values():
        async with fleet.http.get(f'http://{node.admin}/metrics') as answer:
            lines = (await answer.text()).splitlines()
        values = dict(line.rpartition(' ')[::2] for line in lines)
        found.append(
            (
                measure.Usage.of(node.process).cpu_s,
                float(values['pomelobend_peer_bytes_received']),
                float(values['pomelobend_peer_bytes_sent']),
            )
        )
    return found


def rates(before: list, after: list, seconds: float) -> dict[str, float]:
    """Return what a node has used in each second, mean and highest."""
    used = [
        [(y - x) / seconds for x, y in zip(one, other, strict=True)]
        for one, other in zip(before, after, strict=True)
    ]
    cpu, received, sent = zip(*used, strict=True)
    return {
        'cpu_percent_mean': round(statistics.mean(cpu) * 100, 3),
        'cpu_percent_max': round(max(cpu) * 100, 3),
        'received_bytes_per_s_mean': round(statistics.mean(received)),
        'received_bytes_per_s_max': round(max(received)),
        'sent_bytes_per_s_mean': round(statistics.mean(sent)),
        'sent_bytes_per_s_max': round(max(sent)),
    }


async def counts(fleet: fleets.Fleet) -> dict[str, int]:
    """Return how many calls of each kind the platform has counted."""
    return await fleet.get_json(fleet.platform_address, '/stand-in/counts')


async def poll(fleet: fleets.Fleet, names: list[str], number: int) -> float:
    """Wait until nodes have a configuration and return the moment."""
    left = set(names)
    while left:
        for name in sorted(left):
            state = await fleet.get_json(
                fleet.nodes[name].admin, '/v1/documents'
            )
            if state and state['number'] >= number:
                left.discard(name)
    return time.perf_counter()


async def change(
    fleet: fleets.Fleet, names: list[str], expected: int, fault: str = ''
) -> tuple[int, float]:
    """Accept a change and return its number and the time it took."""
    number = await accept(fleet, names[0], expected)
    accepted_at = time.perf_counter()
    if fault == 'platform-down':
        await fleet.faults(is_away=True)
    async with asyncio.timeout(60):
        done_at = await poll(fleet, names, number)
    if fault == 'platform-down':
        await fleet.faults(is_away=False)
    return number, done_at - accepted_at


async def accept(fleet: fleets.Fleet, name: str, expected: int) -> int:
    """Have a change accepted through a node and return its number."""
    status, answer = await fleet.apply(name, document(expected + 1), expected)
    if status != 200:
        raise RuntimeError(answer)
    return answer['number']


async def bring_about(
    fault: str, fleet: fleets.Fleet, stack: contextlib.AsyncExitStack
) -> list[str]:
    """Bring about a fault and return the nodes that are to converge."""
    names = list(fleet.nodes)
    relays = [n for n in names if (await fleet.status(n))['is_relay']]
    if fault == 'relay-kill':
        fleet.nodes[relays[-1]].process.signal(signal.SIGKILL)
        return [n for n in names if n != relays[-1]]
    if fault == 'relay-freeze':
        process = fleet.nodes[relays[-1]].process
        process.signal(signal.SIGSTOP)
        stack.callback(process.signal, signal.SIGCONT)
        return [n for n in names if n != relays[-1]]
    if fault == 'storm':
        for node in fleet.nodes.values():
            node.process.signal(signal.SIGKILL)
        for name in names:
            fleet.start_node(name)
        await fleet.until(lambda: alive(fleet, names[0]), 60)
    return names


async def alive(fleet: fleets.Fleet, name: str) -> bool:
    """Tell whether a node answers."""
    return bool(await fleet.status(name))


async def run(
    nodes: int, changes: int, idle_s: float, fault: str
) -> dict[str, typing.Any]:
    """Measure and return the result."""
    async with (
        fleets.Fleet.open() as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        laid = [
            (f'n{index}', domain, '')
            for index, domain in zip(
                range(nodes), itertools.cycle(DOMAINS), strict=False
            )
        ]
        await measure.start(fleet, laid, document(1))
        names = list(fleet.nodes)
        await asyncio.sleep(3)
        before, calls = await reading(fleet), await counts(fleet)
        await asyncio.sleep(idle_s)
        idle = rates(before, await reading(fleet), idle_s)
        later = await counts(fleet)
        platform_idle = {
            kind: round((later.get(kind, 0) - calls.get(kind, 0)) / idle_s, 2)
            for kind in PLATFORM_KINDS
        }
        number, times = 1, []
        before, began = await reading(fleet), time.perf_counter()
        for _ in range(changes):
            number = await accept(fleet, names[0], number)
            await asyncio.sleep(PAUSE_S)
        seconds = time.perf_counter() - began
        busy = rates(before, await reading(fleet), seconds)
        if fault:
            names = await bring_about(fault, fleet, stack)
        for _ in range(changes if not fault else 1):
            number, took = await change(fleet, names, number, fault)
            times.append(took)
            await asyncio.sleep(PAUSE_S)
        rss = [
            measure.Usage.of(fleet.nodes[n].process).rss_bytes for n in names
        ]
    times.sort()
    return {
        'nodes': nodes,
        'changes': changes,
        'p50_s': round(times[len(times) // 2], 4),
        'p99_s': round(times[int(len(times) * 0.99)], 4),
        'max_s': round(times[-1], 4),
        'target_s': TARGET_S,
        'idle': idle,
        'platform_calls_per_s_idle': platform_idle,
        'changes_per_s': round(changes / seconds, 2),
        'busy': busy,
        'rss_mb_max': round(max(rss) / 1e6, 1),
    }


def main() -> None:
    """Parse arguments, measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, default=12)
    parser.add_argument('--changes', type=int, default=15)
    parser.add_argument('--idle-s', type=float, default=8)
    parser.add_argument(
        '--fault',
        choices=('relay-kill', 'relay-freeze', 'platform-down', 'storm'),
        default='',
    )
    args = parser.parse_args()
    result = asyncio.run(
        run(args.nodes, args.changes, args.idle_s, args.fault)
    )
    measure.report({**result, 'fault': args.fault})


if __name__ == '__main__':
    main()
