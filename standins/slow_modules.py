"""A node whose modules take long to load, as on a machine that is busy.

The time for each module of the project is named in the environment.
"""

from __future__ import annotations

import os
import sys
import time

from pomelobend.cmd import sidecar

SECONDS = 'STANDIN_SECONDS_A_MODULE'


class Delay:
    """Waits before each module of the project is looked for."""

    def find_spec(self, name: str, *_args: object) -> None:
        """Wait, and let others find the module."""
        if name.startswith('pomelobend.'):
            time.sleep(float(os.environ[SECONDS]))


def main() -> int:
    """Run the node and return its exit code."""
    sys.meta_path.insert(0, Delay())
    return sidecar.main()


if __name__ == '__main__':
    sys.exit(main())
