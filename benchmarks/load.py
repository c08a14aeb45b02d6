"""A load process: sends calls at a steady open-loop rate.

It reads a plan as JSON on standard input and prints one JSON object. Calls
are sent at their planned moments whatever became of the ones before; the
time of a call counts from its planned moment, so that waiting in this
process is not left out.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
import typing

import aiohttp
import attrs
from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3


@attrs.define
class Result:
    """What became of the calls to one address."""

    times: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    statuses: dict[str, int] = attrs.field(factory=dict)

    def add(self, status: str, seconds: float) -> None:
        """Take up one call."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == '200':
            self.times.record_value(max(1, int(seconds * 1e6)))

    def summary(self) -> dict[str, typing.Any]:
        """Return percentiles in milliseconds and the counts."""
        return {
            **{
                f'p{name}_ms': self.times.get_value_at_percentile(p) / 1000
                for name, p in (('50', 50), ('90', 90), ('99', 99))
            },
            'statuses': self.statuses,
        }


async def one(
    session: aiohttp.ClientSession,
    url: str,
    planned: float,
    result: Result,
    headers: dict[str, str],
) -> None:
    """Send one call at its planned moment."""
    try:
        async with session.get(url, headers=headers) as response:
            await response.read()
            status = response.headers.get(
                'pomelobend-refused', str(response.status)
            )
    except (aiohttp.ClientError, TimeoutError) as error:
        status = type(error).__name__
    result.add(status, time.perf_counter() - planned)


async def run(plan: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Send the calls of a plan, turn by turn to each of its addresses."""
    results = {name: Result() for name in plan['urls']}
    turns = list(plan['urls'].items())
    headers = plan.get('headers', {})
    connector = aiohttp.TCPConnector(limit=plan.get('connections', 64))
    timeout = aiohttp.ClientTimeout(total=plan.get('timeout_s', 10))
    tasks: set[asyncio.Task] = set()
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        warm = Result()
        for _, url in turns * plan.get('warm_up', 20):
            await one(session, url, time.perf_counter(), warm, headers)
        gc.collect()
        gc.freeze()
        began = time.perf_counter() + 0.05
        for index in range(plan['calls'] * len(turns)):
            planned = began + index / plan['rate']
            await asyncio.sleep(max(0, planned - time.perf_counter()))
            name, url = turns[index % len(turns)]
            task = asyncio.create_task(
                one(session, url, planned, results[name], headers)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
    return {name: result.summary() for name, result in results.items()}


def main() -> None:
    """Read a plan, send its calls, print what became of them."""
    print(json.dumps(asyncio.run(run(json.load(sys.stdin)))))


if __name__ == '__main__':
    main()
