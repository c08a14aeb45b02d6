"""The clock interface that every time-dependent part is given."""

from __future__ import annotations

import abc
import asyncio
import datetime
import time


class Clock(abc.ABC):
    """Source of time and of delays."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock(Clock):
    """The clock of the machine.

    ``CLOCK_BOOTTIME`` goes on while the machine is suspended, so a lease
    also lapses for a holder whose whole VM was paused.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)
