"""A proxy that can hold all bytes of the connections through it."""

from __future__ import annotations

import asyncio

from review.loopback import wire


class Proxy:
    """Passes bytes on to an address, unless it is cut."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.open = asyncio.Event()
        self.open.set()
        self.watches: set[str] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port of the loopback."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.open.wait()
        try:
            other_reader, other_writer = await wire.connect(self.target)
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.create_task(self._pass_on(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass_on(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await source.read(65536):
                if b'config?watch=' in data:
                    self.watches.add('config')
                await self.open.wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
