"""Kinds of values that a settings file or a document may hold."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc


@attrs.frozen
class Text:
    """A string, either free, out of a set of choices, or of a pattern."""

    choices: tuple[str, ...] = ()
    pattern: str = ''
    longest: int = 4096


@attrs.frozen
class Whole:
    """A whole number within bounds."""

    lowest: int = 0
    highest: int = 2**53


@attrs.frozen
class Ratio:
    """A number within bounds."""

    lowest: float = 0.0
    highest: float = 1.0


@attrs.frozen
class Flag:
    """True or false."""


@attrs.frozen
class Duration:
    """A number of milliseconds, read as a timedelta."""

    lowest_ms: int = 0
    highest_ms: int = 86_400_000


@attrs.frozen
class Moment:
    """A point in time in ISO 8601 with its offset."""


@attrs.frozen
class Address:
    """An IP number and a port, as ``ip:port``."""


@attrs.frozen
class Items:
    """A list whose items are of one kind."""

    kind: object
    longest: int = 10_000


@attrs.frozen
class Table:
    """An object that is read into an attrs class."""

    cls: type


NAME = Text(pattern=r'[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?')


def option(
    kind: object,
    doc: str,
    *,
    default: object = attrs.NOTHING,
    factory: abc.Callable[[], object] | None = None,
    unit: str = '',
) -> typing.Any:
    """Declare one value of a settings or document class.

    Parameters
    ----------
    kind : object
        One of the kinds of this module.
    doc : str
    default : object
    factory : callable or None
    unit : str
        Unit of the value as it is written.
    """
    metadata = {'kind': kind, 'doc': doc, 'unit': unit}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)
