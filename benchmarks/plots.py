"""Draw the recorded measurements: ``python -m benchmarks plots``."""

from __future__ import annotations

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from benchmarks import capacity  # noqa: E402


def convergence() -> None:
    """Draw the time until a change is in force, by the number of nodes."""
    found = capacity.records('convergence')
    nodes = [r['nodes'] for r in found]
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for key in ('p50_s', 'max_s'):
        axes.plot(nodes, [r[key] for r in found], marker='o', label=key)
    axes.set(
        xlabel='nodes',
        ylabel='seconds (polling included)',
        title='A change in force at the last node; bound 13 s',
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(capacity.RECORDS / 'convergence.png', dpi=90)


def relay() -> None:
    """Draw what a relay spends, by the number of its subscribers."""
    found = capacity.records('relay')
    count = [r['subscribers'] for r in found]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(8, 3.5))
    left.plot(count, [r['idle_cpu_percent'] for r in found], marker='o')
    left.axhline(capacity.CPU_PERCENT, linestyle='--', color='gray')
    left.set(xlabel='subscribers', ylabel='% of a core, idle')
    right.plot(count, [r['rss_mb'] for r in found], marker='o')
    right.axhline(capacity.MEMORY_MB, linestyle='--', color='gray')
    right.set(xlabel='subscribers', ylabel='resident MB', ylim=(0, 140))
    figure.suptitle('One relay; dashed: bounds')
    figure.tight_layout()
    figure.savefig(capacity.RECORDS / 'relay.png', dpi=90)


def overload() -> None:
    """Draw goodput before, during and after overload, and the baseline's."""
    found = capacity.records('overload')[-1]
    phases = list(found['policy'])
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for offset, policy in ((-0.2, 'policy'), (0.2, 'baseline')):
        axes.bar(
            [index + offset for index in range(len(phases))],
            [found[policy][p]['goodput_of_possible'] for p in phases],
            width=0.4,
            label=policy,
        )
    axes.axhline(found['target_goodput'], linestyle='--', color='gray')
    axes.set_xticks(range(len(phases)), phases)
    axes.set(ylabel='goodput, share of possible', title='Overload by 3x')
    axes.legend()
    figure.tight_layout()
    figure.savefig(capacity.RECORDS / 'overload.png', dpi=90)


def main() -> None:
    """Draw all plots."""
    convergence()
    relay()
    overload()


if __name__ == '__main__':
    main()
