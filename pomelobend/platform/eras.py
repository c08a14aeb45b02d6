"""Eras of the store, and positions in it.

The store begins a new era each time it is restored from an older copy. It
then gives out revisions again, so revisions of different eras cannot be
compared.
"""

from __future__ import annotations

import typing

import attrs
import structlog

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import calls

logger = structlog.get_logger('store')

HEADER = 'store-era'

MAX_DIGITS = 15
"""Longest number that is taken for an era."""


@attrs.frozen(order=True)
class Position:
    """A revision of the store in an era; ordered by the era first."""

    era: int
    revision: int


@attrs.define(eq=False)
class StoreEra:
    """The newest era of the store that this node has learned of.

    Parameters
    ----------
    current : int or None
        None until the node has learned of any.
    on_newer : list of callable
        Called with a newer era after the first one, whether the store or
        another node has told of it.
    """

    current: int | None = None
    on_newer: list[abc.Callable[[int], None]] = attrs.field(factory=list)

    @property
    def number(self) -> int:
        """Return the newest era; 0 if none is known."""
        return self.current or 0

    def observe(self, era: int, source: str) -> None:
        """Note an era that the store or another node has told of."""
        if self.current is None:
            self.current = era
            return
        if era <= self.current:
            return
        logger.warning(
            'store: newer era, an older copy was restored',
            before=self.current,
            era=era,
            source=source,
        )
        self.current = era
        for listener in self.on_newer:
            listener(era)


def from_headers(headers: calls.Headers) -> int:
    """Return the era of a response; 0 if it has none or an invalid one."""
    text = next((v for n, v in headers if n == HEADER), '').strip()
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else 0
