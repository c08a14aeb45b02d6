"""What clients send that keep to no limits, by the names of the features."""

from __future__ import annotations

import asyncio
import typing

import attrs

from tests.steps import test_mesh_path as path_steps

if typing.TYPE_CHECKING:
    from collections import abc

KB = 1024
MB = 1024 * 1024

BODY_BYTES = 4 * MB
"""Size of a large body of the clients; the limit of the configuration."""

SMALL_BODY_BYTES = 48 * KB
TINY_CHUNKS_BYTES = 512 * KB
PIECE_BYTES = 16 * KB
PIECE_PAUSE_S = 0.002
SHORT_HEAD_BYTES = 15 * KB
"""Size of a head that stays within the limit of 16 KiB and has no end."""

DEADLINE_MS = 8000

PIPELINED = 10_000
"""Small requests that a client sends at once."""

PIPELINED_LOOKUPS = 2000
SHORT_DEADLINE_MS = 1000
EXPIRY_S = 1.2
"""Time after which the requests with that deadline have passed it."""

SLOW_WORK_S = 6

MESSAGE_BYTES = 2 * MB - KB
"""Size of a message just below the largest one between nodes."""

SMALL_GET = b'GET %b HTTP/1.1\r\nHost: a\r\n\r\n'
HEARTBEAT = (
    b'PUT /backends/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}'
)
UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
)
MESSAGE_HEAD = b'\x82\xff%b\0\0\0\0'
"""Head of a masked binary frame whose length takes 8 bytes."""

POST = (
    'POST {path} HTTP/1.1\r\nHost: bells.example\r\n'
    'X-Attempt-Id: {identity}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
    'X-Answer-Short: 1\r\n{framing}\r\n\r\n'
)
GET = (
    'GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {identity}\r\n'
    'X-Deadline-Ms: {deadline_ms}\r\n{more}\r\n'
)


@attrs.frozen
class Request:
    """A request of a client.

    Parameters
    ----------
    identity : str
    path : str
    is_whole : bool
        Whether the client sends the last byte too.
    """

    identity: str
    path: str = path_steps.LOOKUP
    is_whole: bool = False

    @property
    def missing(self) -> int:
        """Return the number of bytes that the client does not send."""
        return 0 if self.is_whole else 1


def post(request: Request, framing: str) -> bytes:
    """Return the head of a request with a body."""
    return POST.format(
        path=request.path,
        identity=request.identity,
        deadline_ms=DEADLINE_MS,
        framing=framing,
    ).encode()


def get(
    identity: str,
    path: str = path_steps.LOOKUP,
    host: str = 'bells.example',
    more: str = '',
    deadline_ms: int = 4000,
) -> bytes:
    """Return a request without a body."""
    return GET.format(
        path=path,
        identity=identity,
        host=host,
        more=more,
        deadline_ms=deadline_ms,
    ).encode()


def announced(request: Request, size: int) -> bytes:
    """Return the head of a request with a body of a size."""
    return post(request, f'Content-Length: {size}')


def chunked(request: Request) -> bytes:
    """Return the head of a request with a body in chunks."""
    return post(request, 'Transfer-Encoding: chunked')


def small_chunks(size: int) -> bytes:
    """Return a body in chunks of 2 bytes, without its end."""
    return b'2\r\nbb\r\n' * (size // 2)


def message_head(size: int) -> bytes:
    """Return the head of a message between nodes of a size."""
    return MESSAGE_HEAD % size.to_bytes(8, 'big')


async def _send_nothing(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    return


async def _send_one_request(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(get(request.identity))


async def _send_long_head(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(get(request.identity, more='X-Long: ' + 'v' * 64 * KB))


async def _send_part_of_head(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(get(request.identity, more='X-Long: ')[:-2])
    for _ in range(SHORT_HEAD_BYTES // KB):
        writer.write(b'v' * KB)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


async def _send_empty_lines(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    for _ in range(64):
        writer.write(b'\r\n' * 8 * KB)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


async def _send_body(writer: asyncio.StreamWriter, request: Request) -> None:
    writer.write(announced(request, BODY_BYTES))
    writer.write(bytes(BODY_BYTES - request.missing))


async def _send_pieces(writer: asyncio.StreamWriter, request: Request) -> None:
    writer.write(announced(request, BODY_BYTES))
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        writer.write(bytes(PIECE_BYTES))
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
    writer.write(bytes(PIECE_BYTES - request.missing))


async def _send_large_chunks(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    chunk = b'%x\r\n%b\r\n' % (64 * KB, bytes(64 * KB))
    writer.write(chunked(request))
    for _ in range(BODY_BYTES // (64 * KB) - 1):
        writer.write(chunk)
        await writer.drain()
    writer.write(chunk + b'0\r\n\r\n' if request.is_whole else chunk[:-3])


async def _send_small_chunks(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    body = small_chunks(TINY_CHUNKS_BYTES)
    end = b'0\r\n\r\n'
    writer.write(chunked(request))
    writer.write(body + end if request.is_whole else body[:-3])


async def _send_small_body(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(announced(request, SMALL_BODY_BYTES))
    writer.write(bytes(SMALL_BODY_BYTES - request.missing))


async def _pipeline_requests_without_route(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(SMALL_GET % b'/' * PIPELINED)


async def _pipeline_lookups(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    lookups = (
        get(f'{request.identity}-{number}', deadline_ms=SHORT_DEADLINE_MS)
        for number in range(PIPELINED_LOOKUPS)
    )
    writer.write(b''.join(lookups))
    await asyncio.sleep(EXPIRY_S)


async def _pipeline_readiness_checks(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(SMALL_GET % b'/ready' * PIPELINED)


async def _pipeline_heartbeats(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(HEARTBEAT * PIPELINED)


async def _pipeline_metrics(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(SMALL_GET % b'/metrics' * PIPELINED)


async def _pipeline_behind_slow_one(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    work = f'X-Work-S: {SLOW_WORK_S}\r\n'
    writer.write(get(request.identity, more=work))
    writer.write(SMALL_GET % b'/' * PIPELINED)


async def _send_upgrade(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(UPGRADE)


async def _send_message(
    writer: asyncio.StreamWriter, request: Request
) -> None:
    writer.write(UPGRADE + message_head(MESSAGE_BYTES))
    writer.write(bytes(MESSAGE_BYTES - request.missing))


Sender = typing.Callable[
    [asyncio.StreamWriter, Request], 'abc.Awaitable[None]'
]

SENDERS: dict[str, Sender] = {
    'nothing': _send_nothing,
    'one request, then nothing': _send_one_request,
    'a head over the limit': _send_long_head,
    'a head that ends short of the limit': _send_part_of_head,
    'empty lines without end': _send_empty_lines,
    'a body at once but for its last byte': _send_body,
    'a body in pieces but for its last byte': _send_pieces,
    'large chunks but for the last byte': _send_large_chunks,
    'small chunks but for the last byte': _send_small_chunks,
    'a small body but for its last byte': _send_small_body,
    'pipelined requests without a route': _pipeline_requests_without_route,
    'pipelined lookups of 1 s, replies unread': _pipeline_lookups,
    'pipelined readiness checks': _pipeline_readiness_checks,
    'pipelined heartbeats': _pipeline_heartbeats,
    'pipelined requests for metrics': _pipeline_metrics,
    'pipelined small requests behind a slow one': _pipeline_behind_slow_one,
    'an upgrade, then nothing': _send_upgrade,
    'a message but for its last byte': _send_message,
}
