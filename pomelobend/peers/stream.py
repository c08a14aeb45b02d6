"""One call on a connection, as either of its two ends sees it."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs

from pomelobend import errors
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.peers import connection as connections

PART_BYTES = 64 * 1024
"""Largest part of a body in one message."""


@attrs.define(eq=False)
class Stream:
    """The messages of one call, and the room for body bytes both ways.

    Parameters
    ----------
    connection : connections.Connection
    call : int
        Identity of the call on its connection.
    room : int
        Body bytes that may still be sent before a ``Window`` arrives.
    """

    connection: connections.Connection
    call: int
    room: int
    inbox: collections.deque = attrs.field(factory=collections.deque)
    failure: errors.PomelobendError | None = None
    arrival: asyncio.Future | None = None
    widening: asyncio.Future | None = None

    def deliver(self, message: messages.Message) -> None:
        """Take a message of this call from the connection."""
        if type(message) is messages.Window:
            self.room += message.size
            _wake(self.widening)
            return
        self.inbox.append(message)
        _wake(self.arrival)

    def fail(self, error: errors.PomelobendError) -> None:
        """End the call because its connection has ended."""
        self.failure = error
        _wake(self.arrival)
        _wake(self.widening)

    async def receive(self) -> messages.Message:
        """Return the next message of the call.

        Raises
        ------
        errors.LinkClosedError
        """
        while not self.inbox:
            if self.failure is not None:
                raise self.failure
            self.arrival = asyncio.get_running_loop().create_future()
            await self.arrival
        return self.inbox.popleft()

    async def body(self, first: bytes) -> abc.AsyncIterator[bytes]:
        """Yield the parts of the body that the other end sends.

        Raises
        ------
        errors.AnswerBrokenError
            The body ended before its last byte.
        """
        if first:
            yield first
            self._widen(first)
        while True:
            try:
                part = await self.receive()
            except errors.LinkClosedError as error:
                raise errors.AnswerBrokenError(str(error)) from error
            if type(part) is not messages.BodyPart:
                raise errors.AnswerBrokenError(
                    getattr(part, 'detail', type(part).__name__)
                )
            if part.body:
                yield part.body
            if part.is_last:
                return
            self._widen(part.body)

    async def send_body(self, parts: abc.AsyncIterable[bytes]) -> None:
        """Send a body in parts, as far as the other end has room.

        Raises
        ------
        errors.LinkClosedError
        """
        async for part in parts:
            for start in range(0, len(part), PART_BYTES):
                piece = part[start : start + PART_BYTES]
                await self._take_room(len(piece))
                self.connection.send(
                    messages.BodyPart(self.call, piece, False)
                )
        self.connection.send(messages.BodyPart(self.call, b'', True))

    async def _take_room(self, size: int) -> None:
        while self.room < size:
            if self.failure is not None:
                raise self.failure
            self.widening = asyncio.get_running_loop().create_future()
            await self.widening
        self.room -= size

    def _widen(self, body: bytes) -> None:
        if body and self.failure is None:
            self.connection.send(messages.Window(self.call, len(body)))


def _wake(future: asyncio.Future | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)
