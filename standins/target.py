"""A stand-in for a target: slots, cold start, shedding, and faults.

It announces itself to the node in its VM, records each execution by the
``x-call`` header, and obeys a few headers and paths that bring about faults.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import os
import signal
import time
import uuid

import aiohttp
from aiohttp import web
import attrs

COLD_S = 2.0
"""Time over which a target warms up."""


@attrs.define
class Target:
    """A target with a number of slots."""

    service: str
    version: str
    port: int
    slots: int
    node: str
    work_s: float
    cold_s: float
    is_fragile: bool = False
    heartbeat_s: float = 0.5
    life: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    started_at: float = attrs.field(factory=time.monotonic)
    state: str = 'serving'
    running: int = 0
    highest: int = 0
    shed: int = 0
    runs: collections.Counter = attrs.field(factory=collections.Counter)

    def bears(self) -> int:
        """Return how many calls the target bears now."""
        if self.cold_s <= 0:
            return self.slots
        age = time.monotonic() - self.started_at
        return max(1, int(self.slots * min(1.0, age / self.cold_s)))

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a call, or fail as it asks."""
        call = request.headers.get('x-call', '')
        if not self.is_fragile and self.running >= self.bears() + 2:
            self.shed += 1
            raise web.HTTPServiceUnavailable(text='shedding load')
        self.running += 1
        self.highest = max(self.highest, self.running)
        self.runs[call] += 1
        try:
            return await self._work(request)
        finally:
            self.running -= 1

    async def _work(self, request: web.Request) -> web.StreamResponse:
        fault = request.headers.get('x-fault', '')
        if fault == 'crash':
            os.kill(os.getpid(), signal.SIGKILL)
        if fault == 'reset':
            request.transport.abort()
        size = 0
        async for part in request.content.iter_chunked(65536):
            size += len(part)
        wait = float(request.headers.get('x-work-s', self.work_s))
        if self.is_fragile:
            wait *= max(1.0, self.running / self.bears()) ** 2
        if wait:
            await asyncio.sleep(wait)
        if 'x-answer-bytes' in request.headers:
            return await self._large(request, fault)
        return web.json_response(
            {
                'service': self.service,
                'version': self.version,
                'life': self.life,
                'path': request.path_qs,
                'call': request.headers.get('x-call', ''),
                'received': size,
            }
        )

    async def _large(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        left = int(request.headers['x-answer-bytes'])
        response = web.StreamResponse()
        if request.headers.get('x-chunked') != 'true':
            response.content_length = left
        await response.prepare(request)
        while left > 0:
            part = b'b' * min(left, 65536)
            await response.write(part)
            left -= len(part)
            if fault == 'half-answer':
                request.transport.abort()
                break
            pause = float(request.headers.get('x-pause-s', 0))
            if pause:
                await asyncio.sleep(pause)
        return response

    async def report(self, request: web.Request) -> web.Response:
        """Answer what the target has run."""
        return web.json_response(
            {
                'runs': self.runs,
                'highest': self.highest,
                'shed': self.shed,
                'life': self.life,
            }
        )

    async def change(self, request: web.Request) -> web.Response:
        """Drain, or turn cold again."""
        body = await request.json()
        self.state = body.get('state', self.state)
        if body.get('cold'):
            self.started_at = time.monotonic()
        return web.json_response({'state': self.state})

    async def announce(self) -> None:
        """Announce the target to its node until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await session.put(
                        f'http://{self.node}/v1/target',
                        json={
                            'service': self.service,
                            'version': self.version,
                            'address': f'127.0.0.1:{self.port}',
                            'slots': self.slots,
                            'life': self.life,
                            'state': self.state,
                        },
                        timeout=aiohttp.ClientTimeout(total=2),
                    )
                await asyncio.sleep(self.heartbeat_s)


async def serve(target: Target) -> None:
    """Serve until SIGTERM, then finish what runs."""
    app = web.Application(client_max_size=2**30)
    app.add_routes(
        [
            web.get('/stand-in/report', target.report),
            web.post('/stand-in/change', target.change),
            web.route('*', '/{path:.*}', target.answer),
        ]
    )
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=5)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', target.port).start()
    announcing = asyncio.create_task(target.announce())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    announcing.cancel()
    await runner.cleanup()


def main() -> None:
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--version', default='1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--node', required=True, help='ip:port of its node')
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--work-s', type=float, default=0.0)
    parser.add_argument('--cold-s', type=float, default=COLD_S)
    parser.add_argument(
        '--fragile',
        action='store_true',
        help='shed nothing, and work slower beyond the slots',
    )
    args = parser.parse_args()
    asyncio.run(
        serve(
            Target(
                args.service,
                args.version,
                args.port,
                args.slots,
                args.node,
                args.work_s,
                args.cold_s,
                args.fragile,
            )
        )
    )


if __name__ == '__main__':
    main()
