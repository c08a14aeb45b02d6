"""Bringing a call to a target, again elsewhere where that is allowed."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs

from pomelobend import calls
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.routing import retry

if typing.TYPE_CHECKING:
    from pomelobend.admission import guard as guards
    from pomelobend import clock as clocks
    from pomelobend.configuration import store as stores
    from pomelobend.metrics import counters as counter_module
    from pomelobend.peers import caller as peer_callers
    from pomelobend.routing import choice

BACK_OFF_S = 0.01
"""Longest wait before the first retry."""

_FAILURES = frozenset(
    (
        errors.Reason.PEER_UNREACHABLE,
        errors.Reason.PEER_LOST,
        errors.Reason.TARGET_UNREACHABLE,
        errors.Reason.TARGET_LOST,
        errors.Reason.TARGET_TIMEOUT,
    )
)
"""Refusals that speak against the target or its node."""


@attrs.define(eq=False)
class Dispatcher:
    """Chooses a target, sends the call, and decides what a refusal means.

    Only the node that took the call from its caller retries, so that the
    retries of a chain of calls do not multiply.
    """

    node: str
    store: stores.Store
    chooser: choice.Chooser
    guard: guards.Guard
    remote: peer_callers.Caller
    clock: clocks.Clock
    counters: counter_module.Counters
    budgets: retry.Budgets = attrs.field(factory=retry.Budgets)
    random: random.Random = attrs.field(factory=random.Random)

    async def dispatch(self, call: calls.Call) -> calls.Answer:
        """Return the answer of a target.

        Raises
        ------
        errors.CallRefusedError
        """
        rule = call.route.rule
        budget = self.budgets.of(rule.name, rule.retry_budget)
        if call.attempt == 0:
            budget.note_fresh()
        tried: set[str] = set()
        ran = errors.Run.NOT_RUN
        while True:
            try:
                return await self._try(call, tried)
            except errors.CallRefusedError as refusal:
                if refusal.run is errors.Run.UNKNOWN:
                    ran = errors.Run.UNKNOWN
                if not self._may_retry(call, refusal, budget, tried):
                    raise errors.CallRefusedError(
                        refusal.reason, ran, refusal.detail
                    ) from refusal
                self.counters.add('calls_retried', refusal.reason)
            call.attempt += 1
            await self._back_off(len(tried))

    async def _try(self, call: calls.Call, tried: set[str]) -> calls.Answer:
        if call.deadline <= self.clock.monotonic():
            raise errors.CallRefusedError(errors.Reason.DEADLINE_PASSED)
        item = self.chooser.choose(self.store.snapshot, call.route, tried)
        if item is None:
            raise errors.CallRefusedError(
                errors.Reason.NO_TARGET, detail=call.route.service.name
            )
        tried.add(item.node)
        view = self.chooser.view(item)
        view.in_flight += 1
        try:
            answer = await self._send(call, item, view)
        except errors.CallRefusedError as refusal:
            if refusal.reason in _FAILURES:
                self.chooser.note_failure(view)
            raise
        finally:
            view.in_flight -= 1
        self.chooser.note_success(view)
        return answer

    async def _send(
        self, call: calls.Call, item: members.Member, view: choice.View
    ) -> calls.Answer:
        if item.node == self.node:
            answer = await self.guard.run(call)
            view.free = self.guard.free
            return answer
        return await self.remote.call(call, item, view)

    def _may_retry(
        self,
        call: calls.Call,
        refusal: errors.CallRefusedError,
        budget: retry.Budget,
        tried: set[str],
    ) -> bool:
        is_idempotent = call.route.rule.is_idempotent
        if not retry.may_repeat(refusal, is_idempotent=is_idempotent):
            return False
        if call.attempt > 0 and len(tried) <= 1:
            self.counters.add('retries_denied', 'retried-above')
            return False
        if refusal.reason is errors.Reason.NO_TARGET:
            return False
        if len(tried) >= retry.ATTEMPTS:
            self.counters.add('retries_denied', 'attempts')
            return False
        if call.rest is not None:
            self.counters.add('retries_denied', 'body-sent')
            return False
        if not budget.take():
            self.counters.add('retries_denied', 'budget')
            return False
        return True

    async def _back_off(self, attempt: int) -> None:
        longest = BACK_OFF_S * 2 ** (attempt - 1)
        await asyncio.sleep(self.random.uniform(0, longest))
