"""A reply that its caller has not taken yet."""

from __future__ import annotations

import fcntl
import struct
import termios
import typing

import attrs
import structlog

if typing.TYPE_CHECKING:
    from pomelobend.memory import budget as budgets

logger = structlog.get_logger('http')

COUNT = struct.Struct('i')
"""Format in which the kernel tells a number of bytes."""


@attrs.define(eq=False)
class Unsent:
    """A reply in the write buffer of a connection.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection.
    holding : Holding
        The bytes of the reply.
    taken_at : float
        Monotonic time at which some of it was last seen to be taken.
    untaken_bytes : int
        What was left then.
    """

    transport: typing.Any
    holding: budgets.Holding
    taken_at: float
    untaken_bytes: int = -1

    def pause_s(self, now: float) -> float:
        """Return for how long the caller has taken nothing, in s."""
        untaken_bytes = self._untaken_bytes()
        if untaken_bytes != self.untaken_bytes:
            self.taken_at, self.untaken_bytes = now, untaken_bytes
        return now - self.taken_at

    def _untaken_bytes(self) -> int:
        """Return what the caller has not acknowledged.

        The kernel takes more of a reply only once much of its own buffer is
        free, which takes long if a caller reads slowly.
        """
        return self.transport.get_write_buffer_size() + _sent_bytes(
            self.transport
        )


def _sent_bytes(transport: typing.Any) -> int:
    """Return the bytes in the kernel, 0 where it does not tell."""
    if transport.is_closing():
        return 0
    descriptor = transport.get_extra_info('socket').fileno()
    try:
        told = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError as error:
        logger.warning(
            'http: what a caller has taken is not known', why=str(error)
        )
        return 0
    (size,) = COUNT.unpack(told)
    return size
