"""Which windows may be reported, and whose counts they still lack."""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.usage import duty as duties

if typing.TYPE_CHECKING:
    from pomelobend.mesh import directory as directories
    from pomelobend.platform import settings as platform_settings
    from pomelobend.usage import exchange as exchange_module

logger = structlog.get_logger('usage')

MAX_PENDING = 12
MAX_PENDING_COUNTS = 20_000
"""Reports that the record holds at most, and the sum of their counts."""

INCOMPLETE_SHARE = 0.75
"""Share of the time in which a report is due for which the counts of a failure
domain are waited for."""


@attrs.define(eq=False)
class Readiness:
    """Tells which windows may be recorded by the holder of the duty."""

    settings: platform_settings.UsageReporting
    exchange: exchange_module.Exchange
    duty: duties.Duty
    directory: directories.Directory

    def reports(self) -> tuple[list[duties.Report], dict[int, set[str]]]:
        """Return the reports that may be recorded, and what they lack."""
        recorded = self.duty.recorded
        first = self.exchange.first if recorded is None else recorded + 1
        first = max(first, self.exchange.sums.oldest)
        unsent = self.duty.unsent()
        size = sum(len(report.counts) for report in unsent)
        reports: list[duties.Report] = []
        missing: dict[int, set[str]] = {}
        for window in range(first, self.exchange.noted):
            lacks = self.missing(window)
            if lacks and self.exchange.age_s(window) < self.incomplete_s:
                break
            counts = self.exchange.sums.total(window)
            size += len(counts)
            count = len(unsent) + len(reports)
            if count and (count >= MAX_PENDING or size > MAX_PENDING_COUNTS):
                break
            reports.append(duties.Report(window, counts))
            if lacks:
                missing[window] = lacks
        return reports, missing

    @property
    def incomplete_s(self) -> float:
        """Return the time in s for which missing counts are waited for."""
        return self.settings.latest.total_seconds() * INCOMPLETE_SHARE

    def missing(self, window: int) -> set[str]:
        """Return the failure domains without a sum of a window."""
        return self.domains() - self.exchange.sums.domains(window)

    def domains(self) -> set[str]:
        """Return the known failure domains, with that of this node."""
        known = {node.domain for node in self.directory.known.values()}
        return known - {''} | {self.directory.own.domain}

    def oldest_age_s(self) -> float:
        """Return how long ago, in s, the oldest unreported window ended.

        It is 0 at a node that does not have the duty.
        """
        if not self.duty.is_holder:
            return 0.0
        unsent = [report.window for report in self.duty.unsent()]
        oldest = min(unsent, default=self.duty.record.recorded + 1)
        return max(self.exchange.age_s(oldest), 0.0)


def log_incomplete(
    reports: list[duties.Report], missing: dict[int, set[str]]
) -> None:
    """Log the windows that are reported without all domains."""
    for report in reports:
        if report.window in missing:
            logger.warning(
                'usage: window reported incomplete',
                window=report.window,
                missing=sorted(missing[report.window]),
            )
