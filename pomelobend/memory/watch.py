"""Reports how much memory a node uses, and what it holds for others.

A process above its limit is killed and logs nothing more, so that the lines
before have to tell.
"""

from __future__ import annotations

import os
import pathlib
import typing

import attrs
import structlog

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks

logger = structlog.get_logger('memory')

INTERVAL_S = 0.25

FIRST_SHARE = 0.5
"""Share of the memory that the node may use from which on it is reported."""

STEP = 1.1
"""Factor by which the memory grows from one report to the next."""

SHRUNK = 0.8
"""Share of the last report below which the next growth is reported anew."""

UNKNOWN_LIMIT_BYTES = 128 * 1024 * 1024
"""Limit against which a node reports that does not know its own."""

PAGES = pathlib.Path('/proc/self/statm')
"""File of Linux with the sizes of this process in pages; the second number
counts those in memory."""


@attrs.define(eq=False)
class MemoryWatch:
    """Logs when the memory of this process grows, and what it holds.

    Parameters
    ----------
    clock : Clock
    limit_bytes : int
        Memory that the process may use, 0 if unknown.
    held_bytes : callable
        Returns the bytes that are held for others, by place.
    read_bytes : callable
        Returns the memory that the process uses.
    used_bytes, peak_bytes : int
        That memory at the last look, and the most at any look.
    reported_bytes : float
        Memory from which on the next growth is reported.
    """

    clock: clocks.Clock
    limit_bytes: int
    held_bytes: abc.Callable[[], dict[str, int]]
    read_bytes: abc.Callable[[], int] = attrs.field(
        default=lambda: resident_bytes()
    )
    used_bytes: int = 0
    peak_bytes: int = 0
    reported_bytes: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Set the memory from which on growth is reported."""
        self.reported_bytes = self._first_bytes()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.look()
            await self.clock.sleep(INTERVAL_S)

    def look(self) -> None:
        """Read the memory of this process; log it if it has grown much."""
        self.used_bytes = self.read_bytes()
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if self.used_bytes >= self.reported_bytes:
            self.reported_bytes = STEP * self.used_bytes
            self._report()
        elif self.used_bytes < SHRUNK * self.reported_bytes / STEP:
            self.reported_bytes = max(
                self._first_bytes(), STEP * self.used_bytes
            )

    def _first_bytes(self) -> float:
        return FIRST_SHARE * (self.limit_bytes or UNKNOWN_LIMIT_BYTES)

    def _report(self) -> None:
        held = self.held_bytes()
        logger.warning(
            'memory: the node uses more memory',
            used_kb=self.used_bytes // 1024,
            limit_kb=self.limit_bytes // 1024,
            held_kb={place: size // 1024 for place, size in held.items()},
        )


def resident_bytes() -> int:
    """Return the memory that this process uses, 0 where that is not told."""
    try:
        pages = int(PAGES.read_bytes().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE')
