"""Memory of two nodes, and time of small calls, beside large bodies.

Calls enter at one node and run at the target of another one. Each case has
nodes of its own: small calls alone, beside uploads, beside large answers, and
beside uploads that are answered with as much.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import typing

import aiohttp

from benchmarks import measure
from standins import fleet as fleets
from standins import mesh as meshes

MAX_PEAK_MB = 128
"""Required bound on the peak of the resident memory of a node, in MB."""

CASES = ('alone', 'upload', 'answer', 'both')
PATH = '/lookup/large'
LIMIT_MS = 20_000
"""Time limit of the route and of the callers, in ms."""

SLOTS = 40
KNOWN_S = 1.0
"""Time in s for which nodes that serve are left alone before the load."""

HEADERS = {
    'host': 'bells.example',
    'x-attempt-id': 'large',
    'x-deadline-ms': str(LIMIT_MS),
}


def peak_mb(process: fleets.Process) -> float:
    """Return the peak of the resident memory of a process, in MB."""
    text = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    line = next(x for x in text.splitlines() if x.startswith('VmHWM:'))
    return round(int(line.split()[1]) * 1024 / 1e6, 1)


def configuration() -> dict[str, typing.Any]:
    """Return a configuration whose routes leave time for large bodies."""
    found = meshes.configuration(1)
    for rule in found['listeners'][0]['rules']:
        rule['action']['timeout_ms'] = LIMIT_MS
    return found


async def start(mesh: meshes.Mesh) -> None:
    """Start a node for callers and another one beside a target."""
    await mesh.start_store()
    await mesh.write('config', 'main', configuration())
    mesh.add_vm('front', 'selfoss', 'tilbodasafn')
    mesh.add_vm('back', 'hella', 'tonabok')
    await mesh.wait_until_serving(['front'], PATH, measure.START_S)
    await asyncio.sleep(KNOWN_S)


async def send_large(
    mesh: meshes.Mesh, url: str, case: str, size: int
) -> tuple[int, int, float]:
    """Send a large call; return status, bytes of the answer, and s."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    sent = size if case in ('upload', 'both') else 0
    headers = {**HEADERS}
    if case == 'upload':
        headers['x-answer-short'] = '1'
    if case == 'answer':
        headers['x-answer-bytes'] = str(size)
    received = 0
    async with mesh.processes.http.post(
        url,
        data=b'u' * sent,
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=LIMIT_MS / 1000),
    ) as answer:
        async for part in answer.content.iter_any():
            received += len(part)
        return answer.status, received, round(loop.time() - started_at, 3)


async def run_case(
    case: str,
    size: int,
    large: int,
    calls: int,
    rate: float,
    memory_mb: int,
) -> dict[str, typing.Any]:
    """Measure one case with nodes of its own."""
    async with fleets.Fleet.open() as fleet:
        mesh = meshes.Mesh(fleet, slots=SLOTS, memory_mb=memory_mb)
        await start(mesh)
        url = f'http://{mesh.vms["front"].addresses["outbound"]}{PATH}'
        nodes = {name: vm.node for name, vm in mesh.vms.items()}
        before = {name: peak_mb(node) for name, node in nodes.items()}
        plan = {
            'urls': {'small': url},
            'calls': calls,
            'rate': rate,
            'headers': HEADERS,
        }
        small = asyncio.create_task(measure.load(plan))
        count = 0 if case == 'alone' else large
        sends = [send_large(mesh, url, case, size) for _ in range(count)]
        answers = await asyncio.gather(*sends, return_exceptions=True)
        return {
            'small': (await small)['small'],
            'large': [
                repr(answer) if isinstance(answer, Exception) else answer
                for answer in answers
            ],
            'before_mb': before,
            'peak_mb': {name: peak_mb(node) for name, node in nodes.items()},
        }


async def run(
    size: int, large: int, calls: int, rate: float, memory_mb: int
) -> dict[str, typing.Any]:
    """Measure all cases one after the other."""
    cases = {}
    for case in CASES:
        cases[case] = await run_case(case, size, large, calls, rate, memory_mb)
    alone = cases['alone']['small']
    return {
        'cases': cases,
        'added_ms': {
            case: {
                name: round(found['small'][name] - alone[name], 2)
                for name in ('p50_ms', 'p99_ms')
            }
            for case, found in cases.items()
        },
        'peak_mb': max(max(x['peak_mb'].values()) for x in cases.values()),
        'target_mb': MAX_PEAK_MB,
        'bytes': size,
        'large': large,
        'calls': calls,
        'rate': rate,
        'memory_mb': memory_mb,
    }


def main() -> None:
    """Parse arguments, run the benchmark and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--mib', type=int, default=60)
    parser.add_argument('--large', type=int, default=1)
    parser.add_argument('--calls', type=int, default=100)
    parser.add_argument('--rate', type=float, default=50.0)
    parser.add_argument(
        '--memory-mb',
        type=int,
        default=0,
        help='memory of a VM as the nodes are told, 0 if unknown',
    )
    args = parser.parse_args()
    size = args.mib * measure.MIB
    measure.report(
        asyncio.run(
            run(size, args.large, args.calls, args.rate, args.memory_mb)
        )
    )


if __name__ == '__main__':
    main()
