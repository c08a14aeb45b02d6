"""Bodies that are collected before they are passed on."""

from __future__ import annotations

import contextlib
import io
import typing

import attrs

from pomelobend import errors
from pomelobend.memory import budget as budgets

if typing.TYPE_CHECKING:
    from collections import abc


BLOCK_BYTES = 64 * 1024
"""Size in which a body is collected. One buffer that grows would be moved
again and again, and leave holes in the memory of the process."""


@attrs.define(eq=False)
class Blocks:
    """A body that is being collected, in blocks of one size."""

    whole: list[bytes] = attrs.field(factory=list)
    tail: bytearray = attrs.field(factory=bytearray)

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.tail += part
        while len(self.tail) >= BLOCK_BYTES:
            self.whole.append(bytes(self.tail[:BLOCK_BYTES]))
            del self.tail[:BLOCK_BYTES]

    def join(self) -> bytes:
        """Return the body, and free each block once it is copied."""
        if not self.whole:
            return bytes(self.tail)
        joined = io.BytesIO()
        self.whole.reverse()
        while self.whole:
            joined.write(self.whole.pop())
        joined.write(self.tail)
        self.clear()
        return joined.getvalue()

    def clear(self) -> None:
        """Free what was collected."""
        self.whole.clear()
        self.tail = bytearray()


@attrs.frozen(eq=False)
class Body:
    """A whole body, and the memory that it holds."""

    data: bytes
    holding: budgets.Holding


def check_length(budget: budgets.Budget, length: int | None) -> None:
    """Reject a body whose announced length never has room.

    Raises
    ------
    errors.AnswerBrokenError
    """
    try:
        budget.check_length(length)
    except errors.MemoryFullError as error:
        raise errors.AnswerBrokenError(str(error)) from error


async def collect(
    budget: budgets.Budget,
    parts: abc.AsyncGenerator[bytes],
    first: bytes = b'',
    end: abc.Callable[[], None] = lambda: None,
) -> Body:
    """Return a whole body; close its source if it is given up.

    Parameters
    ----------
    budget : budgets.Budget
    parts : async generator of bytes
    first : bytes
        What precedes the parts.
    end : callable
        Ends the source of the parts if the memory is needed for others.

    Raises
    ------
    errors.AnswerBrokenError
        There was no room for it.
    """
    blocks = Blocks()

    def give_up() -> None:
        blocks.clear()
        end()

    holding = budget.open(budgets.Place.ANSWERS, give_up)
    try:
        await _fill(blocks, holding, parts, first)
    except errors.MemoryFullError as error:
        raise errors.AnswerBrokenError(str(error)) from error
    finally:
        if holding.is_growing:
            holding.release()
            blocks.clear()
    return Body(blocks.join(), holding)


async def _fill(
    blocks: Blocks,
    holding: budgets.Holding,
    parts: abc.AsyncGenerator[bytes],
    first: bytes,
) -> None:
    """Collect the parts of a body until it is whole.

    Raises
    ------
    errors.MemoryFullError
    """
    async with contextlib.aclosing(parts):
        _add(holding, blocks, first)
        async for part in parts:
            _add(holding, blocks, part)
    holding.grow(0)
    holding.complete()


def _add(holding: budgets.Holding, blocks: Blocks, part: bytes) -> None:
    holding.grow(len(part))
    blocks.add(part)
