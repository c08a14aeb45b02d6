"""Connections at the address for other nodes before their greeting.

Whoever reaches the address can open one; only a greeting tells that a node is
at its other end. Until then the number of connections is limited, and what
each of them may send: the WebSocket library collects a message of any allowed
size, and counts no connections.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import typing

import attrs
from picows import picows
import structlog

from pomelobend import sockets

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.metrics import counters as counter_module
    from pomelobend.peers import link as links

logger = structlog.get_logger('peers')

GREETING_BYTES = 16 * 1024
"""Size of what a connection may send before its greeting."""

UPGRADE_S = 5.0
"""Time in which a connection has to become a WebSocket."""

READ_BUFFER_BYTES = 16 * 1024

UNUSED_PING_S = 20.0
"""Interval of the pings of the library, which are off."""

DESCRIPTORS_SHARE = 1 / 16
"""Share of the descriptors of the process that pending connections may use:
64 of the usual 1024. A greeting takes a round trip, so that hundreds of nodes
that start together have few at the same time."""

LEAST_CONNECTIONS = 8

SILENT_S = 0.2
"""Time after which a connection without input may be dropped for another one.
A node greets within it, unless it is overloaded."""


class Pending(typing.Protocol):
    """A connection whose greeting has not come."""

    @property
    def has_input(self) -> bool:
        """Return whether it has sent what was not read yet."""

    def abort(self) -> None:
        """End the connection at once."""


@attrs.define(eq=False)
class PendingConnections:
    """The pending connections of a node, the oldest one first.

    Parameters
    ----------
    limit : int
        Most of them. Above it the oldest one that has been silent is dropped,
        or the new one if there is none.
    clock : Clock
    counters : Counters
    connections : dict of Pending to float
        The monotonic time at which each was opened.
    """

    limit: int
    clock: clocks.Clock
    counters: counter_module.Counters
    connections: dict[Pending, float] = attrs.field(factory=dict)

    @classmethod
    def of_process(
        cls,
        descriptors: int,
        clock: clocks.Clock,
        counters: counter_module.Counters,
    ) -> PendingConnections:
        """Return those of a process that may have some descriptors."""
        share = int(DESCRIPTORS_SHARE * descriptors)
        return cls(max(LEAST_CONNECTIONS, share), clock, counters)

    def add(self, connection: Pending) -> None:
        """Note a new connection, for which another one may be dropped."""
        self.connections[connection] = self.clock.monotonic()
        if len(self.connections) <= self.limit:
            return
        logger.warning(
            'peers: too many connections without a greeting', most=self.limit
        )
        self.drop(self._oldest_silent() or connection, 'too-many')

    def _oldest_silent(self) -> Pending | None:
        """Return the oldest connection that has been silent, if any."""
        before = self.clock.monotonic() - SILENT_S
        old = itertools.takewhile(
            lambda item: item[1] <= before, self.connections.items()
        )
        return next((item for item, _ in old if not item.has_input), None)

    def drop(self, connection: Pending, reason: str) -> None:
        """End a connection at once."""
        self.counters.add('peer_connections_dropped', reason)
        self.remove(connection)
        connection.abort()

    def remove(self, connection: Pending) -> None:
        """Note that a connection has greeted, or has ended."""
        self.connections.pop(connection, None)


class PendingProtocol(asyncio.BufferedProtocol):
    """Passes on what a connection sends, up to a limit, until its greeting.

    Parameters
    ----------
    pending : PendingConnections
    create_link : callable
        Returns the link of a connection that has become a WebSocket.
    max_message_bytes : int
    """

    def __init__(
        self,
        pending: PendingConnections,
        create_link: abc.Callable[[], links.Link],
        max_message_bytes: int,
    ) -> None:
        self.pending = pending
        self.create_link = create_link
        self.link: links.Link | None = None
        self.transport: typing.Any = None
        self.received_bytes = 0
        self.websocket: picows.WSProtocol | None = _websocket(
            self._open_link, max_message_bytes
        )

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport; one connection may be too many."""
        self.transport = transport
        self.websocket.connection_made(transport)
        self.pending.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.pending.remove(self)
        self.websocket.connection_lost(exc)
        self._release()

    def get_buffer(self, sizehint: int) -> typing.Any:
        """Return the buffer into which the next bytes are read."""
        return self.websocket.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on received bytes; end the connection if they are too many.

        What follows a first message is not read until that is known to be a
        greeting.
        """
        self.received_bytes += nbytes
        self.websocket.buffer_updated(nbytes)
        if self.received_bytes <= GREETING_BYTES:
            return
        self.transport.pause_reading()
        if self.link is None or not self.link.inbox:
            logger.warning('peers: too many bytes before a greeting')
            self.pending.drop(self, 'too-large')

    def eof_received(self) -> bool | None:
        """Pass on the end of the stream."""
        return self.websocket.eof_received()

    def pause_writing(self) -> None:
        """Pass on that too much is unsent."""
        self.websocket.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that most is sent."""
        self.websocket.resume_writing()

    @property
    def has_input(self) -> bool:
        """Return whether bytes wait in the kernel."""
        return sockets.has_input(self.transport)

    def abort(self) -> None:
        """End the connection once the transport has finished to open it."""
        asyncio.get_running_loop().call_soon(self.transport.abort)

    def _open_link(self, request: picows.WSUpgradeRequest) -> links.Link:
        self.link = self.create_link()
        self.link.on_greeted = self._end_limits
        return self.link

    def _end_limits(self) -> None:
        """Let the WebSocket read alone, as its greeting has come.

        The connection may have ended before that was read.
        """
        self.pending.remove(self)
        if self.websocket is None:
            return
        self.transport.set_protocol(self.websocket)
        self.transport.resume_reading()
        self._release()

    def _release(self) -> None:
        """Drop the references that would form a cycle with this object."""
        self.websocket = self.link = None


def _websocket(
    create_listener: abc.Callable[[picows.WSUpgradeRequest], links.Link],
    max_message_bytes: int,
) -> picows.WSProtocol:
    """Return the protocol of a WebSocket that another node opens."""
    return picows.WSProtocol(
        host_port=None,
        ws_path=None,
        is_client_side=False,
        ws_listener_factory=create_listener,
        logger=logging.getLogger('picows.server'),
        disconnect_on_exception=True,
        websocket_handshake_timeout=UPGRADE_S,
        enable_auto_ping=False,
        auto_ping_idle_timeout=UNUSED_PING_S,
        auto_ping_reply_timeout=UNUSED_PING_S,
        auto_ping_strategy=picows.WSAutoPingStrategy.PING_WHEN_IDLE,
        enable_auto_pong=True,
        max_frame_size=max_message_bytes,
        extra_headers=None,
        read_buffer_init_size=READ_BUFFER_BYTES,
    )
