"""Counters that cost little where they are counted."""

from __future__ import annotations

import collections

import attrs


@attrs.define
class Counters:
    """Counts by name and by reason, read out when metrics are asked for."""

    counts: collections.Counter = attrs.field(factory=collections.Counter)

    def add(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Add to the count of a name and a reason."""
        self.counts[name, reason] += amount

    def get(self, name: str, reason: str = '') -> int:
        """Return a count."""
        return self.counts[name, reason]
