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
    buffer = io.BytesIO()

    def give_up() -> None:
        buffer.close()
        end()

    holding = budget.open(budgets.Place.ANSWERS, give_up)
    try:
        await _fill(buffer, holding, parts, first)
    except errors.MemoryFullError as error:
        raise errors.AnswerBrokenError(str(error)) from error
    finally:
        if holding.is_growing:
            holding.release()
            buffer.close()
    return Body(buffer.getvalue(), holding)


async def _fill(
    buffer: io.BytesIO,
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
        _add(holding, buffer, first)
        async for part in parts:
            _add(holding, buffer, part)
    holding.grow(0)
    holding.complete()


def _add(holding: budgets.Holding, buffer: io.BytesIO, part: bytes) -> None:
    holding.grow(len(part))
    buffer.write(part)
