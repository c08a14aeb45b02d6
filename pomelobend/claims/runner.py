"""Running calls on the local target, those with a key at most once."""

from __future__ import annotations

import typing

import attrs

from pomelobend import calls
from pomelobend.claims import ledger as ledgers
from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend.targets import client as target_clients


@attrs.define(eq=False)
class Runner:
    """Claims the key of a call, if it has one, before the call is sent."""

    client: target_clients.Client
    ledger: ledgers.Ledger

    async def call(self, call: calls.Call) -> calls.Answer:
        """Run a call on the target, or give back the answer kept for it.

        Raises
        ------
        errors.CallRefusedError
        """
        if not call.key or call.route.rule.is_idempotent:
            return await self.client.call(call)
        if call.rest is not None:
            raise errors.CallRefusedError(
                errors.Reason.BODY_TOO_LARGE, detail='for a call with a key'
            )
        held = await self.ledger.take(call)
        if isinstance(held, calls.Answer):
            return held
        return await self._run(call, held)

    async def _run(self, call: calls.Call, held: ledgers.Held) -> calls.Answer:
        try:
            answer = await self.client.call(call)
        except errors.CallRefusedError as refusal:
            if refusal.run is errors.Run.NOT_RUN:
                self.ledger.release(held)
            raise
        self.ledger.finish(held, answer)
        return answer
