"""The simulated time of the model."""

from __future__ import annotations

import asyncio

from pomelobend import clock as clocks


class LoopClock(clocks.SystemClock):
    """The time of the event loop in which the clock was made."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    def monotonic(self) -> float:
        """Return the time of the loop."""
        return self.loop.time()
