"""Sends recorded reports to the usage API while the lease is certain."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs
import structlog

from pomelobend.platform import usage_api

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.usage import duty as duties

logger = structlog.get_logger('usage')

RENEW_S = 0.9
"""Time before the end of the lease from which it is renewed while responses
of the usage API are waited for."""

MIN_WAIT_S = 0.01
"""Least wait between two looks at the lease while reports are sent."""

RESPONSE_TIMEOUT_S = (3.5, 10.0)
"""Least and longest wait for the response to a report. The least one leaves
time for another node to take over within the 10 s in which a report is due;
it is doubled when it was reached, as the API may be slow for all nodes."""

BACK_OFF_S = (0.25, 4.0)
"""First and longest pause after reports that were not accepted."""

UNABLE_AFTER = 2
"""Failures to reach the usage API in a row after which another node tries. A
response that does not come counts as so many."""

YIELD_S = 6.0
"""Time for which a holder that cannot reach the usage API writes nothing. It
exceeds the lease, so that another node can take over."""

DECLINE_S = 30.0
"""Time for which a node that could not reach the usage API does not take over
the duty. While none can reach it, the duty goes round only this often."""

RATE_SHARE = 0.5
"""Share of the calls per second that the usage API takes from all nodes. Two
holders may send for a moment after a takeover."""


@attrs.define(eq=False)
class Sender:
    """Sends the reports of the record, and paces and repeats them.

    Parameters
    ----------
    calls_per_s : float
        Calls per second that the usage API takes from all nodes.
    read : callable
        Reads the clocks of this VM.
    failures : int
        Reports in a row for which the usage API could not be reached.
    back_off_s : float
        The last pause in s; 0 after success.
    retry_at : float
        Monotonic time of the next attempt to send reports.
    yields_until : float
        Monotonic time until which this node writes nothing as the holder.
    declines_until : float
        Monotonic time until which it does not take over the duty.
    response_timeout_s : float
        Time in s for which the response to a report is waited for.
    send_at : float
        Monotonic time at which the last report was or will be sent.
    """

    duty: duties.Duty
    api: usage_api.UsageApi
    clock: clocks.Clock
    calls_per_s: float
    read: abc.Callable[[], duties.Reading]
    failures: int = 0
    back_off_s: float = 0.0
    retry_at: float = float('-inf')
    yields_until: float = float('-inf')
    declines_until: float = float('-inf')
    response_timeout_s: float = RESPONSE_TIMEOUT_S[0]
    send_at: float = float('-inf')
    random: random.Random = attrs.field(factory=random.Random)

    async def deliver(
        self,
        renew: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
    ) -> None:
        """Send what is recorded while the lease is certain, and renew it.

        Whatever has not been answered when the lease ends is aborted.

        Parameters
        ----------
        renew : callable
            Renews the lease, or pauses if that fails.
        """
        began = self.clock.monotonic()
        token = self.duty.record.token
        sends = [
            asyncio.create_task(self._send(report, token))
            for report in self.duty.unsent()
        ]
        tasks = set(sends)
        renewal = None
        try:
            while tasks:
                left_s = self.duty.left_s(self.read())
                if left_s <= 0.0:
                    break
                remaining_s = (
                    began + self.response_timeout_s - self.clock.monotonic()
                )
                if remaining_s <= 0.0:
                    self._note_no_response()
                    break
                if renewal is None and left_s <= RENEW_S:
                    renewal = asyncio.create_task(renew())
                wait_s = left_s if renewal else left_s - RENEW_S
                done, _ = await asyncio.wait(
                    {*tasks, renewal} - {None},
                    timeout=max(min(wait_s, remaining_s), MIN_WAIT_S),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                tasks -= done
                renewal = None if renewal in done else renewal
        except asyncio.CancelledError:
            if renewal is not None:
                renewal.cancel()
            raise
        finally:
            for task in tasks:
                task.cancel()
        if renewal is not None:
            await renewal
        _log_errors(await asyncio.gather(*sends, return_exceptions=True))
        self._note_delivered()

    def _note_no_response(self) -> None:
        """Note that reports were not answered in time."""
        self.failures += UNABLE_AFTER
        self.response_timeout_s = min(
            2 * self.response_timeout_s, RESPONSE_TIMEOUT_S[1]
        )

    async def _send(self, report: duties.Report, token: int) -> None:
        """Send one report at its turn, within the rate of the API."""
        now = self.clock.monotonic()
        self.send_at = max(
            now, self.send_at + 1 / (self.calls_per_s * RATE_SHARE)
        )
        await self.clock.sleep(self.send_at - now)
        began = self.clock.monotonic()
        outcome = await self.api.send(
            report,
            self.duty.holder,
            token,
            lambda: self.duty.left_s(self.read()) > 0.0,
        )
        if outcome is usage_api.Outcome.ACCEPTED:
            self.duty.note_accepted(report.window)
            took_s = self.clock.monotonic() - began
            self.response_timeout_s = min(
                max(2 * took_s, RESPONSE_TIMEOUT_S[0]), RESPONSE_TIMEOUT_S[1]
            )
        if outcome is usage_api.Outcome.UNREACHABLE:
            self.failures += 1
        elif outcome is not usage_api.Outcome.NOT_SENT:
            self.failures = 0

    def _note_delivered(self) -> None:
        """Set the pause before the next reports are sent."""
        now = self.clock.monotonic()
        if not self.duty.unsent():
            self.back_off_s = 0.0
            return
        first_s, longest_s = BACK_OFF_S
        self.back_off_s = min(max(2 * self.back_off_s, first_s), longest_s)
        self.retry_at = now + self.back_off_s * self.random.uniform(0.7, 1.0)
        if self.failures >= UNABLE_AFTER and self.duty.is_holder:
            self.yields_until = now + YIELD_S
            self.declines_until = now + DECLINE_S
            logger.warning(
                'usage: API not reached, another node may take over',
                failures=self.failures,
                unsent=len(self.duty.unsent()),
            )
            self.failures = 0


def _log_errors(results: abc.Iterable[object]) -> None:
    """Log sends that have failed for an unexpected reason."""
    for error in results:
        if isinstance(error, Exception):
            logger.error('usage: report failed', why=repr(error)[:200])
