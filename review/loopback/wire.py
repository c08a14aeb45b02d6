"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
import dataclasses

MAX_HEAD = 256 * 1024


@dataclasses.dataclass
class Head:
    """The head of a message: its first line and its headers."""

    first: list[str]
    headers: list[tuple[str, str]]

    def get(self, name: str, default: str = '') -> str:
        """Return the first value of a header, named in lower case."""
        return next((v for n, v in self.headers if n == name), default)

    @property
    def length(self) -> int | None:
        """Return the length of the body, None if it is not stated."""
        text = self.get('content-length')
        return int(text) if text else None

    @property
    def is_chunked(self) -> bool:
        """Return whether the body comes in chunks."""
        return self.get('transfer-encoding').lower() == 'chunked'


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = []
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0].split(' ', 2), headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a request, or of an answer with a length."""
    if head.is_chunked:
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readuntil(b'\r\n')
        return b''.join(parts)
    return await reader.readexactly(head.length or 0)


def message(
    first: str, headers: list[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Return a message with the length of its body."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    if body or not first.startswith(('GET ', 'DELETE ')):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address."""
    host, port = address.rsplit(':', 1)
    return await asyncio.open_connection(host, int(port), limit=MAX_HEAD)


async def ask(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b'',
) -> tuple[int, Head, bytes]:
    """Send a request on a new connection; return the final answer."""
    reader, writer = await connect(address)
    try:
        fields = [('Host', address), *(headers or [])]
        writer.write(message(f'{method} {path} HTTP/1.1', fields, body))
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, Head, bytes]:
    """Read the final answer on a connection; skip interim ones."""
    while True:
        head = await read_head(reader)
        status = int(head.first[1])
        if status >= 200:
            return status, head, await read_body(reader, head)
