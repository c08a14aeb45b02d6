"""What a text takes once it is parsed: upper bounds that are known before.

A text of others may hold very many small values, each of which takes far more
memory as an object than as text. The bounds hold for any text, also for one
that turns out to be invalid.
"""

from __future__ import annotations

import asyncio
import re
import typing

from pomelobend import errors
from pomelobend.memory import budget as budgets

if typing.TYPE_CHECKING:
    from collections import abc

MB = 1024 * 1024

VALUE_BYTES = 120
"""Most bytes that a mark of a JSON text, or a head of CBOR, stands for. An
empty list takes 65, a list or map of one value 101 or 224, which have two and
three of them, and a key that occurs once 95 with its part of the table."""

SHARE = 1 / 2
"""Share of the budget of a node that the values of one text may take. They
are not held in the budget, but in the memory that it leaves."""

SMALLEST_NODE_BYTES = 200 * MB
"""Memory of the smallest node."""

ONE_BYTES = budgets.Budget.of_node(SMALLEST_NODE_BYTES).max_bytes // 3
"""Most bytes that an entry of the store, or a message between nodes, may
take. It is the same for all nodes, so that all know the same entries and read
what the others send."""

WIDE_BYTES = 4
"""Size of each character of a text that holds a wide one."""

_JSON_MARKS = b'[{,:'

MAX_MARKS = 2 * MB
"""Most marks of a JSON text that is looked at more closely. An entry of the
store has at most 1 MiB, so at most half of them."""

STEPS = 2000
"""Brackets of a text after which others have their turn."""

_FLAT = rb'(?:[^"\[\]{}]{1,32}+|"[^"\\]{0,32}+"){0,8}+'
_JSON_STEP = re.compile(
    rb'(?:[^"\[\]{}]++|\[%b\]|\{%b\}|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[\]{}])'
    % (_FLAT, _FLAT),
    re.DOTALL,
)
"""A bracket of a JSON text with all before it, in which lists and maps are
small and hold no others."""

_LONG_STRING = re.compile(
    rb'(?:[^"]++|"(?:[^"\\]{1,16}+|\\.){0,4}+")*+'
    rb'("[^"\\]*+(?:\\.[^"\\]*+)*+")',
    re.DOTALL,
)
"""A string that is long or has escapes, with all before it that is neither."""


def most_bytes(budget: budgets.Budget) -> int:
    """Return how many bytes the values of one text may take in a node."""
    return round(SHARE * budget.max_bytes)


def json_bytes(text: bytes) -> int:
    """Return how many bytes a JSON text takes at most, with its values."""
    marks = _marks(text)
    if ONE_BYTES // VALUE_BYTES < marks <= MAX_MARKS:
        marks -= _marks_in_strings(text)
    decoded = 1 if text.isascii() else WIDE_BYTES
    values = WIDE_BYTES if decoded > 1 or rb'\u' in text else 1
    return (marks + 1) * VALUE_BYTES + (decoded + values) * len(text)


def _marks(text: bytes) -> int:
    return len(text) - len(text.translate(None, _JSON_MARKS))


def _marks_in_strings(text: bytes) -> int:
    """Return how many marks are a part of long strings."""
    found = iter(_LONG_STRING.scanner(text).match, None)
    return sum(_marks(step[1]) for step in found)


def check_json(text: bytes, most: int) -> None:
    """Reject a JSON text that may take more than a number of bytes.

    Raises
    ------
    errors.MalformedError
    """
    taken = json_bytes(text)
    if taken > most:
        raise errors.MalformedError(
            f'{len(text)} bytes would take up to {taken} of {most}'
        )


async def without_large_values(
    text: bytes, depth: int, most: int
) -> tuple[bytes, list[int]]:
    """Replace each value at a depth of a JSON text that may take too much.

    It becomes ``null``. The text itself is not parsed.

    Parameters
    ----------
    text : bytes
    depth : int
        Number of brackets that are open inside of such a value.
    most : int
        Most bytes that one may take.

    Returns
    -------
    bytes
    list of int
        The size of the text of each value that was replaced, in bytes.
    """
    if _marks(text) > MAX_MARKS:
        return text, []
    kept, sizes, kept_until = [], [], 0
    async for start, end in _spans(text, depth):
        if json_bytes(text[start:end]) > most:
            kept += [text[kept_until:start], b'null']
            sizes.append(end - start)
            kept_until = end
    if not sizes:
        return text, []
    return b''.join([*kept, text[kept_until:]]), sizes


async def _spans(
    text: bytes, depth: int
) -> abc.AsyncGenerator[tuple[int, int]]:
    """Yield where the lists and maps at a depth start and end."""
    opened = start = 0
    steps = iter(_JSON_STEP.scanner(text).match, None)
    for number, found in enumerate(steps, 1):
        if number % STEPS == 0:
            await asyncio.sleep(0)
        if found[1] in b'[{':
            opened += 1
            if opened == depth:
                start = found.start(1)
            continue
        if opened == depth:
            yield start, found.end()
        opened -= 1
