"""Build the one file that is shipped: ``python -m tools.build FILE``."""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
UNPACKED = '/dev/shm/pomelobend'
"""Folder, backed by memory, into which the file unpacks its libraries."""


def main() -> None:
    """Build the file."""
    output = pathlib.Path(sys.argv[1])
    output.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        [
            sys.executable, '-m', 'shiv',
            '--console-script', 'pomelobend',
            '--output-file', str(output),
            '--python', '/usr/bin/env python3.11',
            '--root', UNPACKED,
            '--reproducible',
            '--requirement', str(ROOT / 'requirements.txt'),
            str(ROOT),
        ],
        check=True,
        cwd=ROOT,
    )  # fmt: skip


if __name__ == '__main__':
    main()
