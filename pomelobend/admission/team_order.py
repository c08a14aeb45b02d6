"""Order in which waiting calls of different teams start.

Weighted fair queueing over the teams that wait: the tag of a call is the
virtual time at which its team would begin to use a slot if each team had an
equal share of the slot time. A team that sends more than its share gets ever
later tags, so its calls wait behind those of other teams. A team that was idle
starts at the current virtual time: it has neither credit nor debt. Calls whose
tag has been reached by the virtual time start by their due times.

Equal shares alone would serve a team hardly ever if it sends many times its
share. A team that was served much less often than all teams gets the current
virtual time as its tag until that is no longer so.

Calls without a team form one flow. Nothing is stored until the first call of a
team arrives.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend.routing import call as calls

MAX_FLOWS = 10_000
"""Maximum number of flows with an entry; an entry takes about 300 bytes."""

IDLE_S = 30.0
"""Time without calls after which the entry of a flow is evicted. By then its
counts have lost 98 percent of their weight."""

HALF_LIFE_S = 5.0
"""Half-life of the weight of a call in the counts of offered and served."""

LEAST_SHARE = 0.3
"""Share served of a team, relative to that of all teams, below which it gets
the current virtual time. A quarter is required over all targets."""

BURST_RUNS = 12.0
"""Lead of a team over its share, in runs of a call, without effect on its
tags, so that calls within the share are not late by chance bursts."""

ADVANCE_SHARE = 0.7
"""Factor of the virtual time. The teams that compete are more than those that
wait at one moment, so that the time would advance too fast with 1: a flooding
team would take 5 percent of the calls of others at 6 slots. With 0.3, teams
within their share lose 2 percent without any flood (``docs/design/teams.md``).
"""

Level = tuple[bool, int]
"""Calls that compete by team: whether they are nested, and their priority."""

FlowKey = tuple[bool, int, str]
"""A level and a team; the team is empty for calls without one."""


@attrs.define(eq=False)
class Counts:
    """Decayed counts of offered and served calls."""

    offered: float = 0.0
    served: float = 0.0
    counted_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weights of earlier calls."""
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_S)
        self.offered *= factor
        self.served *= factor
        self.counted_at = now


@attrs.define(eq=False)
class Flow(Counts):
    """The calls of one team at one level.

    ``finish`` is the virtual time in s of slot time at which the calls that
    the team has queued so far would have used its share.
    """

    finish: float = 0.0


@attrs.define(eq=False)
class TeamOrder:
    """Virtual times of levels, and flows of teams in order of their last use.

    Parameters
    ----------
    times : dict
        Virtual time by level, in s of slot time of each team that waits.
    totals : dict
        Counts of all flows by level.
    """

    flows: dict[FlowKey, Flow] = attrs.field(factory=dict)
    times: dict[Level, float] = attrs.field(factory=dict)
    totals: dict[Level, Counts] = attrs.field(factory=dict)
    max_flows: int = MAX_FLOWS

    @property
    def is_used(self) -> bool:
        """Return whether calls of teams have arrived."""
        return bool(self.flows)

    def note_offered(self, call: calls.Call, now: float) -> None:
        """Count a call that wants a slot."""
        if not call.team and not self.flows:
            return
        key = (call.is_nested, call.priority, call.team)
        total = self.totals.setdefault(key[:2], Counts(counted_at=now))
        flow = self._use(key, now)
        for counts in (flow, total):
            counts.decay(now)
            counts.offered += 1.0
        self._evict(now)

    def note_served(self, call: calls.Call) -> None:
        """Count a call that gets a slot."""
        if not self.flows:
            return
        flow = self.flows.get((call.is_nested, call.priority, call.team))
        if flow is not None:
            flow.served += 1.0
            self.totals[call.is_nested, call.priority].served += 1.0

    def next_tag(self, call: calls.Call, priority: int, run_s: float) -> float:
        """Return the tag of a new call of a team.

        Parameters
        ----------
        call : Call
        priority : int
            Priority of the call in the queue.
        run_s : float
            Expected run time in s.
        """
        time = self.times.get((call.is_nested, priority), 0.0)
        flow = self.flows.get((call.is_nested, priority, call.team))
        if flow is None or self._is_starved(call):
            return time
        return max(time, flow.finish - BURST_RUNS * run_s)

    def charge(
        self, call: calls.Call, priority: int, run_s: float, now: float
    ) -> None:
        """Charge a team for a queued call, by its expected run time in s."""
        key = (call.is_nested, priority, call.team)
        flow = self.flows.get(key) or self._use(key, now)
        flow.finish = max(self.times.get(key[:2], 0.0), flow.finish) + run_s

    def refund(self, call: calls.Call, priority: int, run_s: float) -> None:
        """Cancel the charge for a call that leaves the queue without a run."""
        flow = self.flows.get((call.is_nested, priority, call.team))
        if flow is not None:
            flow.finish -= run_s

    def note_started(
        self,
        call: calls.Call,
        priority: int,
        tag: float,
        run_s: float,
        teams: int,
    ) -> float:
        """Return the virtual time as a queued call starts.

        Parameters
        ----------
        call : Call
        priority : int
            Priority of the call in the queue.
        tag : float
        run_s : float
            Expected run time in s.
        teams : int
            Number of teams with calls in the queue at that level.
        """
        level = (call.is_nested, priority)
        passed_s = ADVANCE_SHARE * run_s / teams
        time = max(self.times.get(level, 0.0) + passed_s, tag)
        self.times[level] = time
        return time

    def _is_starved(self, call: calls.Call) -> bool:
        flow = self.flows.get((call.is_nested, call.priority, call.team))
        if flow is None or not flow.offered:
            return False
        total = self.totals[call.is_nested, call.priority]
        share = total.served / total.offered
        return flow.served / flow.offered < LEAST_SHARE * share

    def _use(self, key: FlowKey, now: float) -> Flow:
        """Return a flow, which is now the last one used."""
        flow = self.flows.pop(key, None) or Flow(counted_at=now)
        self.flows[key] = flow
        return flow

    def _evict(self, now: float) -> None:
        """Evict the flows that were not used for long or are too many."""
        while self.flows:
            key, flow = next(iter(self.flows.items()))
            is_idle = now - flow.counted_at > IDLE_S
            if not is_idle and len(self.flows) <= self.max_flows:
                return
            del self.flows[key]
