"""One limit for all bytes that a node holds for others.

Bodies of requests and answers are held in several places: while they are
received, while they wait or are processed, and until their receiver has taken
them. All draw from one budget, so that no load fills the memory of the node
and ends the calls of others. A body without end becomes the largest one soon,
and is given up alone; small ones beside it are not touched.
"""

from __future__ import annotations

import collections
import enum
import gc
import time
import typing
import weakref

import attrs
import structlog

from pomelobend import errors
from pomelobend.memory import eviction
from pomelobend.memory import queued as queued_module

if typing.TYPE_CHECKING:
    from collections import abc

logger = structlog.get_logger('memory')

KB = 1024
MB = 1024 * 1024

PROGRAM_BYTES = 60 * MB
"""Memory of the program itself, with its tables and connections."""

COPIES = 2
"""Memory that a held byte takes at most: a part of it may also be in the
buffer of a connection, and the allocator keeps free blocks."""

CONNECTION_BYTES = 4 * KB
"""What a connection counts, also one that has sent nothing. An idle one takes
3.4 KB, and the head of an ordinary request up to 4 KiB besides."""

LEAST_BYTES = 8 * MB
"""Budget of a node with hardly more memory than the program needs."""

UNKNOWN_BYTES = 72 * MB
"""Budget where the memory of the VM is unknown: one body of the largest size
that a configuration usually allows, and small ones beside it."""

SMALL_BYTES = 64 * KB
"""Size up to which a body is small."""

LARGE_SHARE = 15 / 16
"""Share of the budget that large bodies may use, so that small ones pass."""

SHORT_SHARE = 1 / 2
"""Share of the budget from which on memory is short: no more is read from
connections whose requests wait. It is less than what requests may use, so
that reading stops before requests are refused."""

REQUESTS_SHARE = 5 / 8
"""Share of the budget that the bodies of several requests may use, so that
the answers of those that have run pass. One alone may use more."""


class Place(enum.StrEnum):
    """Where bytes are held."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'
    REPLIES = 'replies'
    NODES = 'nodes'


REQUEST_PLACES = frozenset((Place.REQUESTS, Place.NODES))


@attrs.define(eq=False)
class Group:
    """Holdings of one request that is being received, and their size."""

    size: int = 0


@attrs.define(eq=False)
class Holding:
    """The bytes of one body in one place.

    It ends with ``release``, or with the last reference to it: whatever
    drops a body, as a call is cancelled or answered elsewhere, frees its
    bytes.

    Parameters
    ----------
    budget : Budget
    place : Place
    on_give_up : callable or None
        Frees the bytes if their memory is needed; None for a body that is
        whole and is not given up.
    size : int
    is_growing : bool
        Whether the body is still being received.
    is_given_up : bool
    began_at : float
        Monotonic time at which the body began.
    sender_at : float or None
        Monotonic time of its last byte; None if it does not wait for its
        sender.
    group : Group or None
        Further holdings of the same request while it is being received.
    """

    budget: Budget
    place: Place
    on_give_up: abc.Callable[[], None] | None = None
    size: int = 0
    is_growing: bool = True
    is_given_up: bool = False
    began_at: float = 0.0
    sender_at: float | None = None
    group: Group | None = None

    def grow(self, size: int) -> None:
        """Hold more bytes; bodies are given up if there is no room.

        Raises
        ------
        errors.MemoryFullError
            This body was given up.
        """
        wanted = self.size + size
        if self.sender_at is not None:
            self.sender_at = self.budget.clock()
        if not self.is_given_up:
            self.budget.take(self, size)
        if self.is_given_up:
            raise errors.MemoryFullError(
                f'no memory for a body of {wanted} bytes'
            )

    def complete(
        self,
        place: Place | None = None,
        on_give_up: abc.Callable[[], None] | None = None,
    ) -> None:
        """Note that the body is whole, and who can free its bytes now."""
        self.is_growing = False
        self.on_give_up = on_give_up
        self.budget.ungroup(self)
        self.budget.note_candidate(self)
        if place is not None:
            self.budget.move(self, place)

    def release(self) -> None:
        """Free the bytes."""
        self.on_give_up = None
        self.budget.free(self)

    def __del__(self) -> None:
        """Free the bytes of a body that was dropped."""
        if self.size:
            self.budget.free(self)


@attrs.define(eq=False)
class Budget:
    """Limits the bytes that a node holds for others.

    Parameters
    ----------
    max_bytes : int
    used_bytes : int
    by_place : dict of Place to int
        The used bytes.
    given_up : Counter of Place
        Number of bodies that were given up.
    holdings : WeakSet of Holding
        Those that may be given up for others: of large bodies, and of
        whole ones that their receivers don't take.
    queued : QueuedRequests
        Whole requests that may be refused for answers.
    collect_garbage : callable
        Frees what calls that failed have left in reference cycles, such as
        those of errors and the frames in their tracebacks. The interpreter
        does so by the number of objects, not by their size.
    taken_bytes : int
        Bytes that were taken since then.
    connections : int
        Connections that callers and others have opened to the node.
    clock : callable
        Returns the monotonic time in s.
    """

    max_bytes: int = UNKNOWN_BYTES
    used_bytes: int = 0
    by_place: collections.Counter[Place] = attrs.field(
        factory=collections.Counter
    )
    given_up: collections.Counter[Place] = attrs.field(
        factory=collections.Counter
    )
    holdings: weakref.WeakSet[Holding] = attrs.field(factory=weakref.WeakSet)
    queued: queued_module.QueuedRequests = attrs.field(
        factory=queued_module.QueuedRequests
    )
    collect_garbage: abc.Callable[[], object] = gc.collect
    taken_bytes: int = 0
    connections: int = 0
    clock: abc.Callable[[], float] = time.monotonic

    @classmethod
    def of_node(cls, memory_bytes: int | None) -> Budget:
        """Return the budget of a node that may use an amount of memory."""
        if not memory_bytes:
            return cls()
        room = (memory_bytes - PROGRAM_BYTES) // COPIES
        return cls(max(LEAST_BYTES, room))

    @property
    def large_bytes(self) -> int:
        """Return the part of the budget that large bodies may use."""
        return round(LARGE_SHARE * self.max_bytes)

    @property
    def connection_bytes(self) -> int:
        """Return what the connections to the node count."""
        return CONNECTION_BYTES * self.connections

    @property
    def total_bytes(self) -> int:
        """Return what bodies and connections count together."""
        return self.used_bytes + self.connection_bytes

    @property
    def is_short(self) -> bool:
        """Return whether no more should be read of what can wait."""
        return self.total_bytes > SHORT_SHARE * self.max_bytes

    def open(
        self,
        place: Place,
        on_give_up: abc.Callable[[], None] | None = None,
    ) -> Holding:
        """Return a holding for a body that is being received."""
        return Holding(self, place, on_give_up)

    def open_request(
        self, on_give_up: abc.Callable[[], None], group: Group
    ) -> Holding:
        """Return a holding for a request that its sender may not finish."""
        now = self.clock()
        holding = Holding(
            self,
            Place.REQUESTS,
            on_give_up,
            began_at=now,
            sender_at=now,
            group=group,
        )
        self.holdings.add(holding)
        return holding

    def open_input(
        self, on_give_up: abc.Callable[[], None], group: Group
    ) -> Holding:
        """Return a holding for input that waits for the node."""
        return Holding(self, Place.REQUESTS, on_give_up, group=group)

    def ungroup(self, holding: Holding) -> None:
        """Note that a holding belongs to no unfinished request any more."""
        if holding.group is not None:
            holding.group.size -= holding.size
            holding.group = None

    def note_candidate(self, holding: Holding) -> None:
        """Note whether a holding may be given up for others.

        A whole request that waits to be processed may not. There can be tens
        of thousands of them, and each choice looks at all candidates.
        """
        if holding.is_growing or holding.on_give_up is not None:
            self.holdings.add(holding)
        else:
            self.holdings.discard(holding)

    def hold(self, place: Place, size: int) -> Holding:
        """Return a holding for a body that is whole already.

        No other body is given up for it.

        Raises
        ------
        errors.MemoryFullError
            There is no room for it.
        """
        holding = self.open(place)
        holding.complete()
        self._add(holding, size)
        if not self._has_room(holding):
            self._reclaim()
        if not self._has_room(holding):
            self.free(holding)
            raise errors.MemoryFullError(f'no memory for {size} bytes')
        return holding

    def check_length(self, length: int | None) -> None:
        """Reject a body whose announced length never has room.

        Raises
        ------
        errors.MemoryFullError
        """
        if length is not None and length > self.large_bytes:
            raise errors.MemoryFullError(
                f'a body of {length} bytes is too large'
            )

    def take(self, holding: Holding, size: int) -> None:
        """Give bytes to a holding, or give it up.

        A request whose sender has stalled goes first, then the largest body
        that is being received, but not a request while all of them are within
        their share: many answers without end don't displace one. A small body
        may also displace one that is whole, if its receiver doesn't take it.
        An answer or a reply then displaces requests that were not begun.
        """
        self._add(holding, size)
        if not self._has_room(holding):
            self._reclaim()
        while not self._has_room(holding) and not holding.is_given_up:
            victim = self._victim(holding)
            if victim is not holding or not self._refuse_queued(holding):
                self._give_up(victim)

    def move(self, holding: Holding, place: Place) -> None:
        """Note that the bytes of a holding are in another place now."""
        self.by_place[holding.place] -= holding.size
        self.by_place[place] += holding.size
        holding.place = place

    def free(self, holding: Holding) -> None:
        """Take back the bytes of a holding."""
        self.ungroup(holding)
        self.used_bytes -= holding.size
        self.by_place[holding.place] -= holding.size
        holding.size = 0

    def _reclaim(self) -> None:
        """Collect garbage, at most once for as many bytes as have room."""
        if self.taken_bytes >= self.large_bytes:
            self.taken_bytes = 0
            self.collect_garbage()

    def _add(self, holding: Holding, size: int) -> None:
        holding.size += size
        if holding.group is not None:
            holding.group.size += size
        if holding.size > SMALL_BYTES:
            self.note_candidate(holding)
        self.taken_bytes += size
        self.used_bytes += size
        self.by_place[holding.place] += size

    def _has_room(self, holding: Holding) -> bool:
        if holding.size <= SMALL_BYTES:
            return self.total_bytes <= self.max_bytes
        return self.total_bytes <= self.large_bytes and not (
            self._is_share_exceeded(holding)
        )

    def _is_share_exceeded(self, holding: Holding) -> bool:
        """Return whether a request is one too many beside others."""
        if holding.place not in REQUEST_PLACES:
            return False
        own_bytes = holding.size if not holding.group else holding.group.size
        others_bytes = self._requests_bytes - own_bytes
        return self._has_many_requests and others_bytes > SMALL_BYTES

    @property
    def _requests_bytes(self) -> int:
        return sum(self.by_place[place] for place in REQUEST_PLACES)

    @property
    def _has_many_requests(self) -> bool:
        return self._requests_bytes > REQUESTS_SHARE * self.max_bytes

    def _victim(self, holding: Holding) -> Holding:
        """Return the body that makes room for another one, or that one."""
        growing = self._growing([item for item in self.holdings if item.size])
        stalled = eviction.longest_stalled(growing, self.clock())
        if stalled is not None:
            return stalled
        large = [item for item in growing if item.size > SMALL_BYTES]
        if large:
            return max(large, key=lambda item: item.size)
        if holding.size > SMALL_BYTES:
            return holding
        untaken = [
            item
            for item in self.holdings
            if item.size and item.on_give_up is not None
        ]
        return max(untaken, key=lambda item: item.size, default=holding)

    def _growing(self, holdings: list[Holding]) -> list[Holding]:
        """Return the bodies that are received, of the kind that has to go."""
        found = [item for item in holdings if item.is_growing]
        requests = [item for item in found if item.place in REQUEST_PLACES]
        answers = [item for item in found if item not in requests]
        if self.total_bytes <= self.large_bytes:
            return requests
        if answers and not self._has_many_requests:
            return answers
        return found

    def _refuse_queued(self, holding: Holding) -> bool:
        """Refuse queued requests for an answer; return whether it has room."""
        if holding.place in REQUEST_PLACES:
            return False
        count = 0
        while not self._has_room(holding):
            refused = self.queued.refuse_newest()
            if refused is None:
                break
            self.given_up[refused.place] += 1
            self.free(refused)
            count += 1
        if count:
            logger.warning('memory: queued requests are refused', count=count)
        return self._has_room(holding)

    def _give_up(self, holding: Holding) -> None:
        logger.warning(
            'memory: a body is given up',
            place=str(holding.place),
            size_kb=holding.size // KB,
            is_whole=not holding.is_growing,
            used_kb=self.total_bytes // KB,
            max_kb=self.max_bytes // KB,
            by_place_kb={
                str(place): size // KB for place, size in self.by_place.items()
            },
        )
        self.given_up[holding.place] += 1
        holding.is_given_up = True
        self.free(holding)
        if holding.on_give_up is not None:
            holding.on_give_up()
