"""HTTP/1.1 over asyncio streams, as the stand-ins and clients speak it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import socket

READ_BYTES = 65_536


PORTS = range(15_000, 32_000)
"""Ports below those that outgoing connections get."""

SLICE = 200

_guard: list[socket.socket] = []
_own: list[int] = []


def free_port() -> int:
    """Return a port of the slice that this script holds for itself."""
    while not _guard:
        _take_slice(random.randrange(PORTS.start, PORTS.stop, SLICE))
    port = _own.pop()
    return port if _is_free(port) else free_port()


def _take_slice(first: int) -> None:
    """Hold the first port of a slice, so that no other script takes it."""
    guard = socket.socket()
    try:
        guard.bind(('127.0.0.1', first))
    except OSError:
        guard.close()
        return
    _guard.append(guard)
    _own.extend(range(first + 1, first + SLICE))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


@dataclasses.dataclass
class Message:
    """A request or an answer; ``start`` is its first line."""

    start: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])

    @property
    def is_last(self) -> bool:
        """Return whether the connection ends after this message."""
        return self.headers.get('connection', '').lower() == 'close'


class Stream:
    """A connection whose end can be noticed while it isn't read."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.buffer = bytearray()
        self.pending: asyncio.Task | None = None
        self.is_ended = False

    @classmethod
    async def connect(cls, address: str, timeout_s: float = 1.0) -> Stream:
        """Open a connection to an ``ip:port`` address."""
        host, _, port = address.rpartition(':')
        opening = asyncio.open_connection(host, int(port))
        return cls(*await asyncio.wait_for(opening, timeout_s))

    def start_fill(self) -> asyncio.Task:
        """Return the task that reads the next bytes into the buffer."""
        if self.pending is None:
            self.pending = asyncio.create_task(self._fill())
        return self.pending

    async def fill(self) -> bool:
        """Read the next bytes; return False at the end of the stream."""
        await asyncio.shield(self.start_fill())
        return not self.is_ended

    async def _fill(self) -> None:
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError:
            data = b''
        self.buffer += data
        self.is_ended = not data
        self.pending = None

    async def read_message(self) -> Message | None:
        """Return the next message with its body, or None at the end."""
        while b'\r\n\r\n' not in self.buffer:
            if not await self.fill():
                return None
        head, _, rest = bytes(self.buffer).partition(b'\r\n\r\n')
        self.buffer = bytearray(rest)
        start, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get('content-length', 0))
        while len(self.buffer) < size:
            if not await self.fill():
                return None
        body = bytes(self.buffer[:size])
        del self.buffer[:size]
        return Message(start, headers, body)

    async def send(
        self, start: str, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send a message with its length."""
        lines = [start, *(f'{n}: {v}' for n, v in headers.items())]
        lines.append(f'content-length: {len(body)}')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        self.writer.write(head + body)
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection."""
        if self.pending is not None:
            self.pending.cancel()
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


async def call(
    address: str,
    start: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a message on a new connection; return the answer or None."""
    stream = None
    try:
        async with asyncio.timeout(timeout_s):
            stream = await Stream.connect(address)
            sent = {'host': address, **(headers or {})}
            await stream.send(f'{start} HTTP/1.1', sent, body)
            return await stream.read_message()
    except (OSError, TimeoutError):
        return None
    finally:
        if stream is not None:
            stream.close()
