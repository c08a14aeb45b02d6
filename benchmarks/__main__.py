"""Run one of the measurements: ``python -m benchmarks NAME [options]``."""

from __future__ import annotations

import importlib
import sys

NAMES = (
    'added_latency',
    'capacity',
    'convergence',
    'memory',
    'overload',
    'plots',
    'relay',
)


def main() -> None:
    """Run the measurement that is named first."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        sys.exit(f'usage: python -m benchmarks {{{",".join(NAMES)}}}')
    name = sys.argv.pop(1)
    importlib.import_module(f'benchmarks.{name}').main()


if __name__ == '__main__':
    main()
