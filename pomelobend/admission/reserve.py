"""Slots that long calls leave to more urgent ones.

A slot that a long call of low priority has taken is not available to urgent
calls for as long as it runs, which may exceed their objectives. While urgent
calls find no free slot, long ones of lower priority may therefore use only the
slots that the usual number of urgent calls at the target leaves.
"""

from __future__ import annotations

import math

import attrs

MEAN_S = 5.0
"""Time over which arrivals are averaged, in s."""

OBJECTIVE_WEIGHT = 0.1
"""Weight of a new arrival in the moving mean of the objectives."""

HOLD_S = 10.0
"""Time after an urgent call had to wait for which slots are reserved. Shorter
times end the reserve between two bursts of long calls."""

MAX_SHARE = 0.7
"""Largest share of the slots that is reserved."""


@attrs.define
class Demand:
    """Demand for slots by the calls of one priority.

    Parameters
    ----------
    load : float
        Mean number of running calls that the arrivals amount to.
    objective_s : float
        Mean time that arriving calls have left to their objectives.
    """

    load: float
    objective_s: float


@attrs.define
class Reserve:
    """Learns from their arrivals how many slots urgent calls need.

    Arrivals that are refused count as well. The mean is reserved, without an
    addition for its spread, which would starve calls of low priority so that
    they are raised before the urgent ones.

    Parameters
    ----------
    demands : dict of int to Demand
        Demand by priority, as of ``updated_at``.
    updated_at : float
    held_until : float
        Monotonic time until which slots are reserved.
    """

    demands: dict[int, Demand] = attrs.field(factory=dict)
    updated_at: float = 0.0
    held_until: float = -math.inf

    def note_arrival(
        self, priority: int, run_s: float, objective_s: float, now: float
    ) -> None:
        """Record a call that wants a slot.

        Parameters
        ----------
        priority : int
        run_s : float
            Its expected run time in s.
        objective_s : float
            Time left to its objective in s.
        now : float
            Monotonic time.
        """
        factor = math.exp((self.updated_at - now) / MEAN_S)
        self.updated_at = now
        for known in self.demands.values():
            known.load *= factor
        demand = self.demands.get(priority)
        if demand is None:
            demand = self.demands[priority] = Demand(0.0, objective_s)
        demand.load += run_s / MEAN_S
        change_s = objective_s - demand.objective_s
        demand.objective_s += OBJECTIVE_WEIGHT * change_s

    def note_wait(self, now: float) -> None:
        """Record that a call found less urgent ones in all slots."""
        self.held_until = now + HOLD_S

    def size(self, priority: int, run_s: float, slots: int, now: float) -> int:
        """Return how many slots calls like one may not use.

        Slots are reserved for those more urgent calls whose objectives are
        shorter than its run time.

        Parameters
        ----------
        priority : int
            Priority of the call.
        run_s : float
            Its expected run time in s.
        slots : int
            Slots of the target.
        now : float
            Monotonic time.
        """
        if now >= self.held_until:
            return 0
        load = sum(
            demand.load
            for known, demand in self.demands.items()
            if known < priority and demand.objective_s < run_s
        )
        load *= math.exp((self.updated_at - now) / MEAN_S)
        return min(math.ceil(load), int(MAX_SHARE * slots))
