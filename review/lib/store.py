"""The platform's store, in memory, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import urllib.parse

from review.lib import wire


class Store:
    """Objects by kind and name under one revision counter."""

    def __init__(self) -> None:
        self.address = f'127.0.0.1:{wire.free_port()}'
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for calls."""
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object, as the operator does."""
        old = self.objects.get(kind, {}).get(name)
        status = old['status'] if old else None
        self._record(kind, name, spec, status, is_deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object, as the operator does."""
        item = self.objects[kind].pop(name)
        self._record(kind, name, item['spec'], item['status'], is_deleted=True)

    def status(self, kind: str, name: str) -> dict:
        """Return the status of an object, empty if it has none."""
        item = self.objects.get(kind, {}).get(name)
        return (item and item['status']) or {}

    def _record(
        self,
        kind: str,
        name: str,
        spec: object,
        status: object,
        *,
        is_deleted: bool,
    ) -> dict:
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known['metadata']['created'] if known else self.revision
        item = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        if not is_deleted:
            self.objects[kind][name] = item
        self.events.append((self.revision, kind, item, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = wire.Stream(reader, writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await stream.read_message()) is not None:
                status, value = await self._answer(request)
                body = json.dumps(value).encode()
                headers = {'content-type': 'application/json'}
                await stream.send(f'HTTP/1.1 {status} X', headers, body)
        stream.close()

    async def _answer(self, request: wire.Message) -> tuple[int, object]:
        await asyncio.sleep(0.004)
        method, target, _ = request.start.split()
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        _, _, kind, *rest = path.split('/')
        if method == 'GET':
            return await self._read(kind, rest, query)
        wanted = json.loads(request.body) if request.body else {}
        metadata = wanted.get('metadata') or {}
        name = rest[0] if rest else metadata['name']
        found = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            if found is not None:
                return 409, found
            return 201, self._record(
                kind, name, wanted.get('spec'), None, is_deleted=False
            )
        if found is None:
            return 404, {}
        revision = metadata.get('revision') or query.get('revision')
        if revision and int(revision) != found['metadata']['revision']:
            return 409, found
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, found
        spec, status = found['spec'], found['status']
        if rest[1:] == ['status']:
            status = wanted.get('status')
        else:
            spec = wanted.get('spec')
        if (spec, status) == (found['spec'], found['status']):
            return 200, found
        return 200, self._record(kind, name, spec, status, is_deleted=False)

    async def _read(
        self, kind: str, rest: list[str], query: dict[str, str]
    ) -> tuple[int, object]:
        items = self.objects.get(kind, {})
        if rest:
            found = items.get(rest[0])
            return (200, found) if found else (404, {})
        if 'watch' not in query:
            return 200, {
                'items': [items[name] for name in sorted(items)],
                'has_more': False,
                'current_rev': self.revision,
            }
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = [
                {'object': item, 'deleted': is_deleted}
                for revision, of, item, is_deleted in self.events
                if revision > int(query['watch']) and of == kind
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
