"""Answers that a faulty simulated target gives in place of its own.

Each is named in ``odd`` of a target, with the number of answers to come
that it befalls.
"""

from __future__ import annotations

import asyncio

from aiohttp import web

NOT_HTTP = b'\x00\x17 these bytes are no answer \r\n\r\n'
WAIT_S = 0.05
STATUS_HEAD = (
    'HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {identity}\r\n'
    'X-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n'
)
STATUSES = {
    f'with status {status}': status
    for status in ('000', '042', '101', '600', '999')
}
INFORMATIONAL = 'with informational ones'
INFORMATIONAL_HEAD = b'HTTP/1.1 103 Early Hints\r\n\r\n'
NAMES = ('lost', 'cut', 'bytes', 'extra', INFORMATIONAL, *STATUSES)
"""Answers that ``answer`` gives."""


def take(odd: dict[str, int], *names: str) -> str:
    """Return one of the names that is still to come, or ''."""
    for name in names:
        if odd.get(name, 0) > 0:
            odd[name] -= 1
            return name
    return ''


async def stay_silent(request: web.Request) -> None:
    """Wait until a connection has ended; nothing on it is answered."""
    while request.transport and not request.transport.is_closing():
        await asyncio.sleep(WAIT_S)


async def answer(
    name: str, request: web.Request, response: web.Response
) -> web.StreamResponse:
    """Give an answer that is lost, cut, followed by bytes, or no answer.

    Those with an odd status, or with informational responses without end, keep
    their connection.
    """
    transport = request.transport
    if transport is None:
        return response
    if name in STATUSES:
        identity = response.headers['x-attempt-id']
        head = STATUS_HEAD.format(status=STATUSES[name], identity=identity)
        transport.write(head.encode())
        await stay_silent(request)
        return response
    if name == INFORMATIONAL:
        while not transport.is_closing():
            transport.write(INFORMATIONAL_HEAD)
            await asyncio.sleep(WAIT_S)
        return response
    if name == 'extra':
        loop = asyncio.get_running_loop()
        loop.call_later(WAIT_S, transport.write, NOT_HTTP)
        return response
    if name == 'bytes':
        transport.write(NOT_HTTP)
        await asyncio.sleep(WAIT_S)
    elif name == 'cut':
        part = web.StreamResponse(headers=response.headers)
        part.content_length = len(response.body) + 1
        await part.prepare(request)
        await part.write(response.body)
    transport.abort()
    return response
