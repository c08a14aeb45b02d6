"""The sends of one call to targets, of which the first answer counts."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from pomelobend import calls
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    OnSilent = abc.Callable[[], None]
    Send = abc.Callable[[OnSilent], abc.Coroutine[None, None, calls.Answer]]

logger = structlog.get_logger('delivery')


class SilentNodeError(errors.CallRefusedError):
    """The node that a call was sent to is silent; the send goes on."""


@attrs.define(eq=False)
class Sends:
    """Sends of a call that may be repeated.

    A node that is silent may only be held up. Its answer counts if it is the
    first, also if the call was sent to another node meanwhile.

    Parameters
    ----------
    running : set of asyncio.Task
        Sends that have not ended. All but the newest are to silent nodes.
    has_run, has_arrived : bool
        Whether a send has ended after which the call may have run, or had at
        least reached a target.
    has_late_answer : bool
        Whether the answer of a node that had been silent counted.
    """

    running: set[asyncio.Task] = attrs.field(factory=set)
    has_run: bool = False
    has_arrived: bool = False
    has_late_answer: bool = False

    @property
    def run_state(self) -> errors.Run:
        """Return whether the call may have run at a node it was sent to."""
        may_have_run = self.has_run or self.running
        return errors.Run.UNKNOWN if may_have_run else errors.Run.NOT_RUN

    def note(self, refusal: errors.CallRefusedError) -> None:
        """Note the refusal of a send, unless it goes on."""
        if isinstance(refusal, SilentNodeError):
            return
        self.has_run |= refusal.run is not errors.Run.NOT_RUN
        is_rejected = refusal.reason is errors.Reason.TARGET_REFUSED
        self.has_arrived |= self.has_run or is_rejected

    async def add(self, send: Send) -> calls.Answer:
        """Send the call; return the first answer of this or earlier sends.

        Raises
        ------
        errors.CallRefusedError
            This send was refused.
        SilentNodeError
            Its node is silent; the send goes on.
        """
        silence = asyncio.get_running_loop().create_future()
        newest = asyncio.create_task(send(lambda: _note(silence)))
        newest.add_done_callback(_retrieve)
        self.running.add(newest)
        while not newest.done() and not silence.done():
            await asyncio.wait(
                (*self.running, silence), return_when=asyncio.FIRST_COMPLETED
            )
            answer = self._take_answer(newest)
            if answer is not None:
                return answer
        if newest.done():
            self.running.discard(newest)
            try:
                return newest.result()
            finally:
                # A refusal refers to this frame by its traceback.
                del newest
        raise SilentNodeError(
            errors.Reason.PEER_LOST, errors.Run.UNKNOWN, 'the node is silent'
        )

    async def rest(self, refusal: errors.CallRefusedError) -> calls.Answer:
        """Return the first answer of the sends that have not ended.

        Raises
        ------
        errors.CallRefusedError
            ``refusal`` if there is none, with ``NOT_RUN`` if no send may have
            run.
        """
        while self.running:
            await asyncio.wait(
                self.running, return_when=asyncio.FIRST_COMPLETED
            )
            answer = self._take_answer()
            if answer is not None:
                return answer
        raise errors.CallRefusedError(
            refusal.reason, self.run_state, refusal.detail
        )

    def cancel(self) -> None:
        """Cancel the sends that have not ended."""
        for task in self.running:
            task.cancel()

    def _take_answer(
        self, newest: asyncio.Task | None = None
    ) -> calls.Answer | None:
        """Return the answer of a send but the newest; drop refused ones.

        Raises
        ------
        Exception
            A send ended otherwise than by a refusal.
        """
        for task in [t for t in self.running if t.done() and t is not newest]:
            self.running.discard(task)
            try:
                answer = task.result()
            except errors.CallRefusedError as refusal:
                self.note(refusal)
                logger.info(
                    'delivery: silent node has refused a call',
                    reason=str(refusal.reason),
                    run=str(refusal.run),
                    detail=refusal.detail[:120],
                )
                continue
            self.has_late_answer = True
            return answer
        return None


def _note(silence: asyncio.Future) -> None:
    if not silence.done():
        silence.set_result(None)


def _retrieve(task: asyncio.Task) -> None:
    """Mark the exception of a send as known; it may come too late to count."""
    if not task.cancelled():
        task.exception()
