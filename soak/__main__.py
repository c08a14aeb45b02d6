"""Run a soak: ``python -m soak --seed N --seconds S``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from soak import run


def main() -> int:
    """Parse arguments and run a soak.

    Return 1 if it found a problem, and 2 if it was late and so shows nothing.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, required=True)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--nodes', type=int, default=6)
    parser.add_argument('--mix', choices=sorted(run.MIXES), default='stops')
    parser.add_argument(
        '--keep', type=pathlib.Path, default=pathlib.Path('soak-logs')
    )
    parser.add_argument(
        '--callers', type=int, default=0, help='callers of each VM'
    )
    args = parser.parse_args()
    result = asyncio.run(
        run.play(
            args.mix,
            args.seed,
            args.seconds,
            args.nodes,
            args.keep,
            args.callers,
        )
    )
    print(result.report)
    return result.exit_code


if __name__ == '__main__':
    sys.exit(main())
