"""Signals that reach the process before the node can handle them.

Without a handler they would end the process, with the calls that its sockets
have accepted. The module imports next to nothing, as the time until the
handlers are set counts.
"""

from __future__ import annotations

import signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_received: list[int] = []


def hold() -> None:
    """Hold back the signals from now on."""
    for number in HANDLED:
        signal.signal(number, lambda number, _: _received.append(number))


def take() -> frozenset[int]:
    """Return the signals that were held back, and forget them."""
    taken = frozenset(_received)
    _received.clear()
    return taken
