"""The duty of a relay: taken up, kept and laid down."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs
import structlog

from pomelobend.distribution import relays
from pomelobend import errors
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.distribution import feed as feeds
    from pomelobend.distribution import hub as hubs
    from pomelobend.distribution import lease as leases
    from pomelobend.distribution import watcher as watchers
    from pomelobend.metrics import counters as counter_module
    from pomelobend.platform import queries as platform_queries

logger = structlog.get_logger('distribution')


@attrs.define(eq=False)
class Duty:
    """Decides whether this node is a relay and acts as one.

    A node without a relay of its own failure domain looks for a vacant
    lease. A relay that sees another lease of its domain lapse invites one
    of the nodes that it feeds, so that not all of them ask the platform.
    """

    settings: config.Settings
    clock: clocks.Clock
    keeper: leases.Keeper
    directory: relays.Directory
    hub: hubs.Hub
    feed: feeds.Feed
    watcher: watchers.Watcher
    platform: platform_queries.Queries
    counters: counter_module.Counters
    random: random.Random = attrs.field(factory=random.Random)
    invited: asyncio.Event = attrs.field(factory=asyncio.Event)
    watching: asyncio.Task | None = None

    async def run(self) -> None:
        """Hold the duty whenever it is vacant, until cancelled."""
        jitter_s = self.settings.relay.boot_jitter.total_seconds()
        await self.clock.sleep(self.random.uniform(0, jitter_s))
        await self._reclaim()
        while True:
            if self.keeper.held is None:
                await self._seek()
            else:
                await self._keep()

    def invite(self, slot: int) -> None:
        """Look for a vacant lease soon, as a relay has asked."""
        logger.debug('distribution: invited', slot=slot)
        self.invited.set()

    async def _reclaim(self) -> None:
        """Take up the lease that an earlier life of this node held."""
        await self._survey()
        for lease in self.directory.leases:
            if lease.node == self.settings.node:
                await self._take(lease.slot)

    async def _seek(self) -> None:
        """Take a vacant lease if this node is not fed by a near relay."""
        period = self.keeper.duration_s / 2
        if not self.feed.has_own_relay or self.invited.is_set():
            vacant = await self._survey()
            for slot in vacant:
                if await self._take(slot):
                    return
        self.invited.clear()
        pause = self.random.uniform(period / 4, period)
        try:
            await asyncio.wait_for(self.invited.wait(), pause)
        except TimeoutError:
            pass

    async def _keep(self) -> None:
        """Renew the lease once and look after the other leases."""
        await self.clock.sleep(self.keeper.duration_s / 3)
        try:
            await self.keeper.renew()
        except errors.PlatformError as error:
            logger.warning('distribution: lease not renewed', why=str(error))
        if self.keeper.held is None:
            self.lay_down()
            return
        vacant = await self._survey()
        if vacant:
            self._invite_one(vacant[0])

    async def _take(self, slot: int) -> bool:
        try:
            is_taken = await self.keeper.take(slot)
        except errors.PlatformError:
            return False
        if is_taken:
            self.counters.add('lease_changes', 'taken')
            self.feed.set_relay(True)
            self.hub.set_relay(True)
            self.watching = asyncio.create_task(self.watcher.run())
            await self._survey()
        return is_taken

    def lay_down(self) -> None:
        """Act as a relay no longer."""
        if self.watching is None:
            return
        self.counters.add('lease_changes', 'lost')
        self.feed.set_relay(False)
        self.hub.set_relay(False)
        self.watching.cancel()
        self.watching = None

    async def _survey(self) -> list[int]:
        """Read all leases; return the vacant slots of the own domain."""
        try:
            stored = await self.platform.list(relays.KIND)
        except errors.PlatformError:
            return []
        found = [relays.Lease.from_object(item) for item in stored]
        before = self.directory.addresses
        self.directory.update(found)
        if self.directory.addresses != before:
            self.feed.moved.set()
            self.hub.publish_relays()
        return self.keeper.observe(found)

    def _invite_one(self, slot: int) -> None:
        near = [
            item.connection
            for item in self.hub.subscribers.values()
            if not item.is_relay
            and item.connection.hello.domain == self.settings.domain
            and not item.connection.is_closed
        ]
        if near:
            self.random.choice(near).send(messages.Invite(slot))
