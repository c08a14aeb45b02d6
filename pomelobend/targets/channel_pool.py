"""Pool of persistent connections to one address."""

from __future__ import annotations

import asyncio
import socket
import typing

import attrs

from pomelobend import addresses
from pomelobend.targets import channel as channels
from pomelobend import turns as turn_module

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

NON_IDEMPOTENT_IDLE_S = 1.0
"""Idle time up to which a connection is reused for a non-idempotent call.
A target may be about to close a connection that has been idle for longer."""

KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
"""Detects a dead connection within 3 s even while no data is sent."""


@attrs.define(eq=False)
class ChannelPool:
    """Pool of persistent connections; the last one used is reused first."""

    clock: clocks.Clock
    address: str = ''
    options: tuple[tuple[int, int, int], ...] = ()
    idle: list[channels.Channel] = attrs.field(factory=list)
    opened: int = 0
    turns: turn_module.Turns = attrs.field(factory=turn_module.Turns)

    def use(self, address: str) -> None:
        """Set the target address; close idle connections to another one."""
        if address != self.address:
            self.close()
            self.address = address

    async def acquire(self, *, is_idempotent: bool) -> channels.Channel:
        """Return an idle or new connection for one call.

        Raises
        ------
        OSError
            The connection could not be opened.
        """
        now = self.clock.monotonic()
        while self.idle:
            channel = self.idle.pop()
            if _is_usable(channel, now, is_idempotent=is_idempotent):
                return channel
            channel.close()
        host, port = addresses.split(self.address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        _, channel = await loop.create_connection(
            lambda: channels.Channel(self.turns), host, port
        )
        sock = channel.transport.get_extra_info('socket')
        for option in self.options:
            sock.setsockopt(*option)
        return channel

    def release(self, channel: channels.Channel) -> None:
        """Return a reusable connection to the pool, or close it."""
        if channel.is_reusable:
            channel.idle_since = self.clock.monotonic()
            self.idle.append(channel)
        else:
            channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        for channel in self.idle:
            channel.close()
        self.idle.clear()


def _is_usable(
    channel: channels.Channel, now: float, *, is_idempotent: bool
) -> bool:
    """Return whether an idle connection can carry a call."""
    max_idle_s = channel.idle_s
    if not is_idempotent:
        max_idle_s = min(max_idle_s, NON_IDEMPOTENT_IDLE_S)
    return (
        channel.is_open
        and now - channel.idle_since <= max_idle_s
        and not channel.has_waiting_end()
    )
