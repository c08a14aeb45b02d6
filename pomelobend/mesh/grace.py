"""Calls of a node that stops: which it accepts, and when they must end."""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing

import attrs

from pomelobend import errors
from pomelobend import limits

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks

T = typing.TypeVar('T')

ACCEPT_S = 2.5
"""Time after SIGTERM during which all calls are accepted, until callers and
other nodes know that this node stops."""

LAST_ACCEPT_S = 0.7
"""Time before the end of the grace period during which a call is accepted
only if it fits in."""

CLOSE_RESERVE_S = 0.6
"""Part of the grace period reserved for closing connections, at most."""

CLOSE_SHARE = 1 / 8
"""The same part as a share of a short grace period."""

STEPS_SHARE = 1 / 2
"""Share of that part for the steps of the closing. In the rest the process
ends: it is killed at the end of the grace period."""

REPLY_RESERVE_S = 0.1
"""Time between the last reply to a caller and the closing of connections, at
most."""

REPLY_SHARE = 1 / 48
"""The same time as a share of a short grace period."""

ANSWER_OWED_SHARE = 5 / 6
"""Share of the grace period in which a call at work is owed its answer."""

AFTER_S = 1.0
"""Time past a grace period in which callers are still affected by a stop."""

LEAST_S = 0.2
"""Shortest time that a stop takes, however late SIGTERM was handled."""


@attrs.define(eq=False)
class Grace:
    """The grace period between SIGTERM and the end of the process.

    After the first seconds a call is accepted only if its deadline is within
    the grace period: it would be cut with its outcome unknown otherwise. For
    calls of other nodes that may not be repeated it is so from SIGTERM on.

    Parameters
    ----------
    follows_until : float
        Monotonic time until which callers may still be affected by the stop
        of an earlier process of this node.
    accepts_until, listens_until, replies_until, closes_at, closed_by : float
        Monotonic times at which calls are no longer accepted regardless of
        their deadlines, at which no more connections are accepted, at which
        callers that still wait get their replies, at which connections are
        closed, and by which all are closed; infinite before SIGTERM.
    timeouts : dict of asyncio.Timeout to tuple of float
        The calls in flight, and their two limits as in ``limit``.
    """

    clock: clocks.Clock
    follows_until: float = -math.inf
    accepts_until: float = math.inf
    listens_until: float = math.inf
    replies_until: float = math.inf
    closes_at: float = math.inf
    closed_by: float = math.inf
    timeouts: dict[asyncio.Timeout, tuple[float, float]] = attrs.field(
        factory=dict
    )

    def follow(self, started: float, grace_s: float) -> None:
        """Note that an earlier process of this node may just have stopped.

        Parameters
        ----------
        started : float
            Monotonic time of the start of this one.
        grace_s : float
        """
        self.follows_until = started + grace_s + AFTER_S
        self._move_timeouts()

    def begin(
        self,
        grace_s: float,
        signalled_at: float,
        noted_at: float | None = None,
    ) -> None:
        """Start the grace period, by which the limits of calls change.

        It counts from the time of the signal. If little of it is left, half
        of that is for what has arrived but has not been read yet, and for the
        replies; the rest is for closing connections.

        Parameters
        ----------
        grace_s : float
        signalled_at : float
            Time of the signal, or the earliest one that is possible.
        noted_at : float or None
            The latest time that is possible, if it is another one.
        """
        now = self.clock.monotonic()
        end = signalled_at + grace_s
        left_s = max(end - now, LEAST_S)
        closes_at = end - _close_reserve_s(grace_s)
        if noted_at is not None:
            closes_at += _extra_s(grace_s, noted_at - signalled_at)
        self.closes_at = max(closes_at, now + left_s / 2)
        reserve_s = max(end, now + left_s) - self.closes_at
        self.closed_by = self.closes_at + reserve_s * STEPS_SHARE
        self.replies_until = max(
            self.closes_at - _reply_reserve_s(grace_s), now + left_s / 4
        )
        self.accepts_until = min(
            signalled_at + ACCEPT_S, end - LAST_ACCEPT_S, self.replies_until
        )
        self.listens_until = min(now + ACCEPT_S, self.replies_until)
        self._move_timeouts()

    def _move_timeouts(self) -> None:
        offset_s = asyncio.get_running_loop().time() - self.clock.monotonic()
        # asyncio refuses to move a timeout that was reached in this moment.
        for timeout, (deadline, last) in self.timeouts.items():
            if not timeout.expired():
                timeout.reschedule(self.limit(deadline, last) + offset_s)

    def check(self, deadline: float) -> None:
        """Refuse a new call that would outlast the grace period.

        Raises
        ------
        errors.CallRefusedError
        """
        if self.clock.monotonic() >= self.accepts_until:
            self._check_end(deadline)

    def check_served(self, deadline: float, *, is_idempotent: bool) -> None:
        """Refuse a call of another node that would outlast the grace period.

        One that may not be repeated is refused from SIGTERM on. That node can
        send it to another target, but not once it has run here.

        Raises
        ------
        errors.CallRefusedError
        """
        if is_idempotent:
            self.check(deadline)
        else:
            self._check_end(deadline)

    def _check_end(self, deadline: float) -> None:
        if deadline > self.replies_until:
            raise errors.CallRefusedError(errors.Reason.STOPPING)

    def limit(self, deadline: float, last: float) -> float:
        """Return the time at which a call ends whose target is silent.

        Parameters
        ----------
        deadline : float
            Its limit at a node that neither stops nor follows a process that
            was stopped.
        last : float
            Its limit at a node that does.
        """
        if math.isfinite(self.replies_until):
            return min(last, self.replies_until)
        return (
            last if self.clock.monotonic() < self.follows_until else deadline
        )

    async def wait(
        self,
        task: asyncio.Task[T],
        deadline: float,
        last: float | None = None,
    ) -> T:
        """Return the result of a task, within the limits of ``timeout``.

        What arrived before the limit counts, also if the loop was held up
        and has not read it. The task is not cancelled.

        Raises
        ------
        TimeoutError
        """
        try:
            with contextlib.suppress(TimeoutError):
                async with self.timeout(deadline, last):
                    return await asyncio.shield(task)
            async with limits.Limit(0.0):
                return await asyncio.shield(task)
        finally:
            # A failure refers to this frame by its traceback.
            del task

    @contextlib.asynccontextmanager
    async def timeout(
        self, deadline: float, last: float | None = None
    ) -> abc.AsyncIterator[None]:
        """Limit a block to a deadline, and to the grace period if it begins.

        Parameters
        ----------
        deadline : float
        last : float or None
            Limit beside a stop, the deadline by default (see ``limit``). A
            target at work is then not cut short for the way of a reply.

        Raises
        ------
        TimeoutError
        """
        last = deadline if last is None else last
        limit_s = self.limit(deadline, last) - self.clock.monotonic()
        async with asyncio.timeout(limit_s) as timeout:
            self.timeouts[timeout] = (deadline, last)
            try:
                yield
            finally:
                del self.timeouts[timeout]


def _extra_s(grace_s: float, unsure_s: float) -> float:
    """Return how much later connections close if the signal came later.

    Calls at work are then owed their answers for longer. At least half of the
    reserve for closing is kept, as the signal may also have come first.
    """
    close_s = _close_reserve_s(grace_s)
    reserve_s = close_s + _reply_reserve_s(grace_s)
    spare_s = (1 - ANSWER_OWED_SHARE) * grace_s - reserve_s
    return min(max(unsure_s - spare_s, 0.0), close_s / 2)


def _close_reserve_s(grace_s: float) -> float:
    return min(CLOSE_RESERVE_S, grace_s * CLOSE_SHARE)


def _reply_reserve_s(grace_s: float) -> float:
    return min(REPLY_RESERVE_S, grace_s * REPLY_SHARE)
