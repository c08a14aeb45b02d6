"""Goodput of targets under too many calls, against the plainest policy."""

from __future__ import annotations

import argparse
import asyncio
import typing

from benchmarks import added_latency
from benchmarks import measure
from standins import fleet as fleets

SLOTS = 6
TARGETS = 2
WORK_S = 0.05
TIMEOUT_S = 1.0
TARGET_GOODPUT = 0.9
"""Stated bound: goodput under overload as a share of capacity."""

PHASES = (('calm', 0.6), ('overload', 3.0), ('after', 0.6))
"""Name of each phase and its rate as a multiple of capacity."""


async def phases(
    urls: dict[str, str], seconds: float
) -> dict[str, dict[str, typing.Any]]:
    """Run the phases one after the other."""
    capacity = TARGETS * SLOTS / WORK_S
    results = {}
    for name, factor in PHASES:
        rate = capacity * factor
        found = await measure.load(
            {
                'urls': urls,
                'calls': int(rate * seconds / len(urls)),
                'rate': rate,
                'warm_up': 1,
                'connections': 2000,
                'timeout_s': TIMEOUT_S,
                'headers': {
                    'x-work-s': str(WORK_S),
                    'pomelobend-deadline-ms': str(int(TIMEOUT_S * 1000)),
                },
            }
        )
        good = sum(r['statuses'].get('200', 0) for r in found.values())
        offered = min(rate, capacity) * seconds
        results[name] = {
            'goodput_of_possible': round(good / offered, 3),
            'p99_ms': max(r['p99_ms'] for r in found.values()),
            'statuses': next(iter(found.values()))['statuses'],
        }
    return results


async def run(seconds: float) -> dict[str, typing.Any]:
    """Measure both policies and return the result."""
    async with fleets.Fleet.open() as fleet:
        await measure.start(
            fleet,
            [
                ('front-1', 'selfoss', ''),
                ('front-2', 'selfoss', ''),
                ('back-1', 'selfoss', 'tonabok'),
                ('back-2', 'selfoss', 'tonabok'),
            ],
            added_latency.DOCUMENT,
            '--cold-s',
            '0',
            '--slots',
            str(SLOTS),
            '--fragile',
            settings={'target': {'slow_start': 0}},
        )
        own = {
            name: f'http://{fleet.nodes[name].callers}/tonabok/bells'
            for name in ('front-1', 'front-2')
        }
        policy = await phases(own, seconds)
        targets = [
            fleet.nodes[name].target_address for name in ('back-1', 'back-2')
        ]
        plain = {}
        for name, port in zip(own, fleets.free_ports(2), strict=True):
            fleet.start(
                f'plain-{name}',
                '-m',
                'benchmarks.baseline',
                '--port',
                str(port),
                '--timeout-s',
                str(TIMEOUT_S),
                *targets,
            )
            plain[name] = f'http://127.0.0.1:{port}/tonabok/bells'
        await asyncio.sleep(3)
        baseline = await phases(plain, seconds)
    return {
        'policy': policy,
        'baseline': baseline,
        'goodput_overload': policy['overload']['goodput_of_possible'],
        'baseline_goodput_overload': baseline['overload'][
            'goodput_of_possible'
        ],
        'goodput_after': policy['after']['goodput_of_possible'],
        'baseline_goodput_after': baseline['after']['goodput_of_possible'],
        'target_goodput': TARGET_GOODPUT,
    }


def main() -> None:
    """Parse arguments, measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=6)
    args = parser.parse_args()
    measure.report(asyncio.run(run(args.seconds)))


if __name__ == '__main__':
    main()
