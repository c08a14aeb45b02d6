"""A node that other nodes reach through a proxy.

The node announces its ``inbound`` address, at which the proxy listens, and
opens the address named in the environment instead.
"""

from __future__ import annotations

import os
import sys

from pomelobend import addresses
from pomelobend.cmd import sidecar

ANNOUNCED = 'SOAK_ANNOUNCED'

OPENED = 'SOAK_OPENED'


def environment(announced: str, opened: str) -> dict[str, str]:
    """Return the environment variables that name both addresses."""
    return {ANNOUNCED: announced, OPENED: opened}


def main() -> int:
    """Run the node and return its exit code."""
    bind = addresses.bind
    opened = {os.environ[ANNOUNCED]: os.environ[OPENED]}
    addresses.bind = lambda address: bind(opened.get(address, address))
    return sidecar.main()


if __name__ == '__main__':
    sys.exit(main())
