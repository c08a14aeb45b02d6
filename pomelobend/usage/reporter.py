"""The node's part in the usage reports: its counts, and the duty to report."""

from __future__ import annotations

import random
import time
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.peers import messages
from pomelobend.platform import kinds
from pomelobend.platform import usage_api
from pomelobend.usage import contention
from pomelobend.usage import counts as count_module
from pomelobend.usage import duty as duties
from pomelobend.usage import exchange as exchange_module
from pomelobend.usage import readiness as readiness_module
from pomelobend.usage import sender as senders

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.mesh import broadcasts
    from pomelobend.mesh import directory as directories
    from pomelobend.mesh import relay_role
    from pomelobend.platform import objects
    from pomelobend.platform import settings as platform_settings

logger = structlog.get_logger('usage')

TICK_S = 0.25
"""Interval of the exchange of counts and of the steps of the duty."""

STORE_BACK_OFF_S = (0.5, 4.0)
"""First and longest pause after calls to the store that have failed."""

READ_INTERVAL_S = 2.0
"""Least time between two readings of the store."""

ANNOUNCE_INTERVAL_S = 1.0
"""Interval at which a holder announces that it is at work on a late report."""


def read_clocks() -> duties.Reading:
    """Read the clocks of this VM."""
    return duties.Reading(
        time.monotonic(),
        time.clock_gettime(time.CLOCK_BOOTTIME),
        time.time(),
    )


@attrs.define(eq=False)
class Reporter:
    """Counts the calls of teams, and reports them while it has the duty.

    Parameters
    ----------
    settings : platform_settings.UsageReporting
    is_required : callable
        Returns whether the configuration has teams.
    holder_status : contention.HolderStatus
        What the holder has announced.
    is_lost : bool
        Whether a write of this process as the holder had an unknown outcome.
    store_back_off_s : float
        The last pause in s after a failed call to the store; 0 after success.
    write_at, read_at : float
        Monotonic time of the next call to the store, and of the last reading.
    announced_at : float
        Monotonic time at which the duty was last announced to other nodes.
    """

    settings: platform_settings.UsageReporting
    exchange: exchange_module.Exchange
    duty: duties.Duty
    readiness: readiness_module.Readiness
    sender: senders.Sender
    store: objects.ObjectStore
    directory: directories.Directory
    role: relay_role.RelayRole
    clock: clocks.Clock
    is_required: abc.Callable[[], bool]
    read: abc.Callable[[], duties.Reading] = read_clocks
    holder_status: contention.HolderStatus = attrs.field(
        factory=contention.HolderStatus
    )
    is_lost: bool = False
    store_back_off_s: float = 0.0
    write_at: float = float('-inf')
    read_at: float = float('-inf')
    announced_at: float = float('-inf')
    random: random.Random = attrs.field(factory=random.Random)

    @classmethod
    def from_config(
        cls,
        settings: platform_settings.UsageReporting,
        store: objects.ObjectStore,
        directory: directories.Directory,
        role: relay_role.RelayRole,
        broadcaster: broadcasts.Broadcaster,
        clock: clocks.Clock,
        is_required: abc.Callable[[], bool],
    ) -> Reporter:
        """Create the part of a node whose settings ask for usage reports."""
        lease_s = settings.lease.total_seconds()
        windows = count_module.Windows(settings.window.total_seconds())
        own = directory.own
        exchange = exchange_module.Exchange(
            directory, role, clock, broadcaster.send, windows
        )
        duty = duties.Duty(own.node, own.incarnation, lease_s)
        return cls(
            settings,
            exchange,
            duty,
            readiness_module.Readiness(settings, exchange, duty, directory),
            senders.Sender(
                duty,
                usage_api.UsageApi.from_config(
                    settings.address, lease_s, clock
                ),
                clock,
                settings.calls_per_s,
                read_clocks,
            ),
            store,
            directory,
            role,
            clock,
            is_required,
        )

    @property
    def recorded(self) -> int:
        """Return the last window of which a report is known to be recorded."""
        record = self.duty.record
        known = record.recorded if record is not None else 0
        return max(known, self.holder_status.recorded)

    @property
    def windows(self) -> count_module.Windows:
        """Return the division of the time into windows."""
        return self.exchange.windows

    def gauges(self) -> dict[str, abc.Callable[[], float]]:
        """Return the metrics, by name."""
        return {
            'usage_holder': lambda: int(self.duty.is_holder),
            'usage_token': lambda: (
                self.duty.record.token if self.duty.record is not None else 0
            ),
            'usage_oldest_window_age_seconds': self.readiness.oldest_age_s,
        }

    def handle_lease(self, message: messages.UsageLease) -> None:
        """Note what the holder tells, unless it is of an older era."""
        if message.era < self.store.eras.number:
            return
        self.store.eras.observe(message.era, 'usage lease')
        self.holder_status.note(message, self.clock.monotonic())
        self.duty.note_heard(message.revision, self.read())

    def begin_era(self, era: int) -> None:
        """Note that the store has returned from an older copy."""
        status = self.holder_status
        self.duty.begin_era(status.token, status.recorded)
        status.begin_era()
        self.is_lost = self._must_restore
        if self.is_lost:
            logger.warning(
                'usage: record lost with an era',
                era=era,
                token=self.duty.lost.token,
                recorded=self.duty.lost.recorded,
            )

    async def run(self) -> None:
        """Exchange counts, until cancelled."""
        while True:
            await self.clock.sleep(TICK_S)
            if self.is_required():
                self.exchange.tick(self.recorded)

    async def run_duty(self) -> None:
        """Report while this node has the duty, until cancelled."""
        while True:
            await self.clock.sleep(TICK_S)
            if self.exchange.first is None or not self.is_required():
                continue
            if self.is_lost:
                await self._resolve_lost_write()
            elif self.duty.is_holder or self._must_restore:
                await self._report_as_holder()
            elif self.role.is_relay:
                await self._take_over_if_due()

    @property
    def _must_restore(self) -> bool:
        """Return whether the record of this node was lost with an era."""
        return self.duty.lost is not None and self.duty.lost.is_own

    async def _report_as_holder(self) -> None:
        """Record and send what is due."""
        now = self.clock.monotonic()
        if now < max(self.write_at, self.sender.yields_until):
            return
        reports, missing = self.readiness.reports()
        is_retried = bool(self.duty.unsent()) and now >= self.sender.retry_at
        if not (reports or is_retried or self._must_restore):
            self._announce_if_late(now)
            return
        is_certain = self.duty.left_s(self.read()) > senders.RENEW_S
        if (reports or not is_certain) and not await self._write(reports):
            return
        readiness_module.log_incomplete(reports, missing)
        if self.clock.monotonic() >= self.sender.retry_at:
            await self.sender.deliver(self._renew)
        self._announce()

    async def _take_over_if_due(self) -> None:
        """Take over the duty if its holder does not do it."""
        now = self.clock.monotonic()
        if now < self.write_at:
            return
        if self.duty.seen is None and not self.holder_status.recorded:
            # The wait for the end of a lease counts from the first reading.
            await self._read_record(now)
            return
        plan = self._plan()
        since_end_s = self.exchange.age_s(plan.recorded + 1)
        if not plan.is_due(since_end_s, now):
            return
        if not self._is_record_current():
            await self._read_record(now)
            return
        if not self.duty.may_write(self.read()):
            return
        self._skip_oldest()
        reports, missing = self.readiness.reports()
        before = self.duty.record
        if not await self._write(reports):
            return
        logger.warning(
            'usage: duty taken over',
            holder_before=before.holder if before is not None else None,
            token=self.duty.record.token,
            resent=len(self.duty.unsent()) - len(reports),
        )
        readiness_module.log_incomplete(reports, missing)
        self.sender.failures = 0
        await self.sender.deliver(self._renew)
        self._announce()

    def _plan(self) -> contention.Plan:
        """Return when this node should take over."""
        record = self.duty.record
        domains = sorted(self.readiness.domains())
        recorded = self.recorded or self.exchange.first - 1
        sums = self.exchange.sums
        return contention.Plan(
            self.windows,
            recorded,
            domains.index(self.directory.own.domain),
            bool(self.readiness.missing(recorded + 1)),
            self.readiness.incomplete_s,
            self.settings.lease.total_seconds(),
            self.holder_status,
            not self.recorded,
            record is not None
            and not self.duty.is_holder
            and record.recorded == recorded
            and record.domains < len(sums.domains(recorded)),
            self.sender.declines_until,
        )

    def _is_record_current(self) -> bool:
        """Return whether the newest known record has been read."""
        seen = self.duty.seen
        if seen is None:
            return False
        return (seen.revision or 0) >= self.holder_status.revision

    async def _read_record(self, now: float) -> None:
        """Read the record from the store."""
        if now - self.read_at < READ_INTERVAL_S:
            return
        self.read_at = now
        try:
            listing = await self.store.list(kinds.DUTIES)
            found = {item.name: item for item in listing.items}
            item = found.get(kinds.USAGE_DUTY)
            record = duties.Record.from_spec(item.spec) if item else None
        except (errors.PlatformError, errors.MalformedError) as error:
            self._back_off_from_store()
            logger.warning('usage: record not read', why=str(error)[:200])
            return
        self.store_back_off_s = 0.0
        revision = item.revision if item else None
        self.duty.note_read(revision, record, self.read())

    async def _resolve_lost_write(self) -> None:
        """Read what the store holds after a write with an unknown outcome."""
        now = self.clock.monotonic()
        if now >= self.write_at:
            await self._read_record(now)
            self.is_lost = self.duty.seen is None

    async def _write(self, reports: list[duties.Report]) -> bool:
        """Write the record, and return whether it was written."""
        if self.duty.seen is None:
            await self._read_record(self.clock.monotonic())
        if not self.duty.may_write(self.read()):
            return False
        revision = self.duty.seen.revision
        record = self._begin_write(reports)
        try:
            item = await self.store.write(
                kinds.DUTIES, kinds.USAGE_DUTY, record.to_spec(), revision
            )
        except errors.PlatformUnavailableError as error:
            self.duty.note_not_written()
            self._note_write_failed(error)
            return False
        except errors.PlatformError as error:
            self.is_lost = self.duty.is_holder
            self.duty.note_write_lost()
            self._note_write_failed(error)
            return False
        except BaseException:
            self.is_lost = self.duty.is_holder
            self.duty.note_write_lost()
            raise
        self.store_back_off_s = 0.0
        self.duty.note_written(item.revision)
        self._announce()
        return True

    def _begin_write(self, reports: list[duties.Report]) -> duties.Record:
        recorded = self.duty.recorded
        if recorded is None:
            recorded = self.exchange.first - 1
        if recorded + 1 < self.exchange.sums.oldest:
            logger.warning(
                'usage: windows skipped, their counts are lost',
                first=recorded + 1,
                last=self.exchange.sums.oldest - 1,
            )
            recorded = self.exchange.sums.oldest - 1
        domains = None
        if reports:
            recorded = reports[-1].window
            domains = len(self.exchange.sums.domains(recorded))
        return self.duty.begin_write(reports, recorded, domains, self.read())

    def _note_write_failed(self, error: Exception) -> None:
        self._back_off_from_store()
        logger.warning('usage: record not written', why=str(error)[:200])

    def _back_off_from_store(self) -> None:
        """Set the pause after a call to the store that has failed."""
        first_s, longest_s = STORE_BACK_OFF_S
        self.store_back_off_s = min(
            max(2 * self.store_back_off_s, first_s), longest_s
        )
        self.write_at = (
            self.clock.monotonic()
            + self.store_back_off_s * self.random.uniform(0.7, 1.0)
        )

    async def _renew(self) -> None:
        """Renew the lease; pause if that fails."""
        if not await self._write([]):
            await self.clock.sleep(STORE_BACK_OFF_S[0])

    def _skip_oldest(self) -> None:
        """Forget windows of a time of which no node holds counts."""
        oldest = self.exchange.noted - count_module.MAX_WINDOWS
        self.exchange.sums.forget_before(oldest)

    def _announce_if_late(self, now: float) -> None:
        """Announce that this node is at work while a report is late."""
        record = self.duty.record
        age_s = self.exchange.age_s(record.recorded + 1)
        is_late = bool(self.duty.unsent()) or age_s > ANNOUNCE_INTERVAL_S
        if is_late and now - self.announced_at >= ANNOUNCE_INTERVAL_S:
            self._announce()

    def _announce(self) -> None:
        """Announce the record, and what was accepted, to the other nodes."""
        seen = self.duty.seen
        if seen is None or not self.duty.is_holder:
            return
        self.announced_at = self.clock.monotonic()
        unsent = [report.window for report in self.duty.unsent()]
        accepted = min(unsent, default=seen.record.recorded + 1) - 1
        message = messages.UsageLease(
            self.duty.incarnation,
            self.store.eras.number,
            seen.revision,
            max(seen.record.recorded, 0),
            max(accepted, 0),
            seen.record.token,
            self.announced_at >= self.sender.yields_until,
        )
        self.holder_status.note(message, self.announced_at)
        self.exchange.broadcast(message)
