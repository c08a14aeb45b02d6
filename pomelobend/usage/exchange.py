"""Exchange of counts: from nodes to their relay, and between domains."""

from __future__ import annotations

import statistics
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.peers import messages
from pomelobend.usage import counts as count_module

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.mesh import directory as directories
    from pomelobend.mesh import relay_role
    from pomelobend.peers import connection as connections
    from pomelobend.routing import call as call_module

logger = structlog.get_logger('usage')

SEND_INTERVAL_S = 0.5
"""Least time between two messages with the counts of a window that goes on."""

SETTLE_S = 1.5
"""Time after the end of a window, or after this node became the relay, for
which the relay waits for nodes that have not completed the window."""

REPEAT_S = 1.5
"""Time after which a sum is broadcast once more if no report of its window is
recorded: a link between domains may have been replaced meanwhile."""

CLOCK_TTL_S = 2.5
"""Time for which the window that a node has sent counts for the median."""

SENDER_TTL_S = 60.0
"""Time without a message after which a sender is forgotten."""

MAX_AHEAD = 2
"""Windows by which those of another node may be ahead of the current one."""

MAX_TEAM_CHARS = 256

WINDOWS_PER_MESSAGE = 16

KEPT_RECORDED = 2
"""Recorded windows whose sums are kept, to compare them with the record."""

RECIPIENTS = 2
"""Nodes of the domain, the preferred ones first, that get the counts of each:
the relay, and the one that replaces it."""


@attrs.define
class Published:
    """A sum that was broadcast: its counts, when, and how often."""

    counts: count_module.Counts
    at: float
    times: int = 1


@attrs.define(eq=False)
class Exchange:
    """Sends counts to the relay; as the relay, broadcasts their sums.

    Parameters
    ----------
    broadcast : callable
    sent : dict
        By connection, the round up to which counts were sent on it.
    unflushed : dict
        By identity of the call, the team and the time of calls that were
        counted since the counts were last sent.
    closed_by_sender : dict
        By sender, the last window that it has completed, and the monotonic
        time at which it said so.
    published : dict
        By window, the sum of the own domain as broadcast.
    first : int or None
        The first window to be reported; None while none is.
    noted : int or None
        The current window at the last tick.
    ended : dict
        By window that this node has seen end, the monotonic time of it.
    relay_since : float or None
        Monotonic time from which on this node has been the relay.
    flushed_at : float
        Monotonic time at which counts were last sent.
    flushed_window : int
        The current window then, by the clock of this node.
    merged_round : int
        Round up to which own counts have been merged into ``nodes``.
    """

    directory: directories.Directory
    role: relay_role.RelayRole
    clock: clocks.Clock
    broadcast: abc.Callable[[messages.Message], None]
    windows: count_module.Windows
    local: count_module.LocalCounts = attrs.field(
        default=attrs.Factory(
            lambda exchange: count_module.LocalCounts(exchange.windows),
            takes_self=True,
        )
    )
    nodes: count_module.DomainCounts = attrs.field(
        factory=count_module.DomainCounts
    )
    sums: count_module.Sums = attrs.field(factory=count_module.Sums)
    sent: dict[connections.Connection, int] = attrs.field(factory=dict)
    unflushed: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    closed_by_sender: dict[count_module.Sender, tuple[int, float]] = (
        attrs.field(factory=dict)
    )
    published: dict[int, Published] = attrs.field(factory=dict)
    first: int | None = None
    noted: int | None = None
    ended: dict[int, float] = attrs.field(factory=dict)
    relay_since: float | None = None
    flushed_at: float = float('-inf')
    flushed_window: int = 0
    merged_round: int = 0

    @property
    def own(self) -> count_module.Sender:
        """Return what identifies this process as a sender."""
        own = self.directory.own
        return (own.node, own.incarnation)

    def wall_s(self) -> float:
        """Return the time in seconds since 1970."""
        return self.clock.now().timestamp()

    def current(self) -> int:
        """Return the current window by the clocks of the domain.

        It is the lower median of what the nodes send, so that a step of one
        clock ends no window early.
        """
        now = self.clock.monotonic()
        current_windows = [
            closed + 1
            for closed, at in self.closed_by_sender.values()
            if now - at <= CLOCK_TTL_S
        ]
        own = self.windows.number(self.wall_s())
        return statistics.median_low([own, *current_windows])

    def age_s(self, window: int) -> float:
        """Return how long ago a window has ended, negative if it has not.

        It is measured from when this node has seen the window end, so that a
        step of its clock does not count. For windows before its start the time
        of the day counts, within the bounds of the current window.
        """
        if self.noted is None or window >= self.noted:
            return -1.0
        ended = self.ended.get(window)
        if ended is not None:
            return self.clock.monotonic() - ended
        least_s = (self.noted - 1 - window) * self.windows.length_s
        found_s = self.wall_s() - self.windows.end(window)
        return min(max(found_s, least_s), least_s + self.windows.length_s)

    def note_sent(self, call: call_module.Call) -> None:
        """Count a call that is sent to the local target."""
        if call.team and not call.is_nested:
            at = self.wall_s()
            self.local.note(call.team, at)
            self.unflushed[id(call)] = (call.team, at)

    def note_not_run(self, call: call_module.Call) -> None:
        """Do not count a call that the target has refused unrun.

        Once its count has been sent it remains, as counts only grow there.
        """
        counted = self.unflushed.pop(id(call), None)
        if counted is not None:
            self.local.withdraw(*counted)

    def tick(self, recorded: int) -> None:
        """Send what is due.

        Parameters
        ----------
        recorded : int
            The last window of which a report is known to be recorded.
        """
        now, window = self.clock.monotonic(), self.current()
        own_window = self.windows.number(self.wall_s())
        is_due = now - self.flushed_at >= SEND_INTERVAL_S
        if is_due or own_window != self.flushed_window:
            self.flushed_at, self.flushed_window = now, own_window
            self._flush(own_window)
        self._note_time(window, now)
        self._forget(window, recorded)
        self._update_role(now)
        if self.relay_since is not None:
            self._publish(window, recorded, now)

    def handle_counts(
        self,
        connection: connections.Connection,
        message: messages.UsageCounts,
    ) -> None:
        """Merge the counts of a node of the own domain.

        Raises
        ------
        errors.ProtocolError
        """
        hello = connection.hello
        sender = (message.node, message.incarnation)
        rows = [_row(item) for item in message.windows]
        latest = self.windows.number(self.wall_s()) + MAX_AHEAD
        for window, counts in rows:
            if window <= latest:
                self.nodes.merge(sender, window, counts)
        if sender == (hello.node, hello.incarnation):
            self._note_closed(sender, message.closed)

    def handle_sums(self, message: messages.UsageSums) -> None:
        """Merge the sums of a failure domain.

        Raises
        ------
        errors.ProtocolError
        """
        latest = self.windows.number(self.wall_s()) + MAX_AHEAD
        for window, counts in map(_row, message.windows):
            if window <= latest:
                self.sums.merge(message.domain, window, counts)

    def resend(self, _: connections.Connection) -> None:
        """Broadcast the sums of the own domain, as a link was replaced.

        Those of recorded windows have been forgotten.
        """
        rows = [
            [window, counts]
            for window, counts in self.sums.of_domain(
                self.directory.own.domain
            ).items()
        ]
        for first in range(0, len(rows), WINDOWS_PER_MESSAGE):
            self._broadcast(rows[first : first + WINDOWS_PER_MESSAGE])

    def _flush(self, window: int) -> None:
        """Send counts that have changed to the relay and its deputy."""
        self.unflushed.clear()
        last_round = self.local.begin_round()
        for number, counts in self.local.changes_since(
            self.merged_round
        ).items():
            self.nodes.merge(self.own, number, counts)
        self.merged_round = last_round
        self._note_closed(self.own, window - 1)
        recipients = self._recipients()
        for connection in recipients:
            changes = self.local.changes_since(self.sent.get(connection, 0))
            rows = [[number, counts] for number, counts in changes.items()]
            connection.send_if_open(
                messages.UsageCounts(*self.own, rows, window - 1)
            )
            if connection not in self.sent:
                self._pass_on(connection)
        self.sent = dict.fromkeys(recipients, last_round)

    def _pass_on(self, connection: connections.Connection) -> None:
        """Send the counts of processes that have ended to another relay."""
        live = {
            (record.node, record.incarnation)
            for record in self.directory.domain_records()
        }
        ended: dict[count_module.Sender, list] = {}
        for window, senders in self.nodes.by_window.items():
            for sender, counts in senders.items():
                if sender not in live:
                    ended.setdefault(sender, []).append([window, counts])
        for sender, rows in ended.items():
            connection.send_if_open(messages.UsageCounts(*sender, rows, 0))

    def _recipients(self) -> list[connections.Connection]:
        """Return the connections to the relay and to its deputy.

        A relay that works keeps its role for a while although another node
        is preferred, so that nodes that act as relays are included.
        """
        neighbours = sorted(
            self.directory.neighbours(), key=lambda item: _preference(item[1])
        )
        heard = set(self.role.heard_nodes())
        return [
            connection
            for rank, (connection, record) in enumerate(neighbours)
            if rank < RECIPIENTS or record.node in heard
        ]

    def _note_closed(self, sender: count_module.Sender, closed: int) -> None:
        known, _ = self.closed_by_sender.get(sender, (closed - 1, 0.0))
        if sender != self.own:
            self.closed_by_sender[sender] = (closed, self.clock.monotonic())
        first = max(known + 1, closed - count_module.DETAILED_WINDOWS)
        for window in range(min(first, closed), closed + 1):
            self.nodes.close(sender, window)

    def _note_time(self, current: int, now: float) -> None:
        """Note which windows have ended, and the first to be reported."""
        if self.first is None:
            self.first = current + 1
            logger.info('usage: reports begin', window=current + 1)
        if self.noted is None:
            self.noted = current
        # Windows that a step of the clocks passes over have ended long ago.
        first = max(self.noted, current - count_module.KEPT_WINDOWS)
        for window in range(first, current):
            self.ended[window] = now
        self.noted = max(self.noted, current)
        for window in sorted(self.ended)[: -count_module.KEPT_WINDOWS]:
            del self.ended[window]

    def _update_role(self, now: float) -> None:
        if not self.role.is_relay:
            self.relay_since = None
        elif self.relay_since is None:
            self.relay_since = now

    def _publish(self, current: int, recorded: int, now: float) -> None:
        """Broadcast the sums of windows that have ended, and corrections."""
        if self.first is None:
            return
        oldest = max(recorded + 1, self.nodes.oldest)
        rows = []
        for window in range(oldest, current):
            known = self.published.get(window)
            if known is None and not self._is_settled(window, now):
                continue
            counts = self.nodes.total(window)
            if known is None:
                self.published[window] = Published(counts, now)
            elif known.counts != counts:
                known.counts, known.at = counts, now
            elif known.times < 2 and now - known.at >= REPEAT_S:
                known.times, known.at = known.times + 1, now
            else:
                continue
            rows.append([window, counts])
        if rows:
            self._broadcast(rows)

    def _is_settled(self, window: int, now: float) -> bool:
        """Return whether the counts of a window that has ended suffice."""
        senders = [
            (record.node, record.incarnation)
            for _, record in self.directory.neighbours()
        ]
        if self.nodes.is_closed(window, [self.own, *senders]):
            return True
        since_s = min(self.age_s(window), now - self.relay_since)
        return since_s >= SETTLE_S

    def _broadcast(self, rows: list[list]) -> None:
        domain = self.directory.own.domain
        for window, counts in rows:
            self.sums.merge(domain, window, counts)
        self.broadcast(messages.UsageSums(domain, rows))

    def _forget(self, current: int, recorded: int) -> None:
        """Remove what is not needed any more."""
        detailed = current - count_module.DETAILED_WINDOWS
        self.nodes.forget_before(detailed)
        self.local.forget_before(current - count_module.KEPT_WINDOWS)
        self.sums.forget_before(recorded + 1 - KEPT_RECORDED)
        self.sums.compress(current)
        for window in [w for w in self.published if w < detailed]:
            del self.published[window]
        now = self.clock.monotonic()
        silent = [
            s
            for s, (_, at) in self.closed_by_sender.items()
            if now - at > SENDER_TTL_S
        ]
        for sender in silent:
            del self.closed_by_sender[sender]


def _preference(record: typing.Any) -> tuple[int, str]:
    return (-record.link_mbps, record.node)


def _row(item: object) -> tuple[int, count_module.Counts]:
    """Parse a window with its counts.

    Raises
    ------
    errors.ProtocolError
    """
    if (
        type(item) is not list
        or len(item) != 2
        or not messages.is_non_negative_int(item[0])
        or not messages.is_map(item[1])
        or not all(map(messages.is_non_negative_int, item[1].values()))
        or any(len(team) > MAX_TEAM_CHARS for team in item[1])
    ):
        raise errors.ProtocolError('usage: an item is wrong')
    return item[0], item[1]
