"""JSON of the platform, which may hold values of other writers.

A value that cannot be used is read as ``None``, so that the rest of the text
can be read: numbers that are out of range, and values that are nested deeper
than any value of the platform.
"""

from __future__ import annotations

import json
import re
import typing

MAX_DEPTH = 64
"""Deepest nesting of a value."""

MAX_NUMBER_DIGITS = 40
"""Longest number. Revisions and times in ms have less than 20 digits."""

_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def loads(text: bytes) -> typing.Any:
    """Parse a JSON text.

    Raises
    ------
    ValueError
        The text is not JSON.
    """
    try:
        value = _parse(text)
    except RecursionError:
        value = _parse(_without_deep_values(text))
    return value


def is_usable(value: object) -> bool:
    """Return whether a parsed value can be passed on to other nodes.

    Its nesting must be limited, and its texts must be valid Unicode.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        if not all(map(_is_valid_text, level)):
            return False
        level = [child for item in level for child in _children(item)]
        if not level:
            return True
    return False


def _parse(text: bytes) -> typing.Any:
    return json.loads(
        text,
        parse_int=_parse_int,
        parse_float=_parse_float,
        parse_constant=lambda _: None,
    )


def _parse_int(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_NUMBER_DIGITS else None


def _parse_float(digits: str) -> float | None:
    number = float(digits)
    return number if abs(number) != float('inf') else None


def _without_deep_values(text: bytes) -> bytes:
    """Replace each value that is nested too deeply by ``null``."""
    kept = []
    kept_until = depth = 0
    for token in _TOKENS.finditer(text):
        if token[0] in b'[{':
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[kept_until : token.start()])
        elif token[0] in b']}':
            if depth == MAX_DEPTH + 1:
                kept.append(b'null')
                kept_until = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError('a value does not end')
    return b''.join([*kept, text[kept_until:]])


def _is_valid_text(value: object) -> bool:
    if not isinstance(value, str):
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _children(value: object) -> typing.Iterable[object]:
    if isinstance(value, dict):
        return [*value, *value.values()]
    return value if isinstance(value, list) else ()
