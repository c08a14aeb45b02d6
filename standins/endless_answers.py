"""Answers without end that a faulty simulated target gives.

Each kind has a name, which a call gives in its header ``x-answer-endless``,
or which is in ``odd`` of a target (``odd_answers``).
"""

from __future__ import annotations

import asyncio

from aiohttp import web

BLOCK_BYTES = 128 * 1024
"""Least size of what is written at a time."""

PENDING_BYTES = 256 * 1024
"""Bytes that may wait in the target for one connection."""

WAIT_S = 0.001

OTHER_ANSWER_BYTES = 18_000
"""Size of the body of an answer to another call."""

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
OTHER_HEAD = CHUNKED.replace(b'%b', b'another-call')
OTHER_BODY = b'2\r\nbb\r\n' * (OTHER_ANSWER_BYTES // 2)
OTHER = OTHER_HEAD + OTHER_BODY + b'0\r\n\r\n'


def _chunk(size: int) -> bytes:
    return b'%x\r\n%b\r\n' % (size, b'b' * size)


REPEATED = {
    'chunks of 1 byte': (CHUNKED, _chunk(1)),
    'chunks of 2 bytes': (CHUNKED, _chunk(2)),
    'chunks of 9 bytes': (CHUNKED, _chunk(9)),
    'chunks of 64 KiB': (CHUNKED, _chunk(64 * 1024)),
    'a body until the close': (HEAD + b'Connection: close\r\n\r\n', b'b'),
    'headers': (HEAD, b'a:\r\n'),
    'one header': (HEAD + b'X-Long: ', b'v'),
    'blank lines': (b'', b'\r\n'),
    'bytes that are no HTTP': (b'\x00\x17 no answer ', b'\x00\x17'),
    'answers to other calls': (b'', OTHER),
    'a chunk extension': (CHUNKED + b'5;', b'e'),
    'a trailer': (CHUNKED + b'5\r\nbells\r\n0\r\n', b'a:\r\n'),
}
"""First bytes of each kind, and the bytes that are repeated after them."""

KINDS = {
    kind: (first, repeated * -(-BLOCK_BYTES // len(repeated)))
    for kind, (first, repeated) in REPEATED.items()
}
"""The same, with as many repetitions as are written at a time."""


async def answer(
    kind: str, request: web.Request, headers: dict[str, str]
) -> web.StreamResponse:
    """Write an answer of a kind until the connection has ended.

    Bytes are written as fast as the node takes them.
    """
    transport = request.transport
    if transport is None:
        return web.Response(status=503, headers=headers)
    first, block = KINDS[kind]
    transport.write(first.replace(b'%b', headers['x-attempt-id'].encode()))
    while not transport.is_closing():
        transport.write(block)
        await _wait_until_taken(transport)
    return web.Response(status=503, headers=headers)


async def _wait_until_taken(transport: asyncio.Transport) -> None:
    """Wait until few bytes are left to be sent, or the connection ended."""
    await asyncio.sleep(0)
    while (
        transport.get_write_buffer_size() > PENDING_BYTES
        and not transport.is_closing()
    ):
        await asyncio.sleep(WAIT_S)
