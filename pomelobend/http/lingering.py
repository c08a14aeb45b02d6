"""Lingering close: a connection ends without loss of its last reply.

If a connection is closed with unread input, the kernel resets it and drops
what the client has not received yet.
"""

from __future__ import annotations

import asyncio
import time
import typing

from pomelobend import sockets

PAUSE_S = 1.5
"""Time without input after which a connection is closed."""

STOP_PAUSE_S = 0.5
"""Time without input after which a connection does not hold up a stop."""

MAX_S = 5.0
"""Longest time after the last byte of the reply."""

CHECK_INTERVAL_S = 0.25
"""Interval between checks of a connection."""

MAX_BYTES = 16 * 1024 * 1024
"""Largest size of the input that is read and dropped."""


class Linger:
    """The end of a connection after its last reply was written.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection. Its sending side is shut down after
        pending output was sent.
    """

    def __init__(self, transport: typing.Any) -> None:
        self.transport = transport
        self.dropped_bytes = 0
        self.input_at = time.monotonic()
        self.ends_at = self.input_at + MAX_S
        self.timer: asyncio.TimerHandle | None = None
        if transport.is_closing():
            return
        transport.write_eof()
        self._schedule()

    def drop(self, data: bytes) -> None:
        """Count input; close the connection if it is too much."""
        self.dropped_bytes += len(data)
        self.input_at = time.monotonic()
        if self.dropped_bytes > MAX_BYTES:
            self.transport.close()

    @property
    def holds_stop(self) -> bool:
        """Return whether the client has sent a moment ago."""
        return self._has_input_since(time.monotonic() - STOP_PAUSE_S)

    def cancel(self) -> None:
        """Stop the checks, as the connection has ended."""
        if self.timer is not None:
            self.timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Close the connection after its time, or if no input comes."""
        now = time.monotonic()
        if self.transport.get_write_buffer_size():
            self.input_at = now
            self.ends_at = now + MAX_S
        elif now > self.ends_at or not self._has_input_since(now - PAUSE_S):
            self.transport.close()
            return
        self._schedule()

    def _has_input_since(self, time_s: float) -> bool:
        """Return whether input came since a time, or waits."""
        return self.input_at > time_s or sockets.has_input(self.transport)
