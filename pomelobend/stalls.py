"""Notices when the event loop was held up.

A loop that gets no processor time handles signals, requests and answers late,
and no other log line tells.
"""

from __future__ import annotations

import collections
import math
import typing

import attrs
import structlog

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

logger = structlog.get_logger('node')

INTERVAL_S = 0.25

NOTICEABLE_S = 0.2
"""Delay from which on a stall is logged."""

HELD_UP_S = 0.05
"""Delay from which on a signal may have come some time ago."""

RECENT_S = 5.0
"""Time for which a stall is told with other events."""

MAX_RECENT = 16


@attrs.define(eq=False)
class StallWatch:
    """Measures how late a periodic task runs.

    Parameters
    ----------
    count : int
        Number of stalls so far.
    longest_s : float
        The longest of them.
    due : float
        Monotonic time at which the task should run next.
    recent : deque of tuple of float
        Monotonic time of the ends, and length in s, of the last stalls.
    """

    clock: clocks.Clock
    count: int = 0
    longest_s: float = 0.0
    due: float = math.inf
    recent: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.due = self.clock.monotonic() + INTERVAL_S
            await self.clock.sleep(INTERVAL_S)
            self.note(self.clock.monotonic() - self.due)

    def note(self, late_s: float) -> None:
        """Count and log a delay in s if it is noticeable."""
        if late_s < NOTICEABLE_S:
            return
        self.count += 1
        self.recent.append((self.clock.monotonic(), late_s))
        self.longest_s = max(self.longest_s, late_s)
        logger.warning(
            'node: event loop was held up', late_ms=round(late_s * 1000)
        )

    def earliest(self, noted_at: float) -> float:
        """Return the earliest time at which a signal may have come.

        It is the time at which the signal is noted, unless the loop is held
        up until then: a process that gets no processor time notes it late.
        """
        if noted_at - self.due < HELD_UP_S:
            return noted_at
        ran_at = max(self.due - INTERVAL_S, self.clock.read_at)
        return min(ran_at, noted_at)

    def recent_ms(self) -> int:
        """Return the longest recent stall in ms, one that ends now included.

        It is 0 if there was none that is noticeable.
        """
        now = self.clock.monotonic()
        lengths = [s for ended, s in self.recent if now - ended <= RECENT_S]
        longest_s = max([now - self.due, *lengths])
        return round(longest_s * 1000) if longest_s >= NOTICEABLE_S else 0
