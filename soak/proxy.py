"""A TCP proxy that resets its connections or holds back one direction."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs

PART_BYTES = 65536
RESET = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to an address.

    Parameters
    ----------
    gates : tuple of asyncio.Event
        Open while bytes to the address, and back from it, are forwarded.
    """

    address: str
    gates: tuple[asyncio.Event, asyncio.Event] = attrs.field(
        factory=lambda: (asyncio.Event(), asyncio.Event())
    )
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections at an address."""
        for gate in self.gates:
            gate.set()
        host, _, port = address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def cut(self, direction: int, seconds: float) -> None:
        """Hold back the bytes of one direction for a time."""
        self.gates[direction].clear()
        await asyncio.sleep(seconds)
        self.gates[direction].set()

    def reset(self) -> None:
        """End all connections with a reset at both ends."""
        for writer in list(self.writers):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    def close(self) -> None:
        """Stop to listen, and end all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.address.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, self.gates[0]),
                self._pump(far_reader, writer, self.gates[1]),
            )
        except OSError:
            pass
        finally:
            self.writers -= pair
            for one in pair:
                one.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        while part := await reader.read(PART_BYTES):
            await gate.wait()
            writer.write(part)
            await writer.drain()
        writer.close()
