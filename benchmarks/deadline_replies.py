"""Share of callers that have a reply before they leave, at a late node.

A caller's node is held up for a given longest time, again and again, or
shares its core with busy processes. Its target, at another node, never
answers, or works past every deadline and answers at the one it was told.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
import contextlib
import os
import random
import signal
import sys
import threading
import time
import typing

import attrs

from benchmarks import measure
from standins import fleet as fleets
from standins import mesh as meshes

DEADLINES_S = (0.5, 1.0, 1.2, 1.5, 3.0)
ROUTE_MS = 12_000
WORK_S = 30.0
SLOTS = 1000
SHORTEST_S = 0.005
"""Shortest time for which the node is held up."""

REACHED_SHARE = 0.5
"""Share of its time from which on a call counts as one at its deadline."""

NEAR_S = 0.02
"""Time around a deadline in which the callers' own loop must not be late; a
call is left out otherwise."""

SETTLE_S = 2.0
"""Time for which the node is held up before the first call is sent."""

BUSY = 'while True: pass'


@attrs.define
class HoldUps:
    """Stops and continues a process at random, in a thread of its own.

    The lengths are evenly spread.

    Parameters
    ----------
    longest_s : float
        Longest time without processor time.
    longest_gap_s : float
        Longest time between two hold-ups.
    spans : list of tuple of float
        Monotonic times between which the process was held up.
    """

    process: fleets.Process
    longest_s: float
    longest_gap_s: float
    seed: int
    spans: list[tuple[float, float]] = attrs.field(factory=list)
    ended: threading.Event = attrs.field(factory=threading.Event)

    @contextlib.contextmanager
    def running(self) -> typing.Iterator[None]:
        """Hold the process up during a block."""
        thread = threading.Thread(target=self._run)
        thread.start()
        try:
            yield
        finally:
            self.ended.set()
            thread.join()

    def _run(self) -> None:
        rng = random.Random(self.seed)
        while not self.ended.is_set():
            self.process.signal(signal.SIGSTOP)
            began = time.monotonic()
            time.sleep(rng.uniform(SHORTEST_S, self.longest_s))
            self.process.signal(signal.SIGCONT)
            self.spans.append((began, time.monotonic()))
            time.sleep(rng.uniform(SHORTEST_S, self.longest_gap_s))

    def read_late_s(self, sent_at: float) -> float:
        """Return for how long a request that was sent then lay unread."""
        index = bisect.bisect(self.spans, (sent_at,)) - 1
        return max(0.0, self.spans[index][1] - sent_at) if index >= 0 else 0.0


@contextlib.contextmanager
def busy(
    fleet: fleets.Fleet, process: fleets.Process, count: int
) -> typing.Iterator[None]:
    """Let a process share one core with busy processes during a block."""
    core = {max(os.sched_getaffinity(0))}
    os.sched_setaffinity(process.popen.pid, core)
    others = [fleet.start(f'busy-{n}', '-S', '-c', BUSY) for n in range(count)]
    for other in others:
        os.sched_setaffinity(other.popen.pid, core)
    try:
        yield
    finally:
        for other in others:
            other.signal(signal.SIGKILL)


def configuration() -> dict[str, typing.Any]:
    """Return a configuration whose routes outlast all callers."""
    found = meshes.configuration(2)
    for rule in found['listeners'][0]['rules']:
        rule['action']['timeout_ms'] = ROUTE_MS
    return found


async def start(fleet: fleets.Fleet, *, is_silent: bool) -> meshes.Mesh:
    """Start the node of the callers and one with the target."""
    mesh = meshes.Mesh(fleet, slots=SLOTS)
    await mesh.start_store()
    await mesh.write('config', 'main', configuration())
    mesh.add_vm('caller', 'vik', 'tonabok')
    mesh.add_vm('callee', 'vik', 'steypudagar')
    await mesh.wait_until_serving(mesh.vms, '/booking/a', measure.START_S)
    if is_silent:
        target = mesh.vms['callee'].addresses['app']
        await mesh.post_control(target, 'change', odd={'silent': 1_000_000})
    return mesh


def percentiles_ms(seconds: typing.Iterable[float]) -> dict[str, float]:
    """Return the median, two high percentiles and the maximum in ms."""
    found = sorted(seconds) or [0.0]
    shares = {'p50': 0.5, 'p90': 0.9, 'p99': 0.99, 'max': 1.0}
    return {
        name: round(found[min(int(q * len(found)), len(found) - 1)] * 1e3, 1)
        for name, q in shares.items()
    }


def shares(
    seen: dict[str, typing.Any], read_late_s: typing.Callable[[float], float]
) -> dict[str, typing.Any]:
    """Return the share with a reply in time, over all and by deadline.

    Parameters
    ----------
    seen : dict
    read_late_s : callable
        Returns for how long a request that was sent at a time lay unread.
    """
    in_time: dict[float, list[bool]] = {}
    if_read: list[bool] = []
    left_s: list[float] = []
    early = of_target = by_late_caller = 0
    for deadline_s, sent_at, took_s, _, is_of_target in seen['calls']:
        if _is_late(seen['late_spans'], sent_at + deadline_s):
            by_late_caller += 1
            continue
        if took_s is not None and took_s < REACHED_SHARE * deadline_s:
            early += 1
            continue
        took_s = float('inf') if took_s is None else took_s
        in_time.setdefault(deadline_s, []).append(took_s <= deadline_s)
        from_read_s = took_s - read_late_s(sent_at)
        if_read.append(from_read_s <= deadline_s)
        if took_s <= deadline_s:
            left_s.append(deadline_s - took_s)
            of_target += is_of_target
    answered = [item for items in in_time.values() for item in items]
    return {
        'at_deadline': len(answered),
        'ended_early': early,
        'left_out': by_late_caller,
        'in_time': _mean(answered),
        'in_time_from_reading': _mean(if_read),
        'of_target': round(of_target / max(1, len(answered)), 3),
        'in_time_by_deadline_s': {
            str(key): _mean(items) for key, items in sorted(in_time.items())
        },
        'before_deadline_ms': percentiles_ms(left_s),
    }


def _is_late(spans: list[list[float]], leaves_at: float) -> bool:
    """Return whether a caller may itself have read its answer late."""
    return any(
        began < leaves_at + NEAR_S and leaves_at - NEAR_S < ended
        for began, ended in spans
    )


def _mean(items: list[bool]) -> float:
    return round(sum(items) / max(1, len(items)), 3)


async def run(args: argparse.Namespace) -> dict[str, typing.Any]:
    """Measure one point of the curve."""
    async with fleets.Fleet.open() as fleet:
        mesh = await start(fleet, is_silent=args.target == 'silent')
        held = mesh.vms[args.held]
        gap_ms = args.gap_ms or args.held_ms
        hold_ups = HoldUps(
            held.node, args.held_ms / 1000, gap_ms / 1000, args.seed
        )
        plan = {
            'address': mesh.vms['caller'].addresses['outbound'],
            'ready': held.addresses['ready'],
            'host': 'bells.example',
            'method': 'POST',
            'path': '/booking/a',
            'work_s': WORK_S,
            'deadlines_s': DEADLINES_S,
            'rate': args.rate,
            'seconds': args.seconds,
        }
        before = measure.Usage.of(held.node)
        with contextlib.ExitStack() as stack:
            if args.held_ms:
                stack.enter_context(hold_ups.running())
            if args.busy:
                stack.enter_context(busy(fleet, held.node, args.busy))
            await asyncio.sleep(SETTLE_S)
            seen = await measure.load(plan, 'benchmarks.leaving')
        after = measure.Usage.of(held.node)
        if args.logs:
            print(held.node.log.read_text(), file=sys.stderr)
    return {
        'code': args.code,
        'held': args.held,
        'target': args.target,
        'held_ms': args.held_ms,
        'gap_ms': gap_ms,
        'busy': args.busy,
        'rate': args.rate,
        'seconds': args.seconds,
        'seed': args.seed,
        **shares(seen, hold_ups.read_late_s),
        'node_late_ms': percentiles_ms(seen['probe_s']),
        'caller_late_ms': percentiles_ms(seen['late_s']),
        'node_cpu_s': round(after.cpu_s - before.cpu_s, 2),
        'load_average': round(os.getloadavg()[0], 1),
    }


def main() -> None:
    """Parse arguments, measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--held', choices=('caller', 'callee'))
    parser.add_argument('--target', choices=('silent', 'late'))
    parser.add_argument('--held-ms', type=float, default=0.0)
    parser.add_argument('--gap-ms', type=float, default=0.0)
    parser.add_argument('--busy', type=int, default=0)
    parser.add_argument('--rate', type=float, default=60.0)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--code', default='')
    parser.add_argument('--logs', action='store_true')
    parser.set_defaults(held='caller', target='silent')
    measure.report(asyncio.run(run(parser.parse_args())))


if __name__ == '__main__':
    main()
