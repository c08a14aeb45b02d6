"""Notices when the event loop was held up.

A loop that gets no processor time handles signals, requests and answers late,
and no other log line tells.
"""

from __future__ import annotations

import typing

import attrs
import structlog

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

logger = structlog.get_logger('node')

INTERVAL_S = 0.5

NOTICEABLE_S = 0.2
"""Delay from which on a stall is logged."""


@attrs.define(eq=False)
class StallWatch:
    """Measures how late a periodic task runs.

    Parameters
    ----------
    count : int
        Number of stalls so far.
    longest_s : float
        The longest of them.
    """

    clock: clocks.Clock
    count: int = 0
    longest_s: float = 0.0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            due = self.clock.monotonic() + INTERVAL_S
            await self.clock.sleep(INTERVAL_S)
            self.note(self.clock.monotonic() - due)

    def note(self, late_s: float) -> None:
        """Count and log a delay in s if it is noticeable."""
        if late_s < NOTICEABLE_S:
            return
        self.count += 1
        self.longest_s = max(self.longest_s, late_s)
        logger.warning(
            'node: event loop was held up', late_ms=round(late_s * 1000)
        )
