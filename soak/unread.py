"""Whether a node has read what a client on this machine has sent."""

from __future__ import annotations

import asyncio
import pathlib

TABLE = pathlib.Path('/proc/net/tcp')


def has_unread(writer: asyncio.StreamWriter) -> bool:
    """Return whether bytes of a connection wait at its other end."""
    near = writer.get_extra_info('sockname')
    far = writer.get_extra_info('peername')
    if near is None or far is None:
        return False
    row = f' {_word(far)} {_word(near)} '
    found = TABLE.read_text().partition(row)[2]
    queues = found.split()[1] if found else ':0'
    return int(queues.partition(':')[2], 16) > 0


def _word(address: tuple[str, int]) -> str:
    """Return an address as the table has it."""
    parts = [int(part) for part in address[0].split('.')]
    host = ''.join(f'{part:02X}' for part in reversed(parts))
    return f'{host}:{address[1]:04X}'
