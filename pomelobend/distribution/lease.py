"""Taking and keeping a relay lease, fenced by the object's version."""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.distribution import relays
from pomelobend import errors
from pomelobend.platform import commands as platform_commands

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.platform import queries as platform_queries

logger = structlog.get_logger('distribution')

RENEWALS = 3
"""Renewals within the time for which a lease holds."""


@attrs.define
class Keeper:
    """Holds at most one relay lease of the failure domain of this node.

    A lease lapses for others when its object has not changed for the whole
    time of a lease by their own monotonic clock, so no two wall clocks are
    compared. The holder counts from before its last renewal was sent, so it
    stops earlier than anyone else may start.
    """

    settings: config.Settings
    incarnation: int
    clock: clocks.Clock
    queries: platform_queries.Queries
    commands: platform_commands.Commands
    held: relays.Lease | None = None
    valid_until: float = 0.0
    seen: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def is_held(self) -> bool:
        """Tell whether the lease is held and has not lapsed."""
        return (
            self.held is not None and self.clock.monotonic() < self.valid_until
        )

    @property
    def duration_s(self) -> float:
        """Return for how many seconds a lease holds."""
        return self.settings.relay.lease.total_seconds()

    def observe(self, leases: list[relays.Lease]) -> list[int]:
        """Note the versions of leases and return the vacant slots."""
        now = self.clock.monotonic()
        own = {
            lease.slot: lease
            for lease in leases
            if lease.domain == self.settings.domain
        }
        return [
            slot
            for slot in range(self.settings.relay.slots)
            if slot not in own or self._is_lapsed(own[slot], now)
        ]

    async def take(self, slot: int) -> bool:
        """Take a vacant slot and return whether it is held now.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        if self.held is not None or not self.settings.relay.is_eligible:
            return self.is_held
        name = relays.object_name(self.settings.domain, slot)
        version = await self._vacant_version(name)
        if version is None:
            return False
        lease = relays.Lease(
            self.settings.domain,
            slot,
            self.settings.node,
            self.settings.listen.reached_at,
            self.incarnation,
            version,
        )
        return await self._write(lease)

    async def renew(self) -> bool:
        """Renew the lease and return whether it is still held.

        Raises
        ------
        errors.PlatformUnavailableError
            The lease goes on until it lapses.
        """
        if self.held is None:
            return False
        return await self._write(self.held)

    def drop(self) -> None:
        """Stop holding the lease."""
        if self.held is not None:
            logger.info('distribution: relay lease lost', slot=self.held.slot)
        self.held = None

    async def _vacant_version(self, name: str) -> int | None:
        try:
            stored = await self.queries.get(relays.KIND, name)
        except errors.PlatformNotFoundError:
            return platform_commands.ABSENT
        lease = relays.Lease.from_object(stored)
        now = self.clock.monotonic()
        is_own_past = lease.node == self.settings.node
        if is_own_past or self._is_lapsed(lease, now):
            return stored.version
        return None

    def _is_lapsed(self, lease: relays.Lease, now: float) -> bool:
        version, since = self.seen.get(lease.name, (-1, now))
        if version != lease.version:
            self.seen[lease.name] = (lease.version, now)
            return False
        return now - since > self.duration_s

    async def _write(self, lease: relays.Lease) -> bool:
        sent_at = self.clock.monotonic()
        try:
            version = await self.commands.put(
                relays.KIND, lease.name, lease.to_value(), lease.version
            )
        except errors.PlatformConflictError:
            self.drop()
            return False
        except errors.PlatformOutcomeUnknownError:
            return await self._read_back(lease, sent_at)
        self._hold(attrs.evolve(lease, version=version), sent_at)
        return True

    async def _read_back(self, lease: relays.Lease, sent_at: float) -> bool:
        """Settle a write whose answer was lost."""
        stored = await self.queries.get(relays.KIND, lease.name)
        current = relays.Lease.from_object(stored)
        if current.to_value() != lease.to_value():
            self.drop()
            return False
        if current.version != lease.version:
            self._hold(current, sent_at)
        return self.is_held

    def _hold(self, lease: relays.Lease, sent_at: float) -> None:
        if self.held is None:
            logger.info('distribution: relay lease taken', slot=lease.slot)
        self.held = lease
        self.valid_until = sent_at + self.duration_s
