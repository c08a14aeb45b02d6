"""How a node gets configurations and members from relays."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs
import structlog

from pomelobend.configuration import manifest as manifests
from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.configuration import snapshot as snapshots
    from pomelobend.configuration import store as stores
    from pomelobend.distribution import relays
    from pomelobend.membership import announcer as announcers
    from pomelobend.membership import table as tables
    from pomelobend.metrics import counters as counter_module
    from pomelobend.peers import connection as connections
    from pomelobend.peers import pool as pools

logger = structlog.get_logger('distribution')

EXPIRY_S = 10.0
"""Time after which members that no relay vouches for are dropped."""

RETRY_S = 0.5
"""Longest wait before a relay is tried again at first."""

RETRY_LONGEST_S = 4.0
"""Longest wait before a relay is tried again at last."""


@attrs.define(eq=False)
class Feed:
    """Keeps subscriptions to relays and takes what they send.

    A node keeps one subscription, if it can to a relay of its own failure
    domain. A relay keeps one to every other relay.
    """

    settings: config.Settings
    clock: clocks.Clock
    store: stores.Store
    table: tables.Table
    directory: relays.Directory
    pool: pools.Pool
    counters: counter_module.Counters
    announcer: announcers.Announcer
    is_relay: bool = False
    sources: dict[connections.Connection, set[str]] = attrs.field(factory=dict)
    relay_sources: set[connections.Connection] = attrs.field(factory=set)
    moved: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    random: random.Random = attrs.field(factory=random.Random)

    @property
    def has_own_relay(self) -> bool:
        """Tell whether a relay of the own failure domain feeds this node.

        A node that was a relay in an earlier life may stand in the list of
        relays without being one, so its own word counts.
        """
        return any(
            source.hello.domain == self.settings.domain
            and source in self.relay_sources
            for source in self.sources
        )

    async def run(self) -> None:
        """Keep subscriptions until cancelled."""
        delay = RETRY_S
        while True:
            self.moved.clear()
            wanted = self._wanted()
            is_fed = await self._subscribe_to(wanted)
            delay = RETRY_S if is_fed else min(delay * 2, RETRY_LONGEST_S)
            await self._wait(self.random.uniform(delay / 2, delay))

    def set_relay(self, is_relay: bool) -> None:
        """Change between the subscriptions of a node and of a relay."""
        if self.is_relay != is_relay:
            self.is_relay = is_relay
            self._leave_others('')
            self.moved.set()

    def take(
        self, connection: connections.Connection, message: messages.Message
    ) -> bool:
        """Take a message of a relay and return whether it was one."""
        match message:
            case messages.Offer():
                self._take_offer(connection, message)
            case messages.Members():
                self._take_members(connection, message)
            case messages.Relays():
                self._take_relays(connection, message)
            case _:
                return False
        return True

    def report(self, snapshot: snapshots.Snapshot) -> None:
        """Tell the relays that feed this node what is in force here."""
        for source in list(self.sources):
            source.tell(messages.Applied(snapshot.number))

    def offer(self, snapshot: snapshots.Snapshot) -> None:
        """Offer a configuration to the relays that feed this node."""
        newest = {
            ref.digest: snapshot.documents[ref.digest]
            for ref in snapshot.manifest.documents.values()
            if ref.number == snapshot.number
        }
        message = messages.Offer(snapshot.manifest.without_history(), newest)
        for source in list(self.sources):
            source.tell(message)

    def announce(self) -> None:
        """Send the own record to all relays that feed this node."""
        record = codec.member_to_wire(self.announcer.record)
        for source in list(self.sources):
            source.tell(messages.Announce(record))

    def lost(self, connection: connections.Connection) -> None:
        """Note that the connection to a relay has ended."""
        self.relay_sources.discard(connection)
        nodes = self.sources.pop(connection, None)
        if nodes is None:
            return
        self.counters.add('feed_lost')
        self.moved.set()
        task = asyncio.create_task(self._expire(nodes))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _wanted(self) -> list[str]:
        """Return addresses to subscribe to, the best first."""
        own = self.settings.listen.reached_at
        if self.is_relay:
            return self.directory.others(own)
        near = list(self.directory.addresses.get(self.settings.domain, ()))
        far = [
            address
            for address in self.directory.others(own)
            if address not in near
        ]
        seeds = list(self.settings.peers.seeds)
        known = [item.address for item in self.table.members.values()][:8]
        for group in (near, far, seeds, known):
            self.random.shuffle(group)
        unique = dict.fromkeys([*near, *far, *seeds, *known])
        unique.pop(own, None)
        return list(unique)

    async def _subscribe_to(self, wanted: list[str]) -> bool:
        if self.is_relay:
            results = await asyncio.gather(*map(self._subscribe, wanted))
            return all(results)
        if self.has_own_relay and self._is_listed():
            return True
        for address in wanted:
            if await self._subscribe(address):
                self._leave_others(address)
                return True
        return bool(self.sources)

    def _is_listed(self) -> bool:
        """Tell whether the relay that feeds this node is still a relay."""
        near = self.directory.addresses.get(self.settings.domain, ())
        return not near or any(
            source.hello.address in near for source in self.sources
        )

    async def _subscribe(self, address: str) -> bool:
        if any(source.hello.address == address for source in self.sources):
            return True
        try:
            connection = await self.pool.get(address)
            self._begin(connection)
        except errors.PeerError as error:
            logger.debug(
                'distribution: relay not reached',
                address=address,
                why=str(error),
            )
            return False
        return True

    def _begin(self, connection: connections.Connection) -> None:
        self.sources[connection] = set()
        connection.send(
            messages.Subscribe(self.store.snapshot.number, self.is_relay)
        )
        record = self.announcer.renew()
        connection.send(messages.Announce(codec.member_to_wire(record)))

    def _leave_others(self, address: str) -> None:
        for source in list(self.sources):
            if source.hello.address != address:
                del self.sources[source]
                source.tell(messages.Unsubscribe())

    def _take_offer(
        self, connection: connections.Connection, offer: messages.Offer
    ) -> None:
        try:
            manifest = manifests.Manifest.from_value(offer.manifest)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.ProtocolError(f'Offer: {error!r}') from error
        missing = self.store.missing(manifest) - offer.documents.keys()
        if manifest.number > self.store.snapshot.number and missing:
            connection.send(messages.Need(sorted(missing)))
            return
        try:
            self.store.apply(manifest, offer.documents)
        except errors.PomelobendError as error:
            logger.warning('distribution: bad offer', why=str(error))

    def _take_members(
        self, connection: connections.Connection, news: messages.Members
    ) -> None:
        records = [codec.member_from_wire(item) for item in news.records]
        ends = [codec.end_from_wire(item) for item in news.ends]
        known = self.sources.get(connection)
        for record in records:
            if record.node != self.settings.node:
                self.table.update(record)
                if known is not None:
                    known.add(record.node)
        for node, order in ends:
            if node != self.settings.node:
                self.table.remove(node, order)
                if known is not None:
                    known.discard(node)
            elif order >= self.announcer.record.order:
                self.announcer.refute(order)
                self.announce()

    def _take_relays(
        self, connection: connections.Connection, message: messages.Relays
    ) -> None:
        if not all(messages.is_texts(v) for v in message.addresses.values()):
            raise errors.ProtocolError('Relays: wrong addresses')
        if message.is_relay:
            self.relay_sources.add(connection)
        else:
            self.relay_sources.discard(connection)
        if self.is_relay:
            return
        self.directory.addresses = dict(message.addresses)
        if not self._is_listed():
            self.moved.set()

    async def _expire(self, nodes: set[str]) -> None:
        """Drop members that no other relay has vouched for by now."""
        orders = {
            node: self.table.members[node].order
            for node in nodes
            if node in self.table.members
        }
        await self.clock.sleep(EXPIRY_S)
        if not self.sources and not self.is_relay:
            return
        vouched = set().union(*self.sources.values())
        for node, order in orders.items():
            if node not in vouched:
                self.table.remove(node, order)

    async def _wait(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self.moved.wait(), seconds)
        except TimeoutError:
            pass
