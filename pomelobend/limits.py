"""Time limits that read what has arrived before they end anything.

An event loop that was held up runs its timers before it reads its sockets. A
limit that is reached then would end a wait whose answer lies in the kernel.
"""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from collections import abc
    import types

READ_TIME_S = 0.01
"""Time past a limit in which the loop reads what has arrived before it."""

READ_ROUNDS = 12
"""Least number of rounds of the loop after that time. A message passes
through several tasks, and the loop may be held up again meanwhile."""


class Reading:
    """Calls a function once the loop has read what has arrived so far.

    Parameters
    ----------
    done : callable
        Called after ``READ_TIME_S`` and ``READ_ROUNDS`` rounds of the loop.
    """

    def __init__(self, done: abc.Callable[[], None]) -> None:
        self._done = done
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle = self._loop.call_later(
            READ_TIME_S, self._next_round, READ_ROUNDS
        )

    def cancel(self) -> None:
        """Do not call the function."""
        self._handle.cancel()

    def _next_round(self, rounds: int) -> None:
        if rounds:
            self._handle = self._loop.call_soon(self._next_round, rounds - 1)
        else:
            self._done()


async def read_arrived() -> None:
    """Wait until the loop has read what has arrived so far."""
    is_read = asyncio.Event()
    reading = Reading(is_read.set)
    try:
        await is_read.wait()
    finally:
        reading.cancel()


class Limit:
    """A time limit for a block, like ``asyncio.timeout``.

    The block raises ``TimeoutError`` only if the loop has read what had
    arrived before the limit and the block has not ended with it, so about
    ``READ_TIME_S`` past the limit.

    Parameters
    ----------
    seconds : float or None
        Time until the limit; None for no limit.
    """

    def __init__(self, seconds: float | None) -> None:
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._timeout: asyncio.Timeout | None = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._reading: Reading | None = None

    async def __aenter__(self) -> Limit:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self.move(self._loop.time() + self._seconds)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        for pending in (self._timer, self._reading):
            if pending is not None:
                pending.cancel()
        timeout, self._timeout = self._timeout, None
        try:
            return await timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            pass
        finally:
            del timeout
        # The error of asyncio refers to the task by its traceback. A task that
        # fails by it would be freed by the garbage collector only.
        raise TimeoutError

    def move(self, when: float) -> None:
        """Move a limit that is not reached to another time of the loop."""
        if self._reading is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(when, self._read)

    def _read(self) -> None:
        self._reading = Reading(self._end)

    def _end(self) -> None:
        self._timeout.reschedule(self._loop.time())


class Overdue:
    """Tells whether something is overdue, once what has arrived is read."""

    def __init__(self) -> None:
        self._doubted: float | None = None
        self._concluded: float | None = None

    def is_certain(self, last_at: float) -> bool:
        """Return whether nothing has arrived since, and all has been read.

        Parameters
        ----------
        last_at : float
            Time of the last arrival, after which the next one is overdue.
            At the first question about it the loop begins to read.
        """
        if self._doubted != last_at:
            self._doubted = last_at
            Reading(lambda: self._conclude(last_at))
        return self._concluded == last_at

    def _conclude(self, last_at: float) -> None:
        self._concluded = last_at
