"""How a simulated target treats what it has no slot or connection for."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
import typing

from standins import odd_answers

if typing.TYPE_CHECKING:
    from aiohttp import web

    from standins import backend

LOOK_S = 0.01
RESET = struct.pack('ii', 1, 0)


async def wait_for_slot(
    target: backend.Target, request: web.Request, limit_s: float
) -> float | None:
    """Return the time until a slot was free, or None if none was in time.

    A request that can't be queued is refused at once; a target that is
    silent when it is full answers nothing more on its connection.
    """
    if target.running < target.slots:
        return 0.0
    if target.waiting >= target.queue:
        if target.is_silent_when_full:
            target.silenced += 1
            await odd_answers.stay_silent(request)
        return None
    came_at = time.time()
    target.waiting += 1
    try:
        while target.running >= target.slots:
            await asyncio.sleep(LOOK_S)
            if time.time() - came_at >= limit_s:
                return None
    finally:
        target.waiting -= 1
    return min(time.time() - came_at, limit_s)


def has_room(
    open_transports: set[asyncio.Transport],
    transport: asyncio.Transport | None,
    most: int,
) -> bool:
    """Return whether a connection is not beyond the limit, or reset it."""
    if transport is None:
        return True
    for other in list(open_transports):
        if other.is_closing():
            open_transports.discard(other)
    if transport in open_transports or len(open_transports) < most:
        open_transports.add(transport)
        return True
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()
    return False
