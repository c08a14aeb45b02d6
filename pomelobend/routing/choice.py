"""Choosing the target of a call."""

from __future__ import annotations

import random
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.configuration import snapshot as snapshots
    from pomelobend.membership import table as tables

from pomelobend.membership import member as members

SPILL_LOAD = 0.9
"""Load of the near targets above which calls go to other domains."""

SPILL_MARGIN = 0.2
"""By how much a far target must be less loaded than a near one."""

EJECTED_S = 2.0
"""Time for which a target is left out after its first failures."""

EJECTED_LONGEST_S = 30.0
"""Longest time for which a target is left out."""

FAILURES = 3
"""Failures in a row after which a target is left out."""

EJECTED_SHARE = 0.5
"""Share of the targets of a service that may be left out."""


@attrs.define
class View:
    """What this node has itself seen of one target."""

    incarnation: int
    in_flight: int = 0
    free: int | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def load(self, slots: int) -> float:
        """Return the share of the slots that is in use, as far as known."""
        slots = max(1, slots)
        reported = 0 if self.free is None else max(0, slots - self.free)
        return max(self.in_flight, reported) / slots


@attrs.define
class Chooser:
    """Chooses by what this node sees, near targets first.

    Of two targets picked at random the less loaded one gets the call. What
    calls themselves show outranks what a target claims of its health.
    """

    node: str
    domain: str
    table: tables.Table
    clock: clocks.Clock
    views: dict[str, View] = attrs.field(factory=dict)
    random: random.Random = attrs.field(factory=random.Random)

    def choose(
        self,
        snapshot: snapshots.Snapshot,
        route: snapshots.BoundRoute,
        tried: abc.Container[str],
    ) -> members.Member | None:
        """Return a target for a call, or none where there is none."""
        candidates = [
            item
            for item in self.table.of_service(route.service.name)
            if item.state is members.State.SERVING
            and item.version in route.service.versions
            and item.domain not in snapshot.withdrawn
            and item.node not in tried
        ]
        candidates = self._without_ejected(candidates)
        if not candidates:
            return None
        near = [item for item in candidates if item.domain == self.domain]
        if not near:
            return self._less_loaded(candidates)
        return self._near_or_far(near, candidates)

    def view(self, item: members.Member) -> View:
        """Return what has been seen of a target in its present life."""
        view = self.views.get(item.node)
        if view is None or view.incarnation != item.incarnation:
            view = self.views[item.node] = View(item.incarnation)
        return view

    def note_success(self, view: View) -> None:
        """Take up that a target has answered."""
        view.failures = 0
        view.ejections = 0

    def note_failure(self, view: View) -> None:
        """Take up that a target could not be reached or was lost."""
        view.failures += 1
        if view.failures >= FAILURES:
            span = min(EJECTED_S * 2**view.ejections, EJECTED_LONGEST_S)
            view.ejections = min(view.ejections + 1, 8)
            view.failures = 0
            view.ejected_until = self.clock.monotonic() + span

    def forget(self, record: members.Member, is_present: bool) -> None:
        """Drop what was seen of a target that is gone."""
        if not is_present:
            self.views.pop(record.node, None)

    def _without_ejected(
        self, candidates: list[members.Member]
    ) -> list[members.Member]:
        now = self.clock.monotonic()
        kept = [
            item
            for item in candidates
            if item.node not in self.views
            or self.views[item.node].ejected_until <= now
        ]
        if len(kept) < len(candidates) * (1 - EJECTED_SHARE):
            return candidates
        return kept

    def _near_or_far(
        self, near: list[members.Member], candidates: list[members.Member]
    ) -> members.Member:
        local = next((i for i in near if i.node == self.node), None)
        if local is not None and self._load(local) < SPILL_LOAD:
            return local
        best = self._less_loaded(near)
        if self._load(best) < SPILL_LOAD or len(near) == len(candidates):
            return best
        far = [item for item in candidates if item.domain != self.domain]
        other = self._less_loaded(far)
        if self._load(other) + SPILL_MARGIN < self._load(best):
            return other
        return best

    def _less_loaded(self, group: list[members.Member]) -> members.Member:
        if len(group) == 1:
            return group[0]
        return min(self.random.sample(group, 2), key=self._load)

    def _load(self, item: members.Member) -> float:
        view = self.views.get(item.node)
        return 0.0 if view is None else view.load(item.slots)
