"""A stand-in of the platform's store, as PROTOCOL tells."""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse

from review.loopback import wire

PAGE = 500


class Store:
    """Objects by kind and name, with one counter of revisions."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.address = ''
        self.is_silent = False

    async def start(self) -> None:
        """Listen on a free port of the loopback."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=wire.MAX_HEAD
        )
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Create or replace an object, as the operator does."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is None:
            found = _new(name, spec, self.revision + 1)
        self._change(kind, found | {'spec': spec})

    def remove(self, kind: str, name: str) -> None:
        """Delete an object, as the operator does."""
        self._change(kind, self.objects[kind][name], is_deleted=True)

    def status(self, kind: str, name: str) -> typing.Any:
        """Return the status of an object."""
        return self.objects.get(kind, {}).get(name, {}).get('status')

    def _change(
        self, kind: str, item: dict, *, is_deleted: bool = False
    ) -> dict:
        self.revision += 1
        metadata = item['metadata'] | {'revision': self.revision}
        item = item | {'metadata': metadata}
        kept = self.objects.setdefault(kind, {})
        if is_deleted:
            kept.pop(metadata['name'], None)
        else:
            kept[metadata['name']] = item
        self.history.append((self.revision, kind, item, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await wire.read_head(reader)
                body = await wire.read_body(reader, head)
                while self.is_silent:
                    await asyncio.sleep(0.05)
                status, value = await self._answer(head, body)
                writer.write(
                    wire.message(
                        f'HTTP/1.1 {status} Status',
                        [('Content-Type', 'application/json')],
                        json.dumps(value).encode(),
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, head: wire.Head, body: bytes
    ) -> tuple[int, typing.Any]:
        method, target = head.first[:2]
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = parts.path.strip('/').split('/')[1:]
        if method == 'GET':
            return await self._read(names, query)
        return self._write(method, names, query, json.loads(body or b'{}'))

    async def _read(
        self, names: list[str], query: dict[str, str]
    ) -> tuple[int, typing.Any]:
        kept = self.objects.get(names[0], {})
        if len(names) > 1:
            found = kept.get(names[1])
            return (404, {}) if found is None else (200, found)
        if 'watch' in query:
            return await self._watch(names[0], query)
        after = query.get('after', '')
        found = [kept[name] for name in sorted(kept) if name > after]
        return 200, {
            'items': found[:PAGE],
            'has_more': len(found) > PAGE,
            'current_rev': self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, typing.Any]:
        since = int(query['watch'])
        wait_s = min(int(query.get('wait_ms', 0)), 30_000) / 1000
        ends = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {'object': item, 'deleted': is_deleted}
                for revision, found, item, is_deleted in self.history
                if revision > since and found == kind
            ]
            left_s = ends - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(
        self, method: str, names: list[str], query: dict[str, str], sent: dict
    ) -> tuple[int, typing.Any]:
        kind, metadata = names[0], sent.get('metadata') or {}
        kept = self.objects.setdefault(kind, {})
        if method == 'POST':
            name = metadata['name']
            if name in kept:
                return 409, kept[name]
            item = _new(name, sent.get('spec'), self.revision + 1)
            return 201, self._change(kind, item)
        item = kept.get(names[1])
        if item is None:
            return 404, {}
        asked = metadata.get('revision') or query.get('revision')
        if asked and int(asked) != item['metadata']['revision']:
            return 409, item
        if method == 'DELETE':
            return 200, self._change(kind, item, is_deleted=True)
        field = 'status' if names[2:] == ['status'] else 'spec'
        if item[field] == sent.get(field):
            return 200, item
        return 200, self._change(kind, item | {field: sent.get(field)})


def _new(name: str, spec: typing.Any, created: int) -> dict:
    metadata = {
        'name': name,
        'revision': created,
        'created': created,
        'finalizers': [],
        'deleting': False,
    }
    return {'metadata': metadata, 'spec': spec, 'status': None}
