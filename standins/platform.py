"""A stand-in for the platform's object API, with faults to switch.

It keeps objects in memory, counts every call by kind, and can be told over
HTTP to be away, slow, to lose the answers of writes, or to limit rates.
"""

from __future__ import annotations

import asyncio
import collections
import json
import time

from aiohttp import web
import attrs

from standins import serving

MAX_VALUE_BYTES = 1024 * 1024


@attrs.define
class Faults:
    """The faults in force."""

    is_away: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    is_away_after_manifest: bool = False
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


@attrs.define
class Rate:
    """A count of calls within the current second."""

    second: int = 0
    count: int = 0
    highest: int = 0

    def add(self) -> int:
        """Count a call and return the count of this second."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        self.highest = max(self.highest, self.count)
        return self.count


@attrs.define
class Platform:
    """The objects, and what has been asked of them."""

    objects: dict = attrs.field(factory=dict)
    revision: int = 0
    log: list = attrs.field(factory=list)
    faults: Faults = attrs.field(factory=Faults)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    reads: Rate = attrs.field(factory=Rate)
    writes: Rate = attrs.field(factory=Rate)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def admit(self, kind: str, rate: Rate, limit: float) -> None:
        """Count a call and bring about the faults in force."""
        self.counts[kind] += 1
        if self.faults.is_away:
            raise web.HTTPServiceUnavailable(text='away')
        if limit and rate.add() > limit:
            self.counts['limited'] += 1
            raise web.HTTPTooManyRequests(text='limited')
        if not limit:
            rate.add()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)

    async def get(self, request: web.Request) -> web.Response:
        """Answer one object."""
        await self.admit('get', self.reads, self.faults.reads_per_s)
        key = (request.match_info['kind'], request.match_info['name'])
        if key not in self.objects:
            raise web.HTTPNotFound
        version, value = self.objects[key]
        return web.json_response({'version': version, 'value': value})

    async def list(self, request: web.Request) -> web.Response:
        """Answer all objects of a kind."""
        await self.admit('list', self.reads, self.faults.reads_per_s)
        kind = request.match_info['kind']
        found = [
            {'name': name, 'version': version, 'value': value}
            for (k, name), (version, value) in sorted(self.objects.items())
            if k == kind
        ]
        return web.json_response({'objects': found})

    async def put(self, request: web.Request) -> web.Response:
        """Write an object under the condition that its version holds."""
        await self.admit('put', self.writes, self.faults.writes_per_s)
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(body))
        kind = request.match_info['kind']
        key = (kind, request.match_info['name'])
        current = self.objects.get(key, (0, None))[0]
        if int(request.headers['If-Match']) != current:
            return web.json_response({'version': current}, status=409)
        self.revision += 1
        self.objects[key] = (self.revision, json.loads(body))
        self.log.append((self.revision, *key))
        if kind == 'manifest' and self.faults.is_away_after_manifest:
            self.faults.is_away = True
        self.changed.set()
        self.changed = asyncio.Event()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            request.transport.abort()
        return web.json_response({'version': self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes of some kinds after a revision."""
        await self.admit('watch', self.reads, self.faults.reads_per_s)
        kinds = set(request.query['kinds'].split(','))
        after = int(request.query['after'])
        end = time.monotonic() + float(request.query['wait'])
        while True:
            if self.faults.is_away:
                raise web.HTTPServiceUnavailable(text='away')
            names = sorted(
                {(k, n) for r, k, n in self.log if r > after and k in kinds}
            )
            left = end - time.monotonic()
            if names or left <= 0:
                return web.json_response(
                    {'revision': self.revision, 'changed': names}
                )
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def set_faults(self, request: web.Request) -> web.Response:
        """Switch faults."""
        self.faults = attrs.evolve(self.faults, **await request.json())
        if self.faults.is_away:
            self.changed.set()
            self.changed = asyncio.Event()
        return web.json_response(attrs.asdict(self.faults))

    async def get_counts(self, request: web.Request) -> web.Response:
        """Answer how often each kind of call came."""
        highest = {
            'highest_reads_per_s': self.reads.highest,
            'highest_writes_per_s': self.writes.highest,
        }
        return web.json_response({**self.counts, **highest})


def build() -> web.Application:
    """Build the HTTP application."""
    platform = Platform()
    app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
    app.add_routes(
        [
            web.get('/objects/{kind}/{name}', platform.get),
            web.get('/objects/{kind}', platform.list),
            web.put('/objects/{kind}/{name}', platform.put),
            web.get('/watch', platform.watch),
            web.post('/stand-in/faults', platform.set_faults),
            web.get('/stand-in/counts', platform.get_counts),
        ]
    )
    return app


def main() -> None:
    """Serve until ended."""
    serving.serve_by_arguments(__doc__, build)


if __name__ == '__main__':
    main()
