"""Replies of a connection, in the order of its requests."""

from __future__ import annotations

import asyncio

import structlog

from pomelobend import errors
from pomelobend.http import half_close
from pomelobend.http import message
from pomelobend.http import unsent as unsent_module
from pomelobend.memory import budget as budgets
from pomelobend import sockets

logger = structlog.get_logger('http')

LARGE_REPLY_BYTES = budgets.SMALL_BYTES
"""Size above which a reply is not copied, and held from its start. A smaller
one is held if it does not go out at once."""

NO_MEMORY_RETRY_S = 1
"""Time after which a request for which there was no memory may come again."""


class Replying:
    """The part of a connection that answers requests.

    It uses the state of ``connection.Connection``.
    """

    def pause_writing(self) -> None:
        """Delay the next reply until the write buffer has drained."""
        self.write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume writing replies."""
        self._release_unsent()
        self._wake_writer()

    async def _serve(self) -> None:
        """Process queued requests in order."""
        try:
            while self.queue:
                request = self._take_request()
                self.is_running = True
                if self.is_paused or self.backlog:
                    self._go_on()
                await self._wait_if_left()
                reply = await self._answer(request)
                is_keep_alive = request.is_keep_alive
                if request.method == 'HEAD':
                    reply = _without_body(reply)
                del request
                if not await self._write(reply, is_keep_alive=is_keep_alive):
                    return
                del reply
                if self.queue:
                    await self.server.request_turns.wait()
        finally:
            self.task = None
            self.is_running = False
            self._begin_period()

    def _take_request(self) -> message.Request:
        """Return the next request, which is begun now."""
        request = self.queue.popleft()
        if request.holding is not None:
            self.server.budget.queued.remove(request.holding)
        return request

    async def _wait_if_left(self) -> None:
        """Wait for the first check of a caller whose stream has ended.

        After the loop was held up, the callers of many requests may have left.
        """
        if self.half_close is None and sockets.has_ended(self.transport):
            await asyncio.sleep(half_close.SETTLE_S)

    async def _answer(self, request: message.Request) -> message.Reply:
        """Return the reply to a request, or status 500 on an exception.

        A request that is cancelled within the node, not since its client has
        left, is due a reply as well.
        """
        if request is self.refused:
            return refusal(503)
        if request.refusal is not None:
            return request.refusal
        try:
            return await self.server.answer(request)
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            logger.exception('http: a request was cancelled within the node')
            return message.Reply(500)
        except Exception:
            logger.exception('http: unexpected error while handling a request')
            return message.Reply(500)
        finally:
            request.holding = None

    async def _write(
        self, reply: message.Reply, *, is_keep_alive: bool
    ) -> bool:
        """Write a reply and return whether the connection stays open.

        Parameters
        ----------
        reply : Reply
        is_keep_alive : bool
            Whether the client keeps the connection open.
        """
        holding = None
        if len(reply.body) > LARGE_REPLY_BYTES or self.write_waiter:
            holding = self._hold(reply)
        if self.write_waiter is not None:
            await self.write_waiter
        if self.transport.is_closing():
            return False
        is_keep_alive = (
            is_keep_alive
            and not self.is_closing
            and not self._is_last_reply()
            and not (self.half_close and not self.queue)
        )
        if holding is None:
            encoded = message.encode(reply, is_keep_alive=is_keep_alive)
            self.transport.write(encoded)
            if self.transport.get_write_buffer_size():
                self._note_unsent(self._hold(reply))
        else:
            self._write_held(reply, holding, is_keep_alive=is_keep_alive)
        if not is_keep_alive:
            self.close_after_reply()
            return False
        return True

    def _hold(self, reply: message.Reply) -> budgets.Holding:
        """Hold a reply; the connection ends if there is no room for it."""
        holding = reply.holding
        if holding is None:
            holding = self.server.budget.open(budgets.Place.REPLIES)
            try:
                holding.grow(len(reply.body))
            except errors.MemoryFullError:
                self._give_up_reply()
        holding.complete(budgets.Place.REPLIES, self._give_up_reply)
        return holding

    def _write_held(
        self,
        reply: message.Reply,
        holding: budgets.Holding,
        *,
        is_keep_alive: bool,
    ) -> None:
        """Write a reply without a copy; hold it until the kernel has it."""
        head = message.encode_reply_head(reply, is_keep_alive=is_keep_alive)
        self.transport.write(head)
        self.transport.write(reply.body)
        if self.transport.get_write_buffer_size():
            self._note_unsent(holding)
        else:
            holding.release()

    def _note_unsent(self, holding: budgets.Holding) -> None:
        """Hold a reply until the kernel has it."""
        self.unsent = unsent_module.Unsent(
            self.transport, holding, self.server.clock.monotonic()
        )

    def _release_unsent(self) -> None:
        """Free a reply that the kernel has taken, or that has ended."""
        if self.unsent is not None:
            self.unsent.holding.release()
            self.unsent = None

    def _give_up_reply(self) -> None:
        """End the connection, as others need the memory of its reply."""
        logger.warning(
            'http: a reply is given up, as its caller does not read it',
            address=self.server.address,
            unsent_bytes=self.transport.get_write_buffer_size(),
        )
        self.is_closing = True
        self.transport.abort()

    def _is_last_reply(self) -> bool:
        """Return whether the server stops and no request has followed."""
        if not self.server.is_stopping or self.queue or self.is_receiving:
            return False
        if self.intake.is_waiting:
            return False
        self.has_waiting_input = sockets.has_input(self.transport)
        return not self.has_waiting_input

    def _wake_writer(self) -> None:
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)
        self.write_waiter = None


def refusal(status: int) -> message.Reply:
    """Return the reply to a request that is refused unprocessed."""
    headers = []
    if status in (429, 503):
        headers.append(('retry-after', str(NO_MEMORY_RETRY_S)))
    return message.Reply(status, headers)


def _without_body(reply: message.Reply) -> message.Reply:
    """Return a reply to a HEAD, whose length is that of the body."""
    length = ('content-length', str(len(reply.body)))
    is_given = any(name == 'content-length' for name, _ in reply.headers)
    headers = reply.headers if is_given else [*reply.headers, length]
    return message.Reply(reply.status, headers)
