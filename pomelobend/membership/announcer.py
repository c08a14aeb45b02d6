"""The record of this node, renewed whenever it has to count as news."""

from __future__ import annotations

import typing

import attrs

from pomelobend.membership import member as members

if typing.TYPE_CHECKING:
    from collections import abc


@attrs.define
class Announcer:
    """Holds the record of this node.

    Parameters
    ----------
    record : members.Member
    listeners : list of callable
        Called with every new record.
    on_change : list of callable
        Called only where the record says something else than before.
    """

    record: members.Member
    listeners: list[abc.Callable[[members.Member], None]] = attrs.field(
        factory=list
    )
    on_change: list[abc.Callable[[members.Member], None]] = attrs.field(
        factory=list
    )

    def change(self, **values: typing.Any) -> None:
        """Announce other values of the record, if they are other values."""
        if any(getattr(self.record, k) != v for k, v in values.items()):
            self.record = attrs.evolve(self.record, **values)
            record = self.renew()
            for listener in self.on_change:
                listener(record)

    def renew(self) -> members.Member:
        """Give the record a new sequence number and return it."""
        self.record = attrs.evolve(
            self.record, sequence=self.record.sequence + 1
        )
        self._notify()
        return self.record

    def refute(self, order: tuple[int, int]) -> None:
        """Make the record newer than news of this node's end."""
        incarnation, sequence = max(order, self.record.order)
        self.record = attrs.evolve(
            self.record, incarnation=incarnation, sequence=sequence + 1
        )
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener(self.record)
