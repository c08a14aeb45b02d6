"""The local target, as its heartbeats tell."""

from __future__ import annotations

import collections
import typing

import attrs

from pomelobend import limits
from pomelobend.membership import heartbeat as heartbeats

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

MAX_MISSED_HEARTBEATS = 4
"""Number of missed heartbeats after which the target counts as absent."""

MAX_DEREGISTERED = 16
"""Number of deregistered target processes that are remembered, as a late
heartbeat of theirs may still arrive."""

State = heartbeats.State


@attrs.define(eq=False)
class Registration:
    """Knows which target runs in this VM, and in which state it is.

    Parameters
    ----------
    heartbeat_s : float
        Interval of heartbeats.
    heartbeat : Heartbeat or None
        The last heartbeat of the target, None without a target.
    deregistered : deque of tuple
        Target id and start time of targets that have deregistered.
    last_heartbeat_at : float
        Monotonic time of the last heartbeat.
    overdue : limits.Overdue
        Whether the next one is certainly missed.
    """

    clock: clocks.Clock
    heartbeat_s: float
    heartbeat: heartbeats.Heartbeat | None = None
    deregistered: collections.deque[tuple[str, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DEREGISTERED)
    )
    last_heartbeat_at: float = 0.0
    overdue: limits.Overdue = attrs.field(factory=limits.Overdue)

    @property
    def state(self) -> State:
        """Return the state of the target."""
        if self.heartbeat is None:
            return State.ABSENT
        silence_s = self.clock.monotonic() - self.last_heartbeat_at
        if (
            silence_s > MAX_MISSED_HEARTBEATS * self.heartbeat_s
            and self.overdue.is_certain(self.last_heartbeat_at)
        ):
            return State.ABSENT
        return self.heartbeat.state

    @property
    def slots(self) -> int:
        """Return the concurrency limit of the target."""
        return self.heartbeat.slots if self.heartbeat is not None else 0

    def accept(self, heartbeat: heartbeats.Heartbeat) -> bool:
        """Accept a heartbeat; return False for one that is ignored.

        Heartbeats that are outdated, or of a deregistered target, are ignored.
        """
        known = self.heartbeat
        is_same = known is not None and known.target == heartbeat.target
        if self.is_deregistered(heartbeat):
            return False
        if is_same and heartbeat.order < known.order:
            return False
        self.heartbeat = heartbeat
        self.last_heartbeat_at = self.clock.monotonic()
        return True

    def is_current(self, heartbeat: heartbeats.Heartbeat) -> bool:
        """Return whether a heartbeat is of the current target.

        The start time of a target that was resumed from the record in the
        store is unknown until its first heartbeat.
        """
        known = self.heartbeat
        return known is not None and (
            known.target == heartbeat.target
            and known.started_ms
            in (heartbeat.started_ms, heartbeats.START_UNKNOWN)
        )

    def is_deregistered(self, heartbeat: heartbeats.Heartbeat) -> bool:
        """Return whether a heartbeat is of a target that has deregistered."""
        return any(
            target == heartbeat.target and heartbeat.started_ms <= started_ms
            for target, started_ms in self.deregistered
        )

    def deregister(self, target: str, started_ms: int) -> bool:
        """Deregister a target and return whether it was the current one.

        Parameters
        ----------
        target : str
        started_ms : int
            Start time of the deregistered process, or a time at which it was
            running, in milliseconds since the epoch.
        """
        self.deregistered.append((target, started_ms))
        if self.heartbeat is None or not self.is_deregistered(self.heartbeat):
            return False
        self.heartbeat = attrs.evolve(self.heartbeat, state=State.DRAINING)
        return True
