"""A stand-in of a backend, as PROTOCOL tells."""

from __future__ import annotations

import asyncio
import collections
import json
import time
import typing

from review.loopback import wire


class Backend:
    """A backend that sends heartbeats and runs requests.

    ``runs`` counts by attempt id the requests that it began to work on.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control: str,
        note: typing.Callable[..., None],
        slots: int = 6,
        beat_s: float = 1.5,
        work_s: float = 0.02,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.note = note
        self.slots = slots
        self.beat_s = beat_s
        self.work_s = work_s
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs: collections.Counter = collections.Counter()
        self.unknown: list[str] = []
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen at the address and begin to send heartbeats."""
        host, port = self.address.rsplit(':', 1)
        await asyncio.start_server(
            self._serve, host, int(port), limit=wire.MAX_HEAD
        )
        task = asyncio.create_task(self._beat())
        self.tasks.add(task)

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            try:
                async with asyncio.timeout(1):
                    await wire.ask(
                        self.control,
                        'PUT',
                        f'/backends/{self.name}',
                        [('Content-Type', 'application/json')],
                        json.dumps(self._heartbeat()).encode(),
                    )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(self.beat_s)

    def _heartbeat(self) -> dict:
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'capacity_slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'cold_remaining_ms': 0,
            },
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await wire.read_head(reader)
                if len(head.first) != 3 or 'HTTP/1.' not in head.first[2]:
                    self.unknown.append(' '.join(head.first)[:60])
                    self.note(self.name, 'bytes that are no request')
                    return
                await self._handle(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _handle(
        self,
        head: wire.Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        identity = head.get('x-attempt-id')
        if head.first[1] == '/healthz':
            status = 200 if self.state == 'ready' else 503
            answer = f'HTTP/1.1 {status} Status'
            writer.write(wire.message(answer, [('X-Instance-Id', self.name)]))
            return
        if head.get('x-target-instance') != self.name:
            await wire.read_body(reader, head)
            headers = [('X-Instance-Id', self.name)]
            writer.write(
                wire.message('HTTP/1.1 421 Misdirected Request', headers)
            )
            return
        if self.running >= self.slots:
            await wire.read_body(reader, head)
            headers = [('X-Not-Executed', '1'), ('X-Attempt-Id', identity)]
            writer.write(wire.message('HTTP/1.1 503 Full', headers))
            return
        self.running += 1
        try:
            await self.run(head, reader, writer)
        finally:
            self.running -= 1
        await writer.drain()

    async def run(
        self,
        head: wire.Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read the body, work on the request and answer it."""
        body = await wire.read_body(reader, head)
        identity = head.get('x-attempt-id')
        self.runs[identity] += 1
        self.note(self.name, 'runs', identity, head.first[0], head.first[1])
        await asyncio.sleep(self.work_s)
        text = f'{self.name} {identity} {len(body)}'.encode()
        writer.write(self.answer(identity, text))

    def answer(self, identity: str, body: bytes, status: int = 200) -> bytes:
        """Return the answer to a request."""
        return wire.message(
            f'HTTP/1.1 {status} Status',
            [('X-Attempt-Id', identity), ('X-Response-Signature', 'signed')],
            body,
        )
