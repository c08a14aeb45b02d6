"""Parsing of received bytes in turns.

A connection whose input takes long to parse, as it is large or consists of
very many small parts, would hold up all others. So its input is parsed in
slices, and in each round of the event loop all connections together parse as
much as one of them may. Little input is parsed at once.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

SLICE_BYTES = 4096

LARGE_SLICE_BYTES = 32 * 1024
"""Size of a slice after one of few parts."""

FEW_PARTS = 8

TURN_PARTS = 256
"""Parts, such as headers and chunks, after which a turn ends."""

ROUND_BYTES = 256 * 1024
"""Size of the input that is parsed in a round of the event loop, at most,
besides that of connections which receive no more than a slice."""


@attrs.define(eq=False)
class Turns:
    """The connections whose input waits to be parsed, each for its turn.

    Parameters
    ----------
    parsed_bytes : int
        Size of the input that was parsed in this round of the event loop.
    """

    waiting: collections.deque[Intake] = attrs.field(factory=collections.deque)
    is_scheduled: bool = False
    parsed_bytes: int = 0

    @property
    def is_over(self) -> bool:
        """Return whether no more input should be parsed in this round."""
        return self.parsed_bytes >= ROUND_BYTES

    def note_parsed(self, size: int) -> None:
        """Count input that was parsed, until the next round."""
        self.parsed_bytes += size
        self._schedule()

    def add(self, intake: Intake) -> None:
        """Let a connection wait for its next turn."""
        self.waiting.append(intake)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        self.parsed_bytes = 0
        if not self.waiting:
            return
        intake = self.waiting.popleft()
        try:
            intake.take_turn()
        finally:
            if intake.is_waiting:
                self.waiting.append(intake)
            if self.waiting:
                self._schedule()


@attrs.define(eq=False)
class Intake:
    """The input of one connection.

    Parameters
    ----------
    turns : Turns
    parse : callable
        Parses a slice; returns the number of parts in it.
    on_change : callable
        Called when input begins or ceases to wait. No more should be read
        from the socket meanwhile.
    rest : memoryview
        Input that has not been parsed yet.
    is_queued : bool
        Whether the input waits for another turn.
    """

    turns: Turns
    parse: abc.Callable[[memoryview], int]
    on_change: abc.Callable[[], None]
    rest: memoryview = memoryview(b'')
    is_queued: bool = False

    @property
    def is_waiting(self) -> bool:
        """Return whether input waits to be parsed."""
        return len(self.rest) > 0

    def receive(self, data: bytes) -> None:
        """Parse received bytes, or as many as one turn allows."""
        if self.is_waiting:
            self.rest = memoryview(bytes(self.rest) + data)
            return
        self.rest = memoryview(data)
        is_little = len(data) <= SLICE_BYTES
        if is_little or not (self.turns.waiting or self.turns.is_over):
            self._parse_turn()
        if self.is_waiting:
            self.is_queued = True
            self.turns.add(self)
            self.on_change()

    def take_turn(self) -> None:
        """Parse as much of the waiting input as one turn allows."""
        if not self.is_waiting:
            self.is_queued = False
            return
        self._parse_turn()
        if not self.is_waiting:
            self.is_queued = False
            self.on_change()

    def finish(self) -> None:
        """Parse all that waits, as the connection has ended."""
        while self.is_waiting:
            self._parse_turn()

    def drop(self) -> None:
        """Drop what waits."""
        self.rest = memoryview(b'')

    def close(self) -> None:
        """Drop what waits, and the connection, which has ended.

        The two would refer to each other, and stay until the garbage
        collector comes by.
        """
        self.drop()
        self.parse = _parse_nothing
        self.on_change = _ignore_change

    def _parse_turn(self) -> None:
        parts, size = 0, SLICE_BYTES
        taken = 0
        while self.is_waiting and parts < TURN_PARTS and taken < ROUND_BYTES:
            piece = self.rest[:size]
            self.rest = self.rest[size:]
            found = self.parse(piece)
            parts += found
            taken += len(piece)
            size = SLICE_BYTES if found > FEW_PARTS else LARGE_SLICE_BYTES
        if taken > SLICE_BYTES:
            self.turns.note_parsed(taken)
        if not self.is_waiting:
            # An empty slice would hold the block that it is a slice of.
            self.drop()


def _parse_nothing(data: memoryview) -> int:
    return 0


def _ignore_change() -> None:
    return
