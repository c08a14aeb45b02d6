"""Wires between processes that can be cut or fall silent.

Each wire listens on a port and passes bytes on to an address. A group of
wires is switched together over HTTP: ``pass`` (the start), ``cut`` (open
connections are reset and new ones refused) or ``silent`` (open connections
stay open and carry nothing, new ones work).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json

from aiohttp import web
import attrs

PIECE_BYTES = 65_536


@attrs.define(eq=False)
class Wire:
    """One listening port and the address behind it."""

    port: int
    host: str
    target: int
    is_cut: bool = False
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)
    silenced: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self.serve, '127.0.0.1', self.port)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection."""
        self.writers.append(writer)
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers.append(far_writer)
        await asyncio.gather(
            self.carry(reader, far_writer), self.carry(far_reader, writer)
        )

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on in one direction."""
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                if writer not in self.silenced:
                    writer.write(data)
                    await writer.drain()
        if writer not in self.silenced:
            writer.close()

    def switch(self, mode: str) -> None:
        """Pass, cut or fall silent."""
        self.is_cut = mode == 'cut'
        if mode == 'cut':
            for writer in self.writers:
                writer.transport.abort()
            self.writers.clear()
        if mode == 'silent':
            self.silenced.update(self.writers)


async def run(port: int, groups: dict[str, list[list]]) -> None:
    """Serve all wires until ended."""
    wires = {
        name: [Wire(*wire) for wire in group] for name, group in groups.items()
    }
    for wire in (item for group in wires.values() for item in group):
        await wire.start()

    async def switch(request: web.Request) -> web.Response:
        body = await request.json()
        for wire in wires[body['group']]:
            wire.switch(body['mode'])
        return web.json_response(body)

    app = web.Application()
    app.add_routes([web.post('/switch', switch)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--groups', type=json.loads, required=True)
    args = parser.parse_args()
    asyncio.run(run(args.port, args.groups))


if __name__ == '__main__':
    main()
