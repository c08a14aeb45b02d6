"""Kept HTTP connections to the local target, parsed by httptools."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import httptools

from pomelobend import calls
from pomelobend import config
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks

HIGH_BYTES = 256 * 1024
"""Bytes of an answer held back above which the socket is not read."""

HEAD_BYTES = 64 * 1024
"""Largest head of an answer."""

FRESH_S = 1.0
"""Idle time up to which a kept connection may carry a call that must not
run twice: a target may be about to close one that has been idle longer."""

IDLE_S = 15.0
"""Idle time after which a kept connection is closed."""


@attrs.define(eq=False)
class Head:
    """The head of an answer."""

    status: int = 0
    headers: calls.Headers = attrs.field(factory=list)
    length: int | None = None
    size: int = 0


class Channel(asyncio.Protocol):
    """One connection to the target, with at most one call on it."""

    def __init__(self) -> None:
        self.transport: typing.Any = None
        self.parser: typing.Any = None
        self.head: Head = Head()
        self.has_head = False
        self.is_ended = False
        self.is_kept = False
        self.is_paused = False
        self.is_without_body = False
        self.error: Exception | None = None
        self.parts: collections.deque[bytes] = collections.deque()
        self.held = 0
        self.news: asyncio.Future | None = None
        self.drained: asyncio.Future | None = None
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry a call."""
        return self.error is None and not self.transport.is_closing()

    def begin(self, *, is_without_body: bool) -> None:
        """Get ready for the answer to a new call."""
        self.parser = httptools.HttpResponseParser(self)
        self.head = Head()
        self.has_head = self.is_ended = self.is_kept = False
        self.is_without_body = is_without_body

    def write(self, data: bytes) -> None:
        """Send bytes of a request."""
        self.transport.write(data)

    async def writable(self) -> None:
        """Wait until the socket takes more bytes."""
        if self.drained is not None:
            await self.drained

    async def wait_for_head(self) -> Head:
        """Return the head of the answer.

        Raises
        ------
        errors.AnswerBrokenError
        """
        while not self.has_head:
            await self._wait()
        return self.head

    async def body(self, silence_s: float) -> abc.AsyncIterator[bytes]:
        """Yield the body of the answer.

        Parameters
        ----------
        silence_s : float
            Seconds without a byte after which the answer is given up.

        Raises
        ------
        errors.AnswerBrokenError
            The connection ended before the last byte, or fell silent.
        """
        while True:
            while self.parts:
                part = self.parts.popleft()
                self.held -= len(part)
                yield part
            if self.is_ended:
                return
            if self.is_paused and self.held < HIGH_BYTES // 2:
                self.is_paused = False
                self.transport.resume_reading()
            await self._wait_for_part(silence_s)

    def close(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: typing.Any) -> None:
        """Take the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        if self._ends_with_connection() and exc is None:
            self._end()
        self._fail(exc or ConnectionResetError('closed by the target'))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        if self.parser is None or self.is_ended:
            self._fail(ValueError('bytes that belong to no call'))
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(error)
            self.close()

    def pause_writing(self) -> None:
        """Hold back further bytes of the request."""
        self.drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let further bytes of the request go."""
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)
        self.drained = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the answer."""
        text = name.decode('latin-1').lower()
        self.head.headers.append((text, value.decode('latin-1')))
        self.head.size += len(name) + len(value)
        if self.head.size > HEAD_BYTES:
            raise ValueError('the head of the answer is too large')
        if text == 'content-length':
            self.head.length = int(value)

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.head.status = status
        self.has_head = True
        if self.is_without_body:
            self.is_ended = True
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.parts.append(body)
        self.held += len(body)
        if self.held > HIGH_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Take the end of the answer."""
        if not self.has_head:
            self.head = Head()
            return
        if not self.is_without_body:
            self.is_kept = self.parser.should_keep_alive()
            self._end()

    def _ends_with_connection(self) -> bool:
        """Tell whether the body lasts as long as the connection."""
        return (
            self.has_head
            and self.head.length is None
            and not any(
                name == 'transfer-encoding' for name, _ in self.head.headers
            )
        )

    def _end(self) -> None:
        self.is_ended = True
        self._wake()

    def _fail(self, error: Exception) -> None:
        if self.error is None:
            self.error = error
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)
        self._wake()

    def _wake(self) -> None:
        if self.news is not None and not self.news.done():
            self.news.set_result(None)

    async def _wait_for_part(self, silence_s: float) -> None:
        try:
            async with asyncio.timeout(silence_s):
                await self._wait()
        except TimeoutError as error:
            self._fail(error)
            raise errors.AnswerBrokenError(
                f'no byte for {silence_s} s'
            ) from error

    async def _wait(self) -> None:
        if self.error is not None:
            raise errors.AnswerBrokenError(repr(self.error)) from self.error
        self.news = asyncio.get_running_loop().create_future()
        await self.news


@attrs.define(eq=False)
class Channels:
    """The kept connections to the target, most lately used first."""

    clock: clocks.Clock
    address: str = ''
    idle: list[Channel] = attrs.field(factory=list)

    def use(self, address: str) -> None:
        """Connect to another address from now on."""
        if address != self.address:
            self.close()
            self.address = address

    async def take(self, *, is_idempotent: bool) -> Channel:
        """Return a connection for one call.

        Raises
        ------
        OSError
            No connection could be opened.
        """
        now = self.clock.monotonic()
        longest = IDLE_S if is_idempotent else FRESH_S
        while self.idle:
            channel = self.idle.pop()
            if channel.is_open and now - channel.idle_since <= longest:
                return channel
            channel.close()
        host, port = config.split_address(self.address)
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(Channel, host, port)
        return channel

    def give_back(self, channel: Channel) -> None:
        """Keep a connection after a whole answer, or close it."""
        if channel.is_kept and channel.is_open and channel.is_ended:
            channel.idle_since = self.clock.monotonic()
            self.idle.append(channel)
        else:
            channel.close()

    def close(self) -> None:
        """Close all kept connections."""
        for channel in self.idle:
            channel.close()
        self.idle.clear()
