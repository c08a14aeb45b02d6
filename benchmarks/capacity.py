"""Work out docs/CAPACITY.md from the recorded slopes, or check it.

``python -m benchmarks capacity`` writes the table between the two marks of
the page; ``--check`` only compares, and exits with 1 where they differ.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys

import attrs
import numpy

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
RECORDS = ROOT / 'docs' / 'measurements'
BEGIN = '<!-- computed: begin -->'
END = '<!-- computed: end -->'

NODES = 3_400
DOMAINS = 19
SERVICES = 100
TEAMS = 25
CALLS_PER_S = 180_000
CHANGES_PER_S = 3_700 / 86_400
RESTARTS_PER_S = 200 / 86_400
SLOTS = 4
"""Relay leases of a failure domain at full size."""

LEASE_S = 6.0
WATCH_S = 30.0

CPU_PERCENT = 2.7
MEMORY_MB = 128.0
BYTES_PER_S = 10_000.0
CONVERGENCE_S = 13.0
ADDED_MS = 1.3
WRITES_PER_S = 300.0
READS_PER_S = 2_000.0

LEASE_BYTES = 150
"""Bytes of one lease in the platform's list of them, as JSON."""

REF_BYTES = 55
"""Bytes of one document in a manifest on the wire, with its team's name."""


@attrs.frozen
class Row:
    """One line of the page."""

    role: str
    what: str
    figure: float
    bound: float
    unit: str
    carried: str

    def line(self) -> str:
        """Return the line in Markdown."""
        verdict = 'holds' if self.figure <= self.bound else '**misses**'
        return (
            f'| {self.role} | {self.what} | {self.figure:.3g} {self.unit} '
            f'| {self.bound:.6g} {self.unit} | {verdict} | {self.carried} |'
        )


def records(name: str) -> list[dict]:
    """Return the recorded results of a measurement."""
    text = (RECORDS / f'{name}.jsonl').read_text()
    return [json.loads(line) for line in text.splitlines()]


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return base and slope of the straight line through some points."""
    slope, base = numpy.polyfit(*numpy.array(points).T, 1)
    return float(base), float(slope)


def rows() -> list[Row]:
    """Work out every row."""
    return [*_relay_rows(), *_node_rows(), *_platform_rows()]


def _relay_rows() -> list[Row]:
    found = records('relay')
    relays = SLOTS * DOMAINS
    fed = (NODES - relays) / relays
    links = fed + relays - 1

    def at(key: str, count: float) -> float:
        base, slope = fit([(r['subscribers'], r[key]) for r in found])
        return base + slope * count

    cpu = at('idle_cpu_percent', links)
    cpu += at('cpu_ms_per_change', fed) * CHANGES_PER_S / 10
    offer = found[0]['sent_bytes_per_change'] + REF_BYTES * (TEAMS - 1)
    sent = at('idle_sent_bytes_per_s', links)
    sent += offer * fed * CHANGES_PER_S
    memory = at('rss_mb', links) + _members_mb()
    push = at('push_max_s', fed)
    return [
        Row('relay', f'processor time, {fed:.0f} nodes and {relays - 1} '
            'relays linked', cpu, CPU_PERCENT, '% of a core',
            '`distribution.hub`, `peers.connection`'),
        Row('relay', 'bytes sent, mean over a day', sent, BYTES_PER_S, 'B/s',
            '`distribution.hub`: only new documents'),
        Row('relay', 'bytes received from the platform for leases',
            relays * LEASE_BYTES * 3 / LEASE_S, BYTES_PER_S, 'B/s',
            '`distribution.duty`'),
        Row('relay', 'resident memory', memory, MEMORY_MB, 'MB',
            '`membership.table`, `configuration.store`'),
        Row('relay', 'push of a change to all nodes it feeds', push,
            CONVERGENCE_S, 's', '`distribution.hub`'),
    ]  # fmt: skip


def _members_mb() -> float:
    base, slope = fit([(r['targets'], r['rss_mb']) for r in records('memory')])
    return slope * NODES


def _node_rows() -> list[Row]:
    added = records('added_latency')[-1]
    largest = max(records('convergence'), key=lambda r: r['nodes'])
    relay = records('relay')[0]
    base, _ = fit([(r['targets'], r['rss_mb']) for r in records('memory')])
    entry, target = added['node_cpu_us_per_call']
    calls = CALLS_PER_S / NODES
    offer = relay['sent_bytes_per_change'] + REF_BYTES * (TEAMS - 1)
    return [
        Row('node', 'processor time for control',
            largest['idle']['cpu_percent_mean'], CPU_PERCENT, '% of a core',
            '`distribution.feed`, `peers.connection`'),
        Row('node', 'bytes received for control',
            largest['idle']['received_bytes_per_s_mean']
            + offer * CHANGES_PER_S, BYTES_PER_S, 'B/s',
            '`distribution.feed`'),
        Row('node', 'resident memory with 3,400 targets and 100 services',
            base + _members_mb(), MEMORY_MB, 'MB',
            '`membership.table`, `configuration.snapshot`'),
        Row('node', f'processor time for {calls:.0f} calls/s in and as many '
            'at the target', calls * (entry + target) / 1e4, 100.0,
            '% of a core', '`callers.front`, `targets.client`'),
        Row('node', 'time added to a call, 99 in 100',
            added['added_p99_ms'], ADDED_MS, 'ms', '`routing.dispatcher`'),
        Row('all nodes', 'a change in force everywhere (48 nodes, measured)',
            largest['max_s'], CONVERGENCE_S, 's',
            '`distribution.watcher`, `distribution.hub`'),
    ]  # fmt: skip


def _platform_rows() -> list[Row]:
    relays = SLOTS * DOMAINS
    periods = 3 / LEASE_S
    watches = relays / WATCH_S + relays * CHANGES_PER_S
    reads = relays * (periods + 2 * CHANGES_PER_S) + watches + RESTARTS_PER_S
    writes = relays * periods + 2 * CHANGES_PER_S
    herd = NODES / 2.0 + relays
    return [
        Row('platform', 'reads, watches among them', reads, READS_PER_S,
            '/s', '`distribution.duty`: relays only'),
        Row('platform', 'watches that wait at one time', relays, READS_PER_S,
            '', '`distribution.watcher`: relays only'),
        Row('platform', 'writes', writes, WRITES_PER_S, '/s',
            '`distribution.lease`, `configuration.commands`'),
        Row('platform', 'reads while all nodes restart at once', herd,
            READS_PER_S, '/s', '`distribution.duty`: jitter at the start'),
    ]  # fmt: skip


def computed() -> str:
    """Return the table that belongs between the marks of the page."""
    lines = [
        '| role | what | at full size | bound | verdict | carried by |',
        '| --- | --- | --- | --- | --- | --- |',
        *(row.line() for row in rows()),
    ]
    return '\n'.join(lines)


def page_with(table: str) -> str:
    """Return the page with another table between its marks."""
    text = PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f'{head}{BEGIN}\n\n{table}\n\n{END}{tail}'


def main() -> None:
    """Write or check the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    args = parser.parse_args()
    page = page_with(computed())
    is_same = page == PAGE.read_text()
    if not args.check:
        PAGE.write_text(page)
    print(json.dumps({'rows': len(rows()), 'was_up_to_date': is_same}))
    if args.check and not is_same:
        sys.exit(1)


if __name__ == '__main__':
    main()
