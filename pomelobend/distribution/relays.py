"""Which nodes are relays, as the platform's lease objects say."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.platform import queries as platform_queries

KIND = 'relay'


@attrs.frozen
class Lease:
    """A relay lease as its object holds it."""

    domain: str
    slot: int
    node: str
    address: str
    incarnation: int
    version: int

    @classmethod
    def from_object(cls, stored: platform_queries.StoredObject) -> Lease:
        """Build a lease from its object in the platform."""
        domain, _, slot = stored.name.rpartition('.')
        return cls(
            domain,
            int(slot),
            stored.value['node'],
            stored.value['address'],
            stored.value['incarnation'],
            stored.version,
        )

    @property
    def name(self) -> str:
        """Return the name of the object in the platform."""
        return object_name(self.domain, self.slot)

    def to_value(self) -> dict[str, typing.Any]:
        """Return the plain form that the platform holds."""
        return {
            'node': self.node,
            'address': self.address,
            'incarnation': self.incarnation,
        }


@attrs.define
class Directory:
    """Addresses of relays by failure domain, as last heard."""

    addresses: dict[str, list[str]] = attrs.field(factory=dict)
    leases: list[Lease] = attrs.field(factory=list)

    def update(self, leases: abc.Iterable[Lease]) -> None:
        """Take up the leases that the platform holds."""
        found: dict[str, list[str]] = {}
        self.leases = list(leases)
        for lease in self.leases:
            found.setdefault(lease.domain, []).append(lease.address)
        self.addresses = found

    def others(self, own: str) -> list[str]:
        """Return the addresses of all relays but one's own."""
        return [
            address
            for group in self.addresses.values()
            for address in group
            if address != own
        ]


def object_name(domain: str, slot: int) -> str:
    """Return the name of a lease object."""
    return f'{domain}.{slot}'
