"""How a simulated target reads the body of a request."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from aiohttp import web

PART_BYTES = 64 * 1024


async def read(request: web.Request) -> bytes:
    """Read the body of a request, in the time that it asks for."""
    read_s = float(request.headers.get('x-read-s', 0.0))
    if not read_s or not request.content_length:
        return await request.read()
    pause_s = read_s * PART_BYTES / request.content_length
    body = bytearray()
    while part := await request.content.read(PART_BYTES):
        body += part
        await asyncio.sleep(pause_s)
    return bytes(body)
