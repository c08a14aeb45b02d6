"""Turns of requests that have waited behind others on their connections.

A caller may send thousands of requests at once, and a reply that needs no
waiting, such as a refusal, gives the event loop no chance to do anything else.
So a request that was sent before the reply to the one in front of it waits for
its turn, and in each round of the event loop only a few of them have theirs.
The first request of a connection, and any that follows a reply, never waits.
"""

from __future__ import annotations

import asyncio
import collections

import attrs

REQUESTS_PER_ROUND = 4
"""Requests that have their turn in a round of the event loop, of all
connections together."""


@attrs.define(eq=False)
class RequestTurns:
    """The connections whose next request waits for its turn, in order."""

    waiting: collections.deque[asyncio.Future] = attrs.field(
        factory=collections.deque
    )
    is_scheduled: bool = False

    async def wait(self) -> None:
        """Wait for the turn of a request."""
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        for _ in range(min(REQUESTS_PER_ROUND, len(self.waiting))):
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
        if self.waiting:
            self._schedule()
