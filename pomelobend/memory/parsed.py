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

CBOR_BYTE_BYTES = 160
"""Most bytes that a byte of CBOR stands for: 112 in maps of maps, 150 in the
texts that cbor2 parses as mails."""

TAG_BYTES = 640
"""Most bytes that a tag stands for which no node sends, beside its value."""

_BYTES, _TEXT, _TAG = 2, 3, 6
_FIRST_LONG, _LAST_LONG = 24, 27

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


def cbor_bytes(data: bytes, most: int) -> int:
    """Return how many bytes CBOR takes at most, with its values.

    The heads of all values are read, unless the data are so short that they
    don't matter. What is above ``most`` is not looked at further.
    """
    taken = len(data) * CBOR_BYTE_BYTES
    if taken <= most:
        return taken
    taken, position, end = len(data), 0, len(data)
    while position < end and taken <= most:
        head = data[position]
        taken += _CBOR_COSTS[head]
        step = _CBOR_STEPS[head]
        if not step:
            position, size = _long_string(data, position)
            taken += size
        position += step
    return taken


def check_cbor(data: bytes, most: int) -> None:
    """Reject CBOR that may take more than a number of bytes.

    Raises
    ------
    errors.MessageTooLargeError
    """
    taken = cbor_bytes(data, most)
    if taken > most:
        raise errors.MessageTooLargeError(
            f'{len(data)} bytes would take over {most}'
        )


def _long_string(data: bytes, position: int) -> tuple[int, int]:
    """Return the end of a string with a length, and what it takes."""
    start = position + 1 + (1 << (data[position] & 3))
    length = int.from_bytes(data[position + 1 : start])
    is_text = data[position] >> 5 == _TEXT
    wide = is_text and not data[start : start + length].isascii()
    return start + length, length * (WIDE_BYTES if wide else 1)


def _cbor_step(head: int) -> int:
    """Return the size of a head with its string, or 0 for a long string."""
    major, info = head >> 5, head & 31
    if major in (_BYTES, _TEXT):
        if info < _FIRST_LONG:
            return 1 + info
        if info <= _LAST_LONG:
            return 0
    if _FIRST_LONG <= info <= _LAST_LONG:
        return 1 + (1 << (info & 3))
    return 1


def _cbor_cost(head: int) -> int:
    """Return what a value takes by its head, without a long string."""
    major, info = head >> 5, head & 31
    if major == _TAG and info >= _FIRST_LONG:
        return TAG_BYTES
    if major == _TEXT and info < _FIRST_LONG:
        return VALUE_BYTES + info * WIDE_BYTES
    return VALUE_BYTES


_CBOR_STEPS = [_cbor_step(head) for head in range(256)]
_CBOR_COSTS = [_cbor_cost(head) for head in range(256)]
