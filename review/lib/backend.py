"""A backend, as PROTOCOL.md describes it.

Stand-in headers of a request set its work: ``x-work-ms`` how long it runs,
``x-answer-bytes`` the size of the answer, ``x-crash`` that it ends the
backend that begins to run it.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
import typing

from review.lib import wire

QUEUE = 12
BACK_AFTER_S = 3.0

_ids = itertools.count(1)


class Backend:
    """A backend of a service beside one node."""

    def __init__(
        self,
        note: typing.Callable[..., None],
        name: str,
        service: str,
        zone: str,
        *,
        version: str = 'v1',
        slots: int = 6,
    ) -> None:
        self.note = note
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.bad_share = 0.0
        self.bad_above_per_s = 0
        self.arrivals: list[float] = []
        self.address = f'127.0.0.1:{wire.free_port()}'
        self.control = ''
        self.beat_s = 1.5
        self.cold_s = 0.0
        self.cold_until = 0.0
        self.cold_crash_per_s = 0.0
        self.cold_arrivals: list[float] = []
        self.id = ''
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.running = 0
        self.count = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.streams: set[wire.Stream] = set()
        self.tasks: set[asyncio.Task] = set()
        self.beats: asyncio.Task | None = None
        self.drained: asyncio.Event = asyncio.Event()

    async def start(self) -> None:
        """Start a new incarnation: listen and send heartbeats."""
        self.id = f'i-{self.name}-{next(_ids)}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.running = self.waiting = 0
        self.cold_until = time.monotonic() + self.cold_s
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beats = asyncio.create_task(self._send_beats())
        self.note('backend starts', id=self.id, service=self.service)

    async def end(self) -> None:
        """End at once, as in a crash: connections break, no word is sent."""
        self.note('backend ends', id=self.id)
        self.beats.cancel()
        self.server.close()
        for stream in list(self.streams):
            stream.abort()

    async def crash(self) -> None:
        """End at once and come back after some seconds."""
        await self.end()
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()

    @property
    def cold_ms(self) -> int:
        """Return how much longer the backend is cold."""
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def grow_cold(self, seconds: float) -> None:
        """Become cold again; heartbeats and health answers say so."""
        self.cold_until = time.monotonic() + seconds

    async def beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        state = self.state
        body = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': self.version,
                'zone': self.zone,
                'capacity_slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': self.sequence,
                'cold_remaining_ms': self.cold_ms,
            },
        }
        answer = await wire.call(
            self.control,
            f'PUT /backends/{self.id}',
            {'content-type': 'application/json'},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        is_acknowledged = answer is not None and answer.status == 200
        if is_acknowledged and state == 'draining':
            self.drained.set()
        return is_acknowledged

    async def drain(self) -> None:
        """Say that this backend leaves, until that is acknowledged."""
        self.state = 'draining'
        while not await self.beat():
            await asyncio.sleep(0.2)
        self.note('leaving acknowledged', id=self.id)

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(self.beat_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = wire.Stream(reader, writer)
        self.streams.add(stream)
        try:
            while (request := await stream.read_message()) is not None:
                work = asyncio.create_task(self._answer(request))
                while not work.done():
                    await asyncio.wait(
                        (work, stream.start_fill()),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    if stream.is_ended:
                        work.cancel()
                        await asyncio.wait((work,))
                        return
                status, headers, body = work.result()
                headers['keep-alive'] = 'timeout=10'
                await stream.send(f'HTTP/1.1 {status} X', headers, body)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    async def _answer(
        self, request: wire.Message
    ) -> tuple[int, dict[str, str], bytes]:
        method, path, _ = request.start.split()
        headers = request.headers
        attempt = headers.get('x-attempt-id', '')
        echo = {'x-attempt-id': attempt} if attempt else {}
        if path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            cold = {'x-cold-ms': str(self.cold_ms)} if self.cold_ms else {}
            return status, {'x-instance-id': self.id, **cold}, b''
        wanted = headers.get('x-target-instance', self.id)
        self.note(
            'reaches backend',
            attempt=attempt,
            id=self.id,
            version=self.version,
            path=path,
            wanted=wanted,
            deadline=headers.get('x-deadline-ms', ''),
            caller=headers.get('x-caller-service', ''),
            cold=int(self.cold_ms > 0),
        )
        if wanted != self.id:
            return 421, {**echo, 'x-instance-id': self.id}, b''
        if self.cold_ms and self._is_too_cold():
            await asyncio.sleep(60)
        if self.running >= self.slots and self.waiting >= QUEUE:
            self.note('backend full', attempt=attempt, id=self.id)
            return 503, {**echo, 'x-not-executed': '1'}, b''
        await self._take_slot()
        try:
            return await self._run(method, path, headers, echo, request.body)
        except asyncio.CancelledError:
            self.note('run dropped', attempt=attempt, id=self.id)
            raise
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    def _is_bad(self) -> bool:
        """Return whether a bad version fails this request."""
        now = time.monotonic()
        self.arrivals = [at for at in self.arrivals if at > now - 1]
        self.arrivals.append(now)
        is_loaded = len(self.arrivals) > self.bad_above_per_s
        return is_loaded and self.count * 37 % 100 < 100 * self.bad_share

    def _is_too_cold(self) -> bool:
        """Crash if more requests arrive than a cold backend can bear."""
        now = time.monotonic()
        self.cold_arrivals = [
            at for at in (*self.cold_arrivals, now) if at > now - 1
        ]
        most = self.cold_crash_per_s
        if not most or len(self.cold_arrivals) <= most:
            return False
        self.cold_arrivals.clear()
        self.tasks.add(asyncio.create_task(self.crash()))
        return True

    async def _take_slot(self) -> None:
        async with self.free:
            self.waiting += 1
            try:
                await self.free.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
            self.running += 1

    async def _run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        echo: dict[str, str],
        body: bytes,
    ) -> tuple[int, dict[str, str], bytes]:
        attempt = echo.get('x-attempt-id', '')
        self.count += 1
        self.note(
            'runs',
            attempt=attempt,
            id=self.id,
            bytes=len(body),
            body=body[:40],
        )
        if 'x-crash' in headers:
            task = asyncio.create_task(self.crash())
            self.tasks.add(task)
            await asyncio.sleep(60)
        work_s = float(headers.get('x-work-ms', 20)) / 1000
        left_s = float(headers.get('x-deadline-ms', 60_000)) / 1000
        await asyncio.sleep(min(work_s, left_s))
        signed = {**echo, 'x-response-signature': f'{self.id}.{self.count}'}
        is_bad = self._is_bad()
        if work_s > left_s or is_bad:
            self.note('runs badly', attempt=attempt, id=self.id)
            return (504 if work_s > left_s else 500), signed, b''
        self.note('run ends', attempt=attempt, id=self.id)
        size = int(headers.get('x-answer-bytes', 0))
        text = f'{self.id} {method} {path} {len(body)} '.encode()
        return 200, signed, text + b'.' * size


async def stop(backend: Backend) -> None:
    """End a backend at the end of a script."""
    with contextlib.suppress(Exception):
        await backend.end()
    for task in backend.tasks:
        task.cancel()
