"""When a node should take over the duty to report.

This only spares the store and the usage API; that no two nodes report
differently is up to ``duty.py``.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend.peers import messages
    from pomelobend.usage import counts as count_module

OVERDUE_S = 3.0
"""Time after the end of a window in which the holder records its report if it
knows the counts of all failure domains: it takes 0.5 to 2 s."""

RANK_S = 0.6
"""Time between the failure domains whose relays take over."""

ALIVE_S = 2.5
"""Time for which a holder that has told that it is at work is waited for."""

INCOMPLETE_MARGIN_S = 1.0
"""Time after which a holder that lacks counts must have recorded a report."""


@attrs.define
class HolderStatus:
    """What the holder has announced, and when.

    Parameters
    ----------
    revision, recorded, accepted : int
        As in ``messages.UsageLease``, of the newest revision.
    is_able : bool
    heard_at : float
        Monotonic time of the latest message.
    revision_at : float
        Monotonic time of the first message with that revision.
    """

    revision: int = 0
    recorded: int = 0
    accepted: int = 0
    is_able: bool = True
    heard_at: float = float('-inf')
    revision_at: float = float('-inf')

    def note(self, message: messages.UsageLease, now: float) -> None:
        """Note a message of the holder; one of an older record is ignored."""
        if message.revision < self.revision:
            return
        if message.revision > self.revision:
            self.revision, self.revision_at = message.revision, now
            self.accepted = 0
        self.recorded = message.recorded
        self.accepted = max(self.accepted, message.accepted)
        self.is_able = message.is_able
        self.heard_at = now


@attrs.frozen
class Plan:
    """When a relay takes over the duty.

    Parameters
    ----------
    windows : Windows
    recorded : int
        The last window of which a report is known to be recorded.
    rank : int
        Position of the failure domain of the relay among all.
    is_incomplete : bool
        Whether the relay lacks counts of the next window, as the holder may.
    incomplete_s : float
        Time after the end of a window after which a holder reports it in any
        case.
    lease_s : float
    holder_status : HolderStatus
    is_first : bool
        Whether no record is known at all.
    knows_more : bool
        Whether the relay has the counts of more failure domains than the last
        report, so that the holder seems to be partitioned off.
    yields_until : float
        Monotonic time until which this relay leaves the duty to others, as it
        could not reach the usage API itself.
    """

    windows: count_module.Windows
    recorded: int
    rank: int
    is_incomplete: bool
    incomplete_s: float
    lease_s: float
    holder_status: HolderStatus
    is_first: bool
    knows_more: bool
    yields_until: float

    def is_due(self, since_end_s: float, now: float) -> bool:
        """Return whether the relay should take over.

        Parameters
        ----------
        since_end_s : float
            Time since the end of the window after the last recorded one.
        now : float
            Monotonic time.
        """
        if now < self.yields_until:
            return False
        rank_s = self.rank * RANK_S
        if self.is_first:
            return since_end_s >= rank_s
        silent_s = now - self.holder_status.heard_at
        if not self.holder_status.is_able:
            return (
                now - self.holder_status.revision_at >= self.lease_s + rank_s
            )
        if silent_s < ALIVE_S:
            return False
        if self.knows_more and silent_s >= (
            self.lease_s + self.windows.length_s + rank_s
        ):
            return True
        if self._is_delivery_abandoned(now):
            return silent_s >= self.lease_s + rank_s
        allowed_s = OVERDUE_S
        if self.is_incomplete:
            allowed_s = self.incomplete_s + INCOMPLETE_MARGIN_S
        return since_end_s >= allowed_s + rank_s

    def _is_delivery_abandoned(self, now: float) -> bool:
        """Return whether the holder has not reported what it has recorded."""
        status = self.holder_status
        return (
            status.recorded == self.recorded
            and status.accepted < status.recorded
            and now - status.revision_at >= self.lease_s
        )
