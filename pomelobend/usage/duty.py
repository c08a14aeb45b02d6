"""Which node reports, and what: the lease, its token and recorded reports.

One object of the store holds the holder, its token and the reports that it is
about to send. It is replaced only at the revision that was read, which also
renews the lease. A holder sends nothing but reports that the object holds, and
only within its lease, so that no two reports of a window differ and no older
token is used after a newer one.
"""

from __future__ import annotations

import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend.usage import counts as count_module

TAKEOVER_MARGIN_S = 0.3
"""Time past the lease for which a contender waits: the drift of two clocks
over a lease, and the way of the last report of the holder."""

SEND_MARGIN_S = 0.2
"""Time before the end of its lease from which a holder sends nothing."""


@attrs.frozen
class Reading:
    """The clocks of a node at one moment, in seconds.

    ``steady`` stands still while the VM is suspended, ``boot`` does not, and
    ``wall`` may step. A VM that its host pauses may find only the last one
    advanced.
    """

    steady: float
    boot: float
    wall: float

    def most_since(self, earlier: Reading) -> float:
        """Return the time that has passed at most."""
        return max(
            self.steady - earlier.steady,
            self.boot - earlier.boot,
            self.wall - earlier.wall,
        )

    def least_since(self, earlier: Reading) -> float:
        """Return the time that has passed at least."""
        return min(self.steady - earlier.steady, self.boot - earlier.boot)


@attrs.frozen
class Report:
    """The counts of a window, as they are sent."""

    window: int
    counts: count_module.Counts


@attrs.frozen
class Record:
    """The object of the store.

    Parameters
    ----------
    holder : str
    incarnation : int
        Start of the holder's process in ns; VMs may share a name.
    token : int
        Increases by one at each change of the holder.
    sequence : int
        Number of the write. The store gives an object that has not changed
        no new revision.
    recorded : int
        The latest window of which a report has been recorded.
    domains : int
        Number of failure domains that the report includes.
    pending : tuple of Report
        Reports that were not known to be accepted at the time of the write.
    """

    holder: str
    incarnation: int
    token: int
    sequence: int
    recorded: int
    domains: int = 0
    pending: tuple[Report, ...] = ()

    @classmethod
    def from_spec(cls, spec: object) -> Record:
        """Parse the specification of the object in the store.

        Raises
        ------
        errors.MalformedError
        """
        try:
            values = dict(spec)
            pending = [
                Report(int(row['window']), _counts(row['counts']))
                for row in values.pop('pending')
            ]
            record = cls(**values, pending=tuple(pending))
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            raise errors.MalformedError('usage: malformed record') from error
        numbers = attrs.astuple(record, recurse=False)[1:6]
        if type(record.holder) is not str or any(
            type(number) is not int for number in numbers
        ):
            raise errors.MalformedError('usage: malformed record')
        return record

    def to_spec(self) -> dict[str, typing.Any]:
        """Return the record in the form that is stored."""
        return attrs.asdict(self)


@attrs.frozen
class Seen:
    """The record at a revision, and a time at which it was in force.

    ``record`` and ``revision`` are None if there is no object.
    """

    revision: int | None
    record: Record | None
    since: Reading


@attrs.define(eq=False)
class Duty:
    """The part of one process in the duty to report.

    Parameters
    ----------
    holder : str
    incarnation : int
    lease_s : float
    seen : Seen or None
        The newest record that this process has read or written.
    heard : tuple of int and Reading or None
        The newest revision that the holder has told of, and when.
    leased_from : Reading or None
        When the last write of this process was begun that renewed its lease;
        None if the lease is not certain.
    writing : tuple of Record and Reading or None
        The write under way, and when it was begun.
    accepted : set of int
        Windows of the record whose reports have been accepted.
    """

    holder: str
    incarnation: int
    lease_s: float
    seen: Seen | None = None
    heard: tuple[int, Reading] | None = None
    leased_from: Reading | None = None
    writing: tuple[Record, Reading] | None = None
    accepted: set[int] = attrs.field(factory=set)

    @property
    def record(self) -> Record | None:
        """Return the newest known record."""
        return self.seen.record if self.seen is not None else None

    @property
    def is_holder(self) -> bool:
        """Return whether the newest known record names this process."""
        record = self.record
        return record is not None and (
            (record.holder, record.incarnation)
            == (self.holder, self.incarnation)
        )

    def note_heard(self, revision: int, now: Reading) -> None:
        """Note that a holder has told of its write."""
        if self.heard is None or revision > self.heard[0]:
            self.heard = (revision, now)

    def note_read(
        self, revision: int | None, record: Record | None, now: Reading
    ) -> None:
        """Note what the store holds.

        Parameters
        ----------
        revision : int or None
        record : Record or None
        now : Reading
            Read after the response came: the holder may have begun a write
            after the request was sent.
        """
        if self.seen is not None and self.seen.revision == revision:
            return
        since = now
        if self.heard is not None and self.heard[0] == revision:
            since = self.heard[1]
        self.seen = Seen(revision, record, since)
        self.leased_from = None
        self.accepted.clear()

    def may_write(self, now: Reading) -> bool:
        """Return whether this process may renew or take over the lease."""
        if self.seen is None or self.writing is not None:
            return False
        if self.seen.record is None or self.is_holder:
            return True
        waited_s = now.least_since(self.seen.since)
        return waited_s >= self.lease_s + TAKEOVER_MARGIN_S

    def begin_write(
        self,
        reports: typing.Sequence[Report],
        recorded: int,
        domains: int | None,
        now: Reading,
    ) -> Record:
        """Return the record to be written at the revision of ``seen``.

        Parameters
        ----------
        reports : sequence of Report
            Reports of windows after the recorded ones.
        recorded : int
            The latest window that counts as recorded after the write.
        domains : int or None
            Number of domains that the last of the reports includes; None if
            there are none.
        now : Reading
        """
        before = self.record
        token = before.token if before is not None else 0
        sequence = before.sequence if before is not None else 0
        kept = before.pending if before is not None else ()
        if domains is None:
            domains = before.domains if before is not None else 0
        record = Record(
            self.holder,
            self.incarnation,
            token if self.is_holder else token + 1,
            sequence + 1,
            recorded,
            domains,
            (*(r for r in kept if r.window not in self.accepted), *reports),
        )
        self.writing = (record, now)
        return record

    def note_written(self, revision: int) -> None:
        """Note that the write under way has succeeded."""
        record, begun = self.writing
        self.writing = None
        self.seen = Seen(revision, record, begun)
        self.leased_from = begun
        self.accepted &= {report.window for report in record.pending}

    def note_not_written(self) -> None:
        """Note that the write under way has had no effect and never will."""
        self.writing = None

    def note_write_lost(self) -> None:
        """Note that it is not known what the store holds.

        Another process has written, or the write under way may have taken
        effect or may still do so.
        """
        self.writing = None
        self.seen = None
        self.leased_from = None
        self.accepted.clear()

    def left_s(self, now: Reading) -> float:
        """Return for how long this process may send, 0 if it may not."""
        if self.leased_from is None or not self.is_holder:
            return 0.0
        used_s = now.most_since(self.leased_from)
        return max(self.lease_s - SEND_MARGIN_S - used_s, 0.0)

    def unsent(self) -> list[Report]:
        """Return the recorded reports that were not accepted."""
        record = self.record
        if record is None:
            return []
        return [r for r in record.pending if r.window not in self.accepted]

    def note_accepted(self, window: int) -> None:
        """Note that a report of the current record was accepted."""
        self.accepted.add(window)


def _counts(value: dict) -> count_module.Counts:
    counts = {str(team): int(count) for team, count in value.items()}
    if any(count < 0 for count in counts.values()):
        raise ValueError
    return counts
