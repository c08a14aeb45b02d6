"""Time that two nodes add to a call, against the direct call, in one run."""

from __future__ import annotations

import argparse
import asyncio

from benchmarks import measure
from standins import fleet as fleets

TARGET_P99_MS = 1.3
"""Stated bound on the time added to 99 in 100 calls."""

DOCUMENT = {
    'team': 'samlag',
    'services': [{'name': 'tonabok'}],
    'routes': [
        {
            'name': 'tunings',
            'path': '/tonabok/',
            'service': 'tonabok',
            'is_idempotent': True,
        }
    ],
}


async def run(calls: int, rate: float) -> dict:
    """Measure and return the result."""
    async with fleets.Fleet.open() as fleet:
        await measure.start(
            fleet,
            [('front', 'selfoss', ''), ('back', 'hella', 'tonabok')],
            DOCUMENT,
            '--cold-s',
            '0',
            settings={'target': {'slow_start': 0}},
        )
        front, back = fleet.nodes['front'], fleet.nodes['back']
        processes = (front.process, back.process)
        before = [measure.Usage.of(process) for process in processes]
        times = await measure.load(
            {
                'urls': {
                    'direct': f'http://{back.target_address}/tonabok/bells',
                    'through': f'http://{front.callers}/tonabok/bells',
                },
                'calls': calls,
                'rate': 2 * rate,
            }
        )
        after = [measure.Usage.of(process) for process in processes]
    direct, through = times['direct'], times['through']
    used = [
        (end.cpu_s - begin.cpu_s) / calls * 1e6
        for begin, end in zip(before, after, strict=True)
    ]
    return {
        'direct_p50_ms': direct['p50_ms'],
        'direct_p99_ms': direct['p99_ms'],
        'added_p50_ms': round(through['p50_ms'] - direct['p50_ms'], 3),
        'added_p99_ms': round(through['p99_ms'] - direct['p99_ms'], 3),
        'target_p99_ms': TARGET_P99_MS,
        'calls': calls,
        'rate': rate,
        'node_rss_mb': round(max(u.rss_bytes for u in after) / 1e6, 1),
        'node_cpu_us_per_call': [round(value) for value in used],
        'statuses': through['statuses'],
    }


def main() -> None:
    """Parse arguments, measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--rate', type=float, default=100.0)
    args = parser.parse_args()
    measure.report(asyncio.run(run(args.calls, args.rate)))


if __name__ == '__main__':
    main()
