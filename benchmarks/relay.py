"""What one relay spends on its subscribers, by their number.

The relay is a real node. Its subscribers are links of this process, which
greet, subscribe and send heartbeats as nodes do.
"""

from __future__ import annotations

import argparse
import asyncio
import time
import typing

from benchmarks import convergence
from benchmarks import measure
from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import connection as connections
from pomelobend.peers import link as links
from pomelobend.peers import messages
from standins import fleet as fleets

HEARTBEAT_S = 1.0


async def subscribe(
    address: str, index: int, offers: dict[int, list[float]]
) -> None:
    """Be one subscriber until cancelled."""
    link = await links.Link.connect(address, 2**24, 10)
    own = messages.Hello(
        messages.PROTOCOL, f's{index}', 1, 'selfoss', f'127.0.0.1:{index}'
    )
    await connections.greet(link, own, 10)
    link.send(codec.encode(messages.Subscribe(0, False)))
    beat = asyncio.create_task(_beat(link))
    try:
        while True:
            message = codec.decode(await link.receive())
            if isinstance(message, messages.Offer):
                number = message.manifest['number']
                offers.setdefault(number, []).append(time.perf_counter())
                link.send(codec.encode(messages.Applied(number)))
    except errors.PeerError:
        pass
    finally:
        beat.cancel()
        link.abort()


async def _beat(link: links.Link) -> None:
    while True:
        link.send(codec.encode(messages.Heartbeat(0)))
        await asyncio.sleep(HEARTBEAT_S)


async def run(
    subscribers: int, changes: int, idle_s: float
) -> dict[str, typing.Any]:
    """Measure and return the result."""
    async with fleets.Fleet.open() as fleet:
        await measure.start(
            fleet, [('n1', 'selfoss', '')], convergence.document(1)
        )
        node = fleet.nodes['n1']
        offers: dict[int, list[float]] = {}
        tasks = [
            asyncio.create_task(subscribe(node.peers, index, offers))
            for index in range(subscribers)
        ]
        await asyncio.sleep(4)
        before = await convergence.reading(fleet)
        await asyncio.sleep(idle_s)
        between = await convergence.reading(fleet)
        idle = convergence.rates(before, between, idle_s)
        spans, number, began = [], 1, time.perf_counter()
        for _ in range(changes):
            number = await convergence.accept(fleet, 'n1', number)
            accepted_at = time.perf_counter()
            await asyncio.sleep(convergence.PAUSE_S)
            heard = offers.get(number, [])
            spans.append(
                max(heard) - accepted_at
                if len(heard) >= subscribers and heard
                else None
            )
        seconds = time.perf_counter() - began
        after = await convergence.reading(fleet)
        busy = convergence.rates(between, after, seconds)
        rss = measure.Usage.of(node.process).rss_bytes
        for task in tasks:
            task.cancel()
    complete = sorted(span for span in spans if span is not None)
    cpu_s = (
        (busy['cpu_percent_mean'] - idle['cpu_percent_mean']) / 100 * seconds
    )
    return {
        'subscribers': subscribers,
        'idle_cpu_percent': idle['cpu_percent_mean'],
        'idle_sent_bytes_per_s': idle['sent_bytes_per_s_mean'],
        'idle_received_bytes_per_s': idle['received_bytes_per_s_mean'],
        'cpu_ms_per_change': round(cpu_s * 1000 / changes, 2),
        'sent_bytes_per_change': round(
            (after[0][2] - between[0][2]) / changes
        ),
        'pushed_to_all': len(complete),
        'changes': changes,
        'push_max_s': round(complete[-1], 4) if complete else None,
        'rss_mb': round(rss / 1e6, 1),
    }


def main() -> None:
    """Parse arguments, measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--subscribers', type=int, default=90)
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--idle-s', type=float, default=15)
    args = parser.parse_args()
    measure.report(
        asyncio.run(run(args.subscribers, args.changes, args.idle_s))
    )


if __name__ == '__main__':
    main()
