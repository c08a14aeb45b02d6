"""Limits on the connections of a server, and which of them give way.

Each connection takes a descriptor and memory. The limits leave descriptors for
what the node itself opens: connections to its target, the store and other
nodes, and those accepted at its other ports.
"""

from __future__ import annotations

import collections
import resource
import typing

import attrs
import structlog

from pomelobend.memory import budget as budgets
from pomelobend.memory import eviction
from pomelobend import sockets

if typing.TYPE_CHECKING:
    from pomelobend.http import connection as connections

logger = structlog.get_logger('http')

CALLERS_SHARE = 5 / 8
"""Share of the descriptors of the process that callers may use: 640 of the
usual 1024, where some hundred callers keep a connection each."""

LEAST_CALLERS = 16

MESSAGES_SHARE = 1 / 32
"""Share that each of the ports for messages to the node may use. The target,
the platform and a collector use a few connections each."""

LEAST_MESSAGES = 4
MOST_MESSAGES = 64

ADDRESS_SHARE = 7 / 8
"""Share of the connections of a port that one address may have. All callers
of a VM may come from one address."""

MEMORY_SHARE = 1 / 4
"""Share of the budget for bytes that the connections of callers may use."""

BATCH_SHARE = 1 / 32
"""Share of the connections that are dropped at a time, so that the choice
costs each new connection little."""


@attrs.frozen
class Limits:
    """Most connections of a server, in all and of one address."""

    total: int
    per_address: int

    @classmethod
    def of_callers(cls, descriptors: int, budget_bytes: int) -> Limits:
        """Return the limits of the port for callers.

        Parameters
        ----------
        descriptors : int
            Descriptors that the process may have.
        budget_bytes : int
            Bytes that the node may hold for others.
        """
        memory = MEMORY_SHARE * budget_bytes // budgets.CONNECTION_BYTES
        total = min(CALLERS_SHARE * descriptors, memory)
        return cls._of_total(max(LEAST_CALLERS, int(total)))

    @classmethod
    def of_messages(cls, descriptors: int) -> Limits:
        """Return the limits of a port for messages to the node itself."""
        total = min(MOST_MESSAGES, int(MESSAGES_SHARE * descriptors))
        return cls._of_total(max(LEAST_MESSAGES, total))

    @classmethod
    def _of_total(cls, total: int) -> Limits:
        return cls(total, int(ADDRESS_SHARE * total))


def descriptor_limit() -> int:
    """Return how many descriptors this process may have."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2**31 if limit == resource.RLIM_INFINITY else limit


@attrs.define(eq=False)
class Crowd:
    """The connections of a server, within its limits.

    Parameters
    ----------
    limits : Limits or None
        None for no limits.
    """

    limits: Limits | None = None
    by_address: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def add(
        self,
        connection: connections.Connection,
        others: set[connections.Connection],
    ) -> bool:
        """Count a new connection; return whether there is room for it.

        Connections on which no request runs and no reply is due are dropped
        for it, those that have been incomplete the longest first.
        """
        self.by_address[connection.address] += 1
        if self.limits is None:
            return True
        if self._excess(connection):
            self._drop_some(connection, others)
        return not self._excess(connection)

    def remove(self, connection: connections.Connection) -> None:
        """Note that a connection has ended, or is about to."""
        if not connection.is_counted:
            return
        connection.is_counted = False
        self.by_address[connection.address] -= 1
        if not self.by_address[connection.address]:
            del self.by_address[connection.address]

    def _excess(self, connection: connections.Connection) -> bool:
        return (
            self.by_address.total() > self.limits.total
            or self.by_address[connection.address] > self.limits.per_address
        )

    def _drop_some(
        self,
        connection: connections.Connection,
        others: set[connections.Connection],
    ) -> None:
        """Drop connections, of the same address if that has too many."""
        is_address_full = (
            self.by_address[connection.address] > self.limits.per_address
        )
        candidates = [
            eviction.Candidate(other, stage, other.stage_since)
            for other in others
            if other is not connection
            and (not is_address_full or other.address == connection.address)
            and (stage := other.stage) is not None
        ]
        left = max(1, int(BATCH_SHARE * self.limits.total))
        for other in eviction.connections_to_drop(candidates):
            if not left:
                break
            if sockets.has_input(other.transport):
                continue
            left -= 1
            other.give_way()
        logger.warning(
            'http: too many connections',
            address=connection.server.address,
            connections=self.by_address.total(),
            most=self.limits.total,
            most_of_address=self.limits.per_address,
            candidates=len(candidates),
        )
