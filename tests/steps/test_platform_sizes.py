"""Steps for answers of the store that have no end."""

from __future__ import annotations

import asyncio
import json
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.memory import budget as budgets
from pomelobend.platform import objects

MB = 1024 * 1024
BUDGET_BYTES = 128 * MB
ROOM_BYTES = 96 * MB
PAGE_BYTES = 4 * MB
CHUNK_BYTES = 256 * 1024
RESPONSE, PAGES = 'a response', 'pages'


class EndlessStore:
    """Answers each request without end, and counts what it sends."""

    def __init__(self, what: str) -> None:
        self.what = what
        self.sent_bytes = 0
        self.pages = 0
        self.tasks: set[asyncio.Task] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it is closed, or enough was sent."""
        self.tasks.add(asyncio.current_task())
        try:
            while self.sent_bytes < ROOM_BYTES:
                await reader.readuntil(b'\r\n\r\n')
                await self._answer(writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def close(self) -> None:
        """End all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        if self.what == RESPONSE:
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            while self.sent_bytes < ROOM_BYTES:
                await self._send(writer, b' ' * CHUNK_BYTES)
            return
        body = self._page()
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        await self._send(writer, head + body)

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)

    def _page(self) -> bytes:
        self.pages += 1
        entry = {
            'metadata': {'name': f'node-{self.pages:06}', 'revision': 1},
            'spec': 'a' * PAGE_BYTES,
        }
        page = {'items': [entry], 'has_more': True, 'current_rev': 9}
        return json.dumps(page).encode()


@behave.given('a store that answers a listing with {what} without end')
def given_endless(context: typing.Any, what: str) -> None:
    context.endless = EndlessStore(what)

    async def start() -> str:
        server = await asyncio.start_server(
            context.endless.serve, '127.0.0.1', 0
        )
        context.stack.push_async_callback(context.endless.close)
        context.stack.callback(server.close)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    context.address = context.run(start())


@behave.when('a node lists a kind of its objects')
def when_lists(context: typing.Any) -> None:
    context.budget = budgets.Budget(BUDGET_BYTES)

    async def act() -> None:
        store = objects.ObjectStore.from_address(
            context.address, clocks.SystemClock(), context.budget
        )
        context.stack.callback(store.close)
        try:
            await store.list('nodes')
            context.is_unavailable = False
        except errors.PlatformUnavailableError:
            context.is_unavailable = True

    context.run(act())


@behave.then('the store counts as unavailable after at most {most:d} MB')
def then_unavailable(context: typing.Any, most: int) -> None:
    assert context.is_unavailable
    sent = context.endless.sent_bytes
    assert sent <= most * MB, sent


@behave.then('the node holds nothing of it')
def then_nothing(context: typing.Any) -> None:
    assert not context.budget.used_bytes, context.budget.by_place
