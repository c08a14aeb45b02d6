"""A proxy that stands for a link: it can be cut, and then stays silent."""

from __future__ import annotations

import asyncio
import contextlib

from review.lib import wire


class Proxy:
    """Forwards connections to an address; forwards nothing while cut."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f'127.0.0.1:{wire.free_port()}'
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for connections."""
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self) -> None:
        """Hold back all bytes in both directions, as a partition does."""
        self.is_open.clear()

    def heal(self) -> None:
        """Forward again what was held back."""
        self.is_open.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.is_open.wait()
            host, _, port = self.target.rpartition(':')
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pump(reader, other_writer),
                self._pump(other_reader, writer),
            )
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
