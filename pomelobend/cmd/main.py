"""The command line ``pomelobend``."""

from __future__ import annotations

import sys

from pomelobend.cmd import base
from pomelobend.cmd import changes
from pomelobend.cmd import check
from pomelobend.cmd import node
from pomelobend.cmd import queries

COMMANDS = (node, check, changes, queries)
"""Modules whose commands are registered by their import."""


def main() -> None:
    """Run a command and exit with its code."""
    sys.exit(base.app(sys.argv[1:]))


if __name__ == '__main__':
    main()
