"""What the kernel holds for the sockets of a server."""

from __future__ import annotations

import os
import socket
import typing

from pomelobend import addresses


def has_input(transport: typing.Any) -> bool:
    """Return whether bytes were received that a transport has not read.

    The socket of a transport of uvloop offers no reads, so that the check
    uses a duplicate. The end of the stream is no input.
    """
    if transport.is_closing():
        return False
    try:
        descriptor = os.dup(transport.get_extra_info('socket').fileno())
        with socket.socket(fileno=descriptor) as duplicate:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(duplicate.recv(1, flags))
    except OSError:
        return False


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
