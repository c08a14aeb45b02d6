"""The members that a node knows, newest record of each."""

from __future__ import annotations

import typing

import attrs


if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.membership import member as member_module

TOMBSTONES = 8192
"""Ended lives that are remembered, so that late news cannot revive them."""


@attrs.define
class Table:
    """Members by node and by service.

    A record replaces another of the same node only if it is newer. A node
    that is gone leaves the order of its last record behind.
    """

    members: dict[str, member_module.Member] = attrs.field(factory=dict)
    services: dict[str, dict[str, member_module.Member]] = attrs.field(
        factory=dict
    )
    gone: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    listeners: list[abc.Callable[[member_module.Member, bool], None]] = (
        attrs.field(factory=list)
    )

    def update(self, record: member_module.Member) -> bool:
        """Take up a record and return whether it was news."""
        known = self.members.get(record.node)
        if known is not None and known.order >= record.order:
            return False
        if self.gone.get(record.node, (0, 0)) >= record.order:
            return False
        self.gone.pop(record.node, None)
        self._unlink(known)
        self.members[record.node] = record
        if record.service:
            self.services.setdefault(record.service, {})[record.node] = record
        self._notify(record, True)
        return True

    def remove(self, node: str, order: tuple[int, int]) -> bool:
        """Drop a member whose record is not newer than an order."""
        known = self.members.get(node)
        if known is None or known.order > order:
            return False
        del self.members[node]
        self._unlink(known)
        self.gone[node] = max(order, self.gone.pop(node, (0, 0)))
        while len(self.gone) > TOMBSTONES:
            del self.gone[next(iter(self.gone))]
        self._notify(known, False)
        return True

    def of_service(self, service: str) -> abc.Collection[member_module.Member]:
        """Return the members whose target belongs to a service."""
        return self.services.get(service, {}).values()

    def _unlink(self, known: member_module.Member | None) -> None:
        if known is not None and known.service:
            group = self.services[known.service]
            del group[known.node]
            if not group:
                del self.services[known.service]

    def _notify(self, record: member_module.Member, is_present: bool) -> None:
        for listener in self.listeners:
            listener(record, is_present)
