"""Taking and settling claims in the platform."""

from __future__ import annotations

import asyncio
import random
import typing
import uuid

import attrs
import structlog

from pomelobend.claims import claim as claims
from pomelobend import errors
from pomelobend.platform import commands as platform_commands

if typing.TYPE_CHECKING:
    from pomelobend import calls
    from pomelobend import clock as clocks
    from pomelobend.metrics import counters as counter_module
    from pomelobend.platform import queries as platform_queries

logger = structlog.get_logger('claims')

ATTEMPTS = 5
"""Tries of taking one claim."""

SETTLE_ATTEMPTS = 40
"""Tries of writing down what became of a call, over about a minute."""

CLOSE_S = 5.0
"""Longest wait at a graceful stop for outcomes to be written."""

RETRY_S = 0.05
"""Longest wait before the first further try."""

RETRY_LONGEST_S = 2.0
"""Longest wait before a later try."""


@attrs.frozen
class Held:
    """A claim that this node holds for one attempt."""

    name: str
    version: int
    claim: claims.Claim


@attrs.define(eq=False)
class Ledger:
    """Lets one attempt of all that carry the same key run.

    A claim is created on the condition that it is not there, or taken over
    on the condition that it still is the released one that was read, so
    only one attempt can hold it. A claim whose holder is gone stays as it
    is: the call may have run, so nobody may run it again.
    """

    queries: platform_queries.Queries
    commands: platform_commands.Commands
    clock: clocks.Clock
    counters: counter_module.Counters
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    random: random.Random = attrs.field(factory=random.Random)

    async def take(self, call: calls.Call) -> Held | calls.Answer:
        """Return the claim for a call, or the answer kept for it.

        Raises
        ------
        errors.CallRefusedError
        """
        name = claims.name_of(call)
        own = claims.Claim(
            claims.State.RUNNING, uuid.uuid4().hex, claims.fingerprint_of(call)
        )
        version = platform_commands.ABSENT
        for attempt in range(ATTEMPTS):
            try:
                written = await self._put(name, own, version)
                return Held(name, written, own)
            except errors.PlatformConflictError:
                found = await self._read(name)
            except errors.PlatformOutcomeUnknownError:
                found = None
            except errors.PlatformUnavailableError:
                found = None
            if found is not None:
                if found[1].nonce == own.nonce:
                    return Held(name, found[0], own)
                version = found[0]
                answer = _judge(found[1], own)
                if answer is not None:
                    self.counters.add('claims_replayed')
                    return answer
            await self._back_off(attempt)
        raise errors.CallRefusedError(errors.Reason.PLATFORM_AWAY)

    def finish(self, held: Held, answer: calls.Answer) -> None:
        """Write down that the call has run, and its answer."""
        self._settle(held, held.claim.with_answer(answer))

    def release(self, held: Held) -> None:
        """Write down that the call has not run, so that it may."""
        self._settle(
            held, attrs.evolve(held.claim, state=claims.State.RELEASED)
        )

    async def close(self) -> None:
        """Wait shortly for outcomes that are still to be written."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CLOSE_S)

    def _settle(self, held: Held, claim: claims.Claim) -> None:
        task = asyncio.create_task(self._write_down(held, claim))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write_down(self, held: Held, claim: claims.Claim) -> None:
        for attempt in range(SETTLE_ATTEMPTS):
            try:
                await self._put(held.name, claim, held.version)
                return
            except errors.PlatformConflictError:
                return
            except errors.PlatformError:
                await self._back_off(attempt)
        self.counters.add('claims_unsettled')
        logger.warning('claims: outcome not written', claim=held.name)

    async def _put(self, name: str, claim: claims.Claim, version: int) -> int:
        return await self.commands.put(
            claims.KIND, name, claim.to_value(), version
        )

    async def _read(self, name: str) -> tuple[int, claims.Claim] | None:
        try:
            stored = await self.queries.get(claims.KIND, name)
        except errors.PlatformError:
            return None
        return stored.version, claims.Claim.from_value(stored.value)

    async def _back_off(self, attempt: int) -> None:
        longest = min(RETRY_S * 2**attempt, RETRY_LONGEST_S)
        await self.clock.sleep(self.random.uniform(0, longest))


def _judge(found: claims.Claim, own: claims.Claim) -> calls.Answer | None:
    """Return the kept answer, or none where the claim may be taken over.

    Raises
    ------
    errors.CallRefusedError
    """
    if found.fingerprint != own.fingerprint:
        raise errors.CallRefusedError(errors.Reason.KEY_REUSED)
    match found.state:
        case claims.State.RELEASED:
            return None
        case claims.State.DONE if found.is_kept:
            return found.answer()
        case claims.State.DONE:
            raise errors.CallRefusedError(
                errors.Reason.ALREADY_RUN, errors.Run.DONE
            )
        case _:
            raise errors.CallRefusedError(
                errors.Reason.ALREADY_CLAIMED, errors.Run.UNKNOWN
            )
