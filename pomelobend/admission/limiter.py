"""How many calls the local target may run at one time."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

COLD_LIMIT = 1.0
"""Calls at one time for a target that has just started."""

SLOW_FACTOR = 3.0
"""Latency, against its long-run mean, that marks a target as overloaded."""

BACK_OFF = 0.7
"""Factor on the limit after a sign of overload."""

FAST_SHARE = 0.2
"""Weight of a new latency in the short-run mean."""

LONG_SHARE = 0.01
"""Weight of a new latency in the long-run mean."""

BACK_OFF_INTERVAL_S = 0.2
"""Shortest time between two reductions of the limit."""


@attrs.define
class Limiter:
    """An adaptive limit between one call and the slots of the target.

    A cold target begins with one call at a time, and its ceiling rises to
    all of its slots over the time of a slow start. Below the ceiling the
    limit falls when the target sheds load or turns slow, and rises again by
    one call for each limit's worth of good answers.
    """

    clock: clocks.Clock
    slow_start_s: float
    slots: int = 0
    limit: float = COLD_LIMIT
    ceiling_from: float = 0.0
    reduced_at: float = 0.0
    fast: float = 0.0
    long: float = 0.0

    def start(self, slots: int) -> None:
        """Begin with a target that has just started."""
        self.slots = slots
        self.limit = max(COLD_LIMIT, slots)
        self.fast = self.long = 0.0
        self.ceiling_from = self.clock.monotonic()

    @property
    def current(self) -> int:
        """Return how many calls may run now."""
        return max(1, int(min(self.limit, self._ceiling())))

    def note_success(self, latency_s: float) -> None:
        """Take up a whole answer and the time it took."""
        self.fast = _mean(self.fast, latency_s, FAST_SHARE)
        self.long = _mean(self.long, latency_s, LONG_SHARE)
        if self.long and self.fast > self.long * SLOW_FACTOR:
            self._reduce()
        else:
            self.limit = min(self.slots, self.limit + 1.0 / self.limit)

    def note_overload(self) -> None:
        """Take up that the target shed a call or failed it."""
        self._reduce()

    def note_cold(self) -> None:
        """Take up that the target has turned cold again."""
        self.start(self.slots)

    def _reduce(self) -> None:
        now = self.clock.monotonic()
        if now - self.reduced_at >= BACK_OFF_INTERVAL_S:
            self.reduced_at = now
            self.limit = max(1.0, self.limit * BACK_OFF)

    def _ceiling(self) -> float:
        """Return the limit that the slow start allows at this moment."""
        if self.slow_start_s <= 0:
            return self.slots
        age = self.clock.monotonic() - self.ceiling_from
        share = min(1.0, age / self.slow_start_s)
        return COLD_LIMIT + share * max(0.0, self.slots - COLD_LIMIT)


def _mean(mean: float, value: float, share: float) -> float:
    return value if mean == 0 else mean + share * (value - mean)
