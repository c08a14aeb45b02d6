"""Callers that have closed their sending side while replies are due.

The end of their stream looks the same whether they read on or have closed the
connection. What is sent to a closed one is answered with a reset, so interim
responses, which callers of HTTP/1.1 skip, tell the two apart after a round
trip. See docs/design/half-closed-callers.md.
"""

from __future__ import annotations

import asyncio
import typing

from pomelobend.http import message
from pomelobend import sockets

CHECK_INTERVAL_S = 0.02
"""Interval between checks for a reset, which the event loop does not report
after the end of the stream."""

SETTLE_S = 1.5 * CHECK_INTERVAL_S
"""Time from the end of a stream until the first check has been made."""

CHECKS_PER_PROBE = 12
"""Checks between two interim responses; a caller may leave at any time."""


class HalfClose:
    """Ends a connection as soon as its caller turns out to have left.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection, whose stream has ended.
    """

    def __init__(self, transport: typing.Any) -> None:
        self.transport = transport
        self.checks = 0
        self._probe()
        self._schedule()

    def cancel(self) -> None:
        """Stop the checks, as the connection has ended."""
        self.timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self.transport.is_closing():
            return
        if sockets.is_reset(self.transport):
            self.transport.abort()
            return
        self.checks += 1
        if self.checks % CHECKS_PER_PROBE == 0:
            self._probe()
        self._schedule()

    def _probe(self) -> None:
        """Send an interim response unless other output is waiting."""
        if not self.transport.get_write_buffer_size():
            self.transport.write(message.CONTINUE)
