"""Steps for answers of the store that take much once they are parsed."""

from __future__ import annotations

import asyncio
import re
import tracemalloc
import typing

import behave
import structlog.testing

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.memory import budget as budgets
from pomelobend.platform import objects
from tests.steps import parsed_values

MB = parsed_values.MB
KIND = 'odd-kind'
TARGETS = 3400
TEXT_COPIES = 3
"""Copies of a text while it is received and decoded."""


class Store:
    """Answers requests for pages with texts that are given."""

    def __init__(self, pages: list[bytes]) -> None:
        self.pages = pages
        self.taken_bytes = 0
        self.tasks: set[asyncio.Task] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request with the next page."""
        self.tasks.add(asyncio.current_task())
        try:
            for page in self.pages:
                await reader.readuntil(b'\r\n\r\n')
                head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
                writer.write(head % len(page) + page)
                await writer.drain()
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def close(self) -> None:
        """End all connections."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)


def start(context: typing.Any, pages: list[bytes]) -> None:
    """Start a store that answers with these pages."""
    context.pages = pages
    context.served = Store(pages)

    async def act() -> str:
        server = await asyncio.start_server(
            context.served.serve, '127.0.0.1', 0
        )
        context.stack.push_async_callback(context.served.close)
        context.stack.callback(server.close)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    context.address = context.run(act())


def page_of(items: bytes, *, has_more: bool = False) -> bytes:
    """Return a page of a listing."""
    more = b'true' if has_more else b'false'
    end = b',"has_more":%b,"current_rev":9}' % more
    return b'{"items":' + items + end


@behave.given('a store that answers with {what}')
def given_text(context: typing.Any, what: str) -> None:
    found = re.fullmatch(r'(?:(\d+) pages of )?(\d+) ([KM])B of (.+)', what)
    count, size = int(found[1] or 1), int(found[2])
    size *= {'K': 1024, 'M': MB}[found[3]]
    text = parsed_values.text_of(found[4], size - 1024)
    if found[1] is None:
        start(context, [page_of(text.encode())])
        return
    pages = [
        page_of(
            b'[{"metadata":{"name":"n-%03d","revision":1},"spec":%b}]'
            % (number, text.encode()),
            has_more=number < count - 1,
        )
        for number in range(count)
    ]
    start(context, pages)


@behave.given('a store with an entry of {what} among {count:d} targets')
def given_odd(context: typing.Any, what: str, count: int) -> None:
    kind = what.removeprefix('1 MB of ')
    odd = parsed_values.text_of(kind, MB - 1024)
    entries = [parsed_values.target(number) for number in range(count)]
    entries.insert(count // 2, parsed_values.entry('odd', None))
    items = parsed_values.dumps(entries)
    marked = items.replace(b'"spec":null', b'"spec":' + odd.encode(), 1)
    events = parsed_values.dumps(
        [{'object': item, 'deleted': False} for item in entries]
    ).replace(b'"spec":null', b'"spec":' + odd.encode(), 1)
    end = b',"events":%b,"current_rev":9}' % events
    context.listing, context.watching = page_of(marked), b'{"items":[]' + end


@behave.given('a store that holds {what}')
def given_honest(context: typing.Any, what: str) -> None:
    context.entries = parsed_values.HONEST[what]()
    start(context, [page_of(parsed_values.dumps(context.entries))])


@behave.when('a node with {memory:d} MB {acts:w} a kind of its objects')
def when_lists(context: typing.Any, memory: int, acts: str) -> None:
    act_as_node(context, memory, acts)


@behave.when('a node with {memory:d} MB {acts:w} its objects')
def when_acts(context: typing.Any, memory: int, acts: str) -> None:
    page = context.listing if acts == 'lists' else context.watching
    start(context, [page])
    act_as_node(context, memory, acts)


def act_as_node(context: typing.Any, memory: int, acts: str) -> None:
    """List or watch the objects; note the memory and the log."""
    context.budget = budgets.Budget.of_node(memory * MB)

    async def act() -> None:
        store = objects.ObjectStore.from_address(
            context.address, clocks.SystemClock(), context.budget
        )
        context.stack.callback(store.close)
        try:
            if acts == 'lists':
                context.found = (await store.list(KIND)).items
            else:
                events = (await store.watch(KIND, 3, 100)).events
                context.found = [event.item for event in events]
        except errors.PlatformUnavailableError as error:
            context.found, context.error = None, error

    tracemalloc.start()
    try:
        with structlog.testing.capture_logs() as context.lines:
            context.run(act())
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@behave.then(
    'the store counts as unavailable and parsing took at most the memory of '
    'its share'
)
def then_unavailable(context: typing.Any) -> None:
    check_memory(context)
    assert context.found is None, len(context.found)


def check_memory(context: typing.Any) -> None:
    """Check what the values took beside copies of the largest page."""
    most = context.budget.max_bytes / 2
    most += TEXT_COPIES * max(map(len, context.pages))
    assert context.peak_bytes <= most, (context.peak_bytes, most)


@behave.then('one line tells the path and the sizes')
def then_line(context: typing.Any) -> None:
    found = [line for line in context.lines if 'parsed_kb' in line]
    assert len(found) == 1, context.lines
    assert found[0]['path'].startswith(f'/objects/{KIND}'), found
    assert found[0]['size_kb'] and found[0]['parsed_kb'], found


@behave.then(
    'it has all targets, and parsing took at most the memory of its share'
)
def then_targets(context: typing.Any) -> None:
    check_memory(context)
    assert context.found is not None, context.error
    names = {item.name for item in context.found if item.spec is not None}
    assert len(names) == TARGETS, len(names)


@behave.then('one line tells of the entry')
def then_entry(context: typing.Any) -> None:
    found = [line for line in context.lines if 'size_kb' in line]
    assert len(found) == 1, context.lines


@behave.then('it has all entries as they are')
def then_honest(context: typing.Any) -> None:
    assert context.found is not None, context.error
    expected = [(e['metadata']['name'], e['spec']) for e in context.entries]
    assert [(i.name, i.spec) for i in context.found] == expected
    assert not context.lines, context.lines
