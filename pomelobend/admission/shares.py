"""Shares of the calls of each priority that a target has served lately."""

from __future__ import annotations

import collections

import attrs

HALF_LIFE_S = 5.0
"""Half-life of the weight of a call."""

LEAST_SHARE = 0.4
"""Share served of a priority, relative to that of all calls, below which it
counts as starved. Users want a quarter, over calls of all targets."""


@attrs.define
class ServedShares:
    """Decayed counts of offered and served calls by priority.

    A target that is short of slots would otherwise serve nothing but its most
    urgent calls once these alone exceed its capacity.
    """

    offered: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)
    counted_at: float = 0.0

    def note_offered(self, priority: int, now: float) -> None:
        """Count a call that wants a slot."""
        self._decay(now)
        self.offered[priority] += 1.0

    def note_served(self, priority: int) -> None:
        """Count a call that gets a slot."""
        self.served[priority] += 1.0

    def effective_priority(self, priority: int) -> int:
        """Return the priority of a call, the most urgent one if starved."""
        return min(self.offered) if self._is_starved(priority) else priority

    def _is_starved(self, priority: int) -> bool:
        share = self.served[priority] / self.offered[priority]
        total = self.served.total() / self.offered.total()
        return share < LEAST_SHARE * total

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_S)
        self.counted_at = now
        for counts in (self.offered, self.served):
            for priority in counts:
                counts[priority] *= factor
