"""Parsing of received bytes in turns.

A connection whose input takes long to parse, as it consists of very many small
parts, would hold up all others. So its input is parsed in slices, of which the
event loop takes one in each of its rounds.
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


@attrs.define(eq=False)
class Turns:
    """The connections whose input waits to be parsed, each for its turn."""

    waiting: collections.deque[Intake] = attrs.field(factory=collections.deque)
    is_scheduled: bool = False

    def add(self, intake: Intake) -> None:
        """Let a connection wait for its next turn."""
        self.waiting.append(intake)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        intake = self.waiting.popleft()
        try:
            intake.take_turn()
        finally:
            if intake.is_waiting:
                self.waiting.append(intake)
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
        while self.is_waiting and parts < TURN_PARTS:
            piece = self.rest[:size]
            self.rest = self.rest[size:]
            found = self.parse(piece)
            parts += found
            size = SLICE_BYTES if found > FEW_PARTS else LARGE_SLICE_BYTES
        if not self.is_waiting:
            # An empty slice would hold the block that it is a slice of.
            self.drop()


def _parse_nothing(data: memoryview) -> int:
    return 0


def _ignore_change() -> None:
    return
