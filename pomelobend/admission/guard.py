"""The one place that lets calls through to the local target."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs

from pomelobend import calls
from pomelobend import errors
from pomelobend.membership import member as members

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.admission import limiter as limiters
    from pomelobend.claims import runner as runners
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.metrics import counters as counter_module
    from pomelobend.targets import client as target_clients

SHED_STATUS = frozenset((429, 503))
"""Answers by which a target sheds load."""

_OVERLOAD = frozenset(
    (
        errors.Reason.TARGET_UNREACHABLE,
        errors.Reason.TARGET_LOST,
        errors.Reason.TARGET_TIMEOUT,
    )
)
"""Refusals that may come of too much work at the target."""


@attrs.define(eq=False)
class Guard:
    """Admits calls as far as the target bears them.

    Calls beyond the limit wait in a short queue, newest last; one that
    cannot be run before its deadline is refused as not run.
    """

    settings: config.Target
    clock: clocks.Clock
    limiter: limiters.Limiter
    client: target_clients.Client
    runner: runners.Runner
    counters: counter_module.Counters
    service: str = ''
    state: members.State = members.State.ABSENT
    running: int = 0
    queue: collections.deque[asyncio.Future] = attrs.field(
        factory=collections.deque
    )

    @property
    def free(self) -> int:
        """Return how many further calls the target could run now."""
        if self.state is not members.State.SERVING:
            return 0
        return max(0, self.limiter.current - self.running - len(self.queue))

    async def run(self, call: calls.Call) -> calls.Answer:
        """Run a call on the local target.

        Raises
        ------
        errors.CallRefusedError
        """
        self._check(call)
        await self._enter(call)
        try:
            answer = await self._call_target(call)
        except BaseException:
            self._leave()
            raise
        if answer.rest is None:
            self._leave()
        else:
            answer.rest = self._until_end(answer.rest)
        return answer

    def _check(self, call: calls.Call) -> None:
        if self.state is members.State.DRAINING:
            self._refuse(errors.Reason.DRAINING)
        if self.state is members.State.ABSENT:
            self._refuse(errors.Reason.NO_TARGET)
        if call.deadline <= self.clock.monotonic():
            self._refuse(errors.Reason.DEADLINE_PASSED)

    async def _enter(self, call: calls.Call) -> None:
        """Take a slot, waiting for one as long as that makes sense."""
        if self.running < self.limiter.current and not self.queue:
            self.running += 1
            return
        if len(self.queue) >= self.settings.queue:
            self._refuse(errors.Reason.OVERLOADED)
        await self._wait_for_slot(call)

    async def _wait_for_slot(self, call: calls.Call) -> None:
        left = call.deadline - self.clock.monotonic()
        longest = min(left, self.settings.queue_wait.total_seconds())
        place = asyncio.get_running_loop().create_future()
        self.queue.append(place)
        self.counters.add('calls_queued')
        try:
            async with asyncio.timeout(longest):
                await place
        except TimeoutError:
            self._give_up(place)
            self._refuse(errors.Reason.OVERLOADED)
        except asyncio.CancelledError:
            self._give_up(place)
            raise

    def _give_up(self, place: asyncio.Future) -> None:
        """Leave the queue, passing on a slot that was just given."""
        if place.done() and not place.cancelled():
            self._leave()
        elif place in self.queue:
            self.queue.remove(place)

    def _leave(self) -> None:
        """Free a slot and give what is free to those that wait."""
        self.running -= 1
        while self.queue and self.running < self.limiter.current:
            place = self.queue.popleft()
            if not place.done():
                self.running += 1
                place.set_result(None)

    async def _call_target(self, call: calls.Call) -> calls.Answer:
        self.counters.add('calls_admitted')
        started_at = self.clock.monotonic()
        try:
            answer = await self.runner.call(call)
        except errors.CallRefusedError as refusal:
            if refusal.reason in _OVERLOAD:
                self.limiter.note_overload()
            raise
        if answer.status in SHED_STATUS:
            self.limiter.note_overload()
        else:
            self.limiter.note_success(self.clock.monotonic() - started_at)
        return answer

    async def _until_end(
        self, rest: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[bytes]:
        """Pass on a body and free the slot when it has ended."""
        try:
            async for part in rest:
                yield part
        finally:
            self._leave()

    def _refuse(self, reason: errors.Reason) -> typing.NoReturn:
        self.counters.add('calls_not_admitted', reason)
        raise errors.CallRefusedError(reason)
