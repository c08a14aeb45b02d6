"""What the kernel holds for a socket: input, the end, errors, a backlog."""

from __future__ import annotations

import errno
import os
import select
import socket
import sys
import typing

from pomelobend import addresses

TCP_INFO_BYTES = 56
"""Size of the part of ``struct tcp_info`` that is asked for."""

LAST_INPUT_OFFSET = 52
"""Offset of ``tcpi_last_data_recv`` in it, in ms; its first byte is the state
of the connection, which is never 0."""


def peek(transport: typing.Any) -> bytes | None:
    """Return the next byte that was received and not read by a transport.

    It is empty at the end of the stream, and None if nothing waits. The
    socket of a transport of uvloop offers no reads, so a duplicate is read.

    Raises
    ------
    OSError
        The connection was reset, or the transport has closed its socket.
    """
    descriptor = os.dup(transport.get_extra_info('socket').fileno())
    with socket.socket(fileno=descriptor) as duplicate:
        try:
            return duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None


def has_input(transport: typing.Any) -> bool:
    """Return whether bytes wait, which the end of the stream is not."""
    return bool(_peek_if_open(transport))


def has_ended(transport: typing.Any) -> bool:
    """Return whether the end of the stream is next, read or not."""
    return _peek_if_open(transport) == b''


def _peek_if_open(transport: typing.Any) -> bytes | None:
    if transport.is_closing():
        return None
    try:
        return peek(transport)
    except OSError:
        return None


def since_input_s(transport: typing.Any) -> float:
    """Return how long ago a connection received its last bytes in s.

    The kernel notes that also for a connection that waits in a backlog. It
    is 0 for a connection that is about to close, whose socket may be gone.

    Raises
    ------
    OSError
        The system does not tell.
    """
    if transport.is_closing():
        return 0.0
    info = transport.get_extra_info('socket').getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    if len(info) < TCP_INFO_BYTES or not info[0]:
        raise OSError(errno.EOPNOTSUPP, 'no times in TCP_INFO')
    since_ms = info[LAST_INPUT_OFFSET:TCP_INFO_BYTES]
    return int.from_bytes(since_ms, sys.byteorder) / 1000


def is_reset(transport: typing.Any) -> bool:
    """Return whether the other end has reset the connection."""
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), 0)
    return any(
        flags & (select.POLLERR | select.POLLHUP) for _, flags in poll.poll(0)
    )


def accept_waiting(listening: socket.socket) -> list[socket.socket]:
    """Return the connections that wait in the backlog of a socket."""
    accepted = []
    listening.setblocking(False)
    for _ in range(addresses.BACKLOG + 1):
        try:
            accepted.append(listening.accept()[0])
        except ConnectionAbortedError:
            continue
        except OSError:
            break
    return accepted
