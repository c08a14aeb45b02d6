"""Load test of a new version: a few targets get their part of all calls.

A version may fail only under load. The load of a target shows this, while the
limit on exposure counts the calls of the service. So the calls that the limit
leaves go to as few targets as they load fully, to others in turn.
"""

from __future__ import annotations

import itertools
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

MAX_DURATION_S = 5.0
"""Longest duration. Targets have warmed up before it begins, and most of its
outcomes still count as recent at its end."""

MIN_DURATION_S = 1.0
"""Remaining time from which no more targets are loaded than one."""

TURN_S = 2.5
"""Time for which the same targets are loaded, several times that of a call.
Two turns tell a bad version from a single bad target."""


@attrs.frozen
class LoadTest:
    """Targets that are loaded fully for the rest of a load test.

    Parameters
    ----------
    targets : int
        Number of targets of the new version.
    loaded : int
        Number of targets that are loaded at a time; 0 if there is no test.
    seconds_left : float
        Time until the end of the test.
    """

    targets: int
    loaded: int
    seconds_left: float

    @classmethod
    def plan(
        cls,
        targets: int,
        calls_left: float,
        calls_per_s: float,
        seconds_left: float,
    ) -> LoadTest:
        """Plan the rest of the test.

        Parameters
        ----------
        targets : int
            Number of targets of the new version.
        calls_left : float
            Number of calls that the new version may get during the test.
        calls_per_s : float
            Rate of the calls of the service.
        seconds_left : float
            Time until the end of the test.
        """
        calls = calls_per_s * seconds_left
        if not 0.0 < seconds_left <= MAX_DURATION_S or calls <= 0.0:
            return cls(targets, 0, seconds_left)
        affordable = max(0.0, calls_left) / calls * targets
        if seconds_left < MIN_DURATION_S:
            affordable = min(affordable, 1.0)
        loaded = min(targets, math.floor(affordable))
        return cls(targets, loaded, seconds_left)

    @property
    def share(self) -> float:
        """Return the share of all calls that the loaded targets get."""
        return self.loaded / self.targets if self.targets else 0.0

    def select(self, nodes: abc.Sequence[str]) -> frozenset[str]:
        """Return the nodes of the targets whose turn it is.

        Parameters
        ----------
        nodes : sequence of str
            Nodes of all targets of the new version, in the same order at
            every caller.
        """
        turn = math.floor(self.seconds_left / TURN_S)
        start = turn * self.loaded % max(1, len(nodes))
        cycle = itertools.cycle(nodes)
        return frozenset(itertools.islice(cycle, start, start + self.loaded))
