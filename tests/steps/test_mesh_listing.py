"""Steps for listings of a neighbour that take much once they are parsed."""

from __future__ import annotations

import tracemalloc
import types
import typing
import zlib

import behave
import structlog.testing

from pomelobend.memory import budget as budgets
from pomelobend.mesh import feed as feeds
from pomelobend.mesh import listing
from pomelobend.peers import messages
from pomelobend.platform import eras
from pomelobend.platform import kinds
from pomelobend.platform import objects
from tests.steps import parsed_values

MB = parsed_values.MB
PATTERNS = {
    'empty lists': b'\x80',
    'maps of maps': b'\xa1\x00' * 100 + b'\x00',
    'sets': b'\xd9\x01\x02\x80',
    'short texts': b'\x62ab',
}
ALLOWED_BYTES = 2 * MB
"""What else is allocated meanwhile: the log, the compressed listing."""


def packed(what: str, size: int) -> bytes:
    """Return a listing of one object whose value has a size."""
    start = b'\x81\x85\x61n\x01'
    end = b'\xf6\xf4'
    if what == 'a text':
        value = b'\x7a' + size.to_bytes(4, 'big') + b'a' * size
    else:
        pattern = PATTERNS[what]
        count = size // len(pattern)
        value = b'\x9a' + count.to_bytes(4, 'big') + pattern * count
    return zlib.compress(start + value + end, 1)


class Role:
    """The role of a node that is fed."""

    must_follow = False
    has_upstream = True


class Adopting:
    """A watch that keeps the listings it is given."""

    revision = None
    is_stale = False

    def __init__(self) -> None:
        self.adopted: list[tuple[eras.Position, dict]] = []
        self.digest = b''

    def adopt(self, position: eras.Position, items: dict) -> None:
        """Keep a listing."""
        self.adopted.append((position, items))

    def is_older_than(self, position: eras.Position) -> bool:
        """Return whether a listing is newer than the last one."""
        return not self.adopted or self.adopted[-1][0] < position

    def may_differ_at(self, position: eras.Position) -> bool:
        """Return that all nodes hold the same at a position."""
        return False


@behave.given("a neighbour's listing of {size:d} MB of {what}")
def given_odd(context: typing.Any, size: int, what: str) -> None:
    context.sent = packed(what, size * MB)


@behave.given('a neighbour that holds {what}')
def given_honest(context: typing.Any, what: str) -> None:
    context.items = {
        entry['metadata']['name']: objects.StoredObject(
            entry['metadata']['name'],
            entry['metadata']['revision'],
            entry['spec'],
            entry['status'],
        )
        for entry in parsed_values.HONEST[what]()
    }
    context.sent = listing.pack(context.items)


@behave.when('a node with {memory:d} MB receives it')
def when_received(context: typing.Any, memory: int) -> None:
    context.budget = budgets.Budget.of_node(memory * MB)
    context.watch = Adopting()
    context.feed = feeds.Feed(
        types.SimpleNamespace(neighbours=list),
        None,
        Role(),
        {kinds.NODES: context.watch},
    )
    context.feed.budget = context.budget
    tracemalloc.start()
    try:
        with structlog.testing.capture_logs() as context.lines:
            receive(context, 2, context.sent)
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def receive(context: typing.Any, revision: int, data: bytes) -> None:
    """Let the node handle a listing of its neighbour."""
    context.feed.handle_listing(
        types.SimpleNamespace(node='vik-2'),
        messages.Listing(kinds.NODES, 0, revision, data),
    )


@behave.then(
    'it is ignored with one line, and took at most the share of the memory'
)
def then_ignored(context: typing.Any) -> None:
    most = context.budget.max_bytes / 2 + ALLOWED_BYTES
    assert context.peak_bytes <= most, (context.peak_bytes, most)
    assert not context.watch.adopted
    found = [line for line in context.lines if 'size_kb' in line]
    assert len(found) == len(context.lines) == 1, context.lines
    assert found[0]['node'] == 'vik-2'


@behave.then('the next listing of the neighbour is used')
def then_next(context: typing.Any) -> None:
    receive(context, 3, listing.pack({}))
    assert context.watch.adopted == [(eras.Position(0, 3), {})]


@behave.then('it has the same objects')
def then_same(context: typing.Any) -> None:
    assert context.watch.adopted == [(eras.Position(0, 2), context.items)], (
        context.lines
    )
