"""A websocket that carries whole binary messages."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import picows

from pomelobend import config
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

HIGH_MARK = 1024
"""Messages waiting to be taken above which the socket is not read."""

CLOSE_S = 0.2
"""Longest wait for the other end when a link is closed."""


@attrs.define
class Traffic:
    """Bytes of messages that all links of a node have carried."""

    sent: int = 0
    received: int = 0


class Link(picows.WSListener):
    """One end of a websocket, read by one task.

    Sending never waits: what the socket does not take is buffered, and the
    windows of the calls bound how much that can be.
    """

    def __init__(self, traffic: Traffic | None = None) -> None:
        self.traffic = traffic or Traffic()
        self.transport: typing.Any = None
        self.inbox: collections.deque[bytes] = collections.deque()
        self.arrival: asyncio.Future | None = None
        self.error: errors.PeerError | None = None
        self.is_paused = False

    @classmethod
    async def connect(
        cls,
        address: str,
        largest: int,
        timeout_s: float,
        traffic: Traffic | None = None,
    ) -> Link:
        """Open a link to an address.

        Raises
        ------
        errors.LinkClosedError
        """
        try:
            async with asyncio.timeout(timeout_s):
                _, link = await picows.ws_connect(
                    lambda: cls(traffic),
                    f'ws://{address}/',
                    enable_auto_pong=True,
                    max_frame_size=largest,
                )
        except (OSError, TimeoutError, picows.WSError) as error:
            raise errors.LinkClosedError(
                f'no connection to {address}: {error!r}'
            ) from error
        return link

    def on_ws_connected(self, transport: picows.WSTransport) -> None:
        """Take the transport of the websocket."""
        self.transport = transport

    def on_ws_frame(
        self, transport: picows.WSTransport, frame: picows.WSFrame
    ) -> None:
        """Take a frame of the other end."""
        kind = frame.msg_type
        if kind is picows.WSMsgType.CLOSE:
            self.fail(errors.LinkClosedError('closed by the other end'))
            transport.disconnect()
        elif kind is not picows.WSMsgType.BINARY or not frame.fin:
            self.fail(errors.ProtocolError(f'a frame of kind {kind.name}'))
            transport.disconnect(False)
        else:
            data = frame.get_payload_as_bytes()
            self.traffic.received += len(data)
            self.inbox.append(data)
            self._wake()
            if len(self.inbox) > HIGH_MARK and not self.is_paused:
                self.is_paused = True
                transport.underlying_transport.pause_reading()

    def on_ws_disconnected(self, transport: picows.WSTransport) -> None:
        """Take the end of the websocket."""
        self.fail(errors.LinkClosedError('the connection ended'))

    def send(self, data: bytes) -> None:
        """Send a message.

        Raises
        ------
        errors.LinkClosedError
        """
        if self.error is not None or self.transport.is_disconnected:
            raise errors.LinkClosedError(str(self.error or 'disconnected'))
        self.traffic.sent += len(data)
        self.transport.send(picows.WSMsgType.BINARY, data)

    async def receive(self) -> bytes:
        """Return the next message.

        Raises
        ------
        errors.LinkClosedError
        errors.ProtocolError
        """
        while not self.inbox:
            if self.error is not None:
                raise self.error
            self.arrival = asyncio.get_running_loop().create_future()
            await self.arrival
        if self.is_paused and len(self.inbox) <= HIGH_MARK // 2:
            self.is_paused = False
            self.transport.underlying_transport.resume_reading()
        return self.inbox.popleft()

    def fail(self, error: errors.PeerError) -> None:
        """End the link for its reader."""
        if self.error is None:
            self.error = error
        self._wake()

    async def close(self) -> None:
        """Close the link, waiting shortly for the other end."""
        self.fail(errors.LinkClosedError('closed here'))
        if self.transport is None or self.transport.is_disconnected:
            return
        self.transport.send_close(picows.WSCloseCode.GOING_AWAY)
        try:
            async with asyncio.timeout(CLOSE_S):
                await self.transport.wait_disconnected()
        except TimeoutError:
            self.abort()

    def abort(self) -> None:
        """End the link at once."""
        self.fail(errors.LinkClosedError('aborted here'))
        if self.transport is not None:
            self.transport.disconnect(False)

    def _wake(self) -> None:
        if self.arrival is not None and not self.arrival.done():
            self.arrival.set_result(None)


async def listen(
    address: str,
    largest: int,
    accept: abc.Callable[[Link], abc.Coroutine],
    traffic: Traffic,
) -> asyncio.Server:
    """Accept links and run a coroutine for each of them."""
    tasks: set[asyncio.Task] = set()

    class Accepted(Link):
        """A link that this node has accepted."""

        def on_ws_connected(self, transport: picows.WSTransport) -> None:
            """Take the transport and begin to serve."""
            super().on_ws_connected(transport)
            task = asyncio.create_task(accept(self))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    host, port = config.split_address(address)
    return await picows.ws_create_server(
        lambda _: Accepted(traffic),
        host,
        port,
        enable_auto_pong=True,
        max_frame_size=largest,
    )
