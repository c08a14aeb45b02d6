"""Network addresses, and sockets that listen at them."""

from __future__ import annotations

import re
import socket

from pomelobend import errors

BACKLOG = 1024
"""Connections that may wait until they are accepted."""


_PATTERN = re.compile(
    r'(?P<host>[0-9A-Za-z._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\])'
    r':(?P<port>[0-9]{1,5})'
)

MAX_PORT = 65535


def split(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Raises
    ------
    errors.AddressInvalidError
    """
    match = _PATTERN.fullmatch(address) if isinstance(address, str) else None
    if match is None or int(match['port']) > MAX_PORT:
        raise errors.AddressInvalidError(f'no address: {str(address)[:80]!r}')
    return match['host'].strip('[]'), int(match['port'])


def bind(address: str) -> socket.socket:
    """Return a TCP socket that has an address and does not listen yet.

    Connections of a process that has ended do not keep the address in use.

    Raises
    ------
    OSError
        The address is in use or not one of this VM.
    """
    host, port = split(address)
    is_ipv6 = ':' in host
    bound = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if is_ipv6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def listen(address: str) -> socket.socket:
    """Return a TCP socket that listens at an address.

    Connections are queued by the kernel until they are accepted.

    Raises
    ------
    OSError
        The address is in use or not one of this VM.
    """
    listening = bind(address)
    try:
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
