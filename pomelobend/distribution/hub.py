"""Distribution of configurations and members to subscribers."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.configuration import snapshot as snapshots
    from pomelobend.configuration import store as stores
    from pomelobend.distribution import relays
    from pomelobend.membership import member as members
    from pomelobend.membership import table as tables
    from pomelobend.metrics import counters as counter_module
    from pomelobend.peers import connection as connections

logger = structlog.get_logger('distribution')

FLUSH_S = 0.05
"""Time for which changes of members are batched into one message."""

RELAY_DELAY_S = 1.0
"""Delay of offers to other relays, which mostly read the platform."""

GRACE_S = 1.0
"""Time in which a disconnected node may reconnect before its removal."""


@attrs.define(eq=False)
class Subscriber:
    """A node that is fed, and what it is known to hold."""

    connection: connections.Connection
    is_relay: bool
    number: int
    documents: frozenset[str] = frozenset()
    member: members.Member | None = None


@attrs.define(eq=False)
class Hub:
    """Feeds subscribers with configurations and members.

    Any node accepts subscriptions; nodes prefer to subscribe to relays.
    """

    store: stores.Store
    table: tables.Table
    directory: relays.Directory
    clock: clocks.Clock
    counters: counter_module.Counters
    is_relay: bool = False
    subscribers: dict[connections.Connection, Subscriber] = attrs.field(
        factory=dict
    )
    attached: dict[str, members.Member] = attrs.field(factory=dict)
    pending_changes: dict[str, tuple[members.Member, bool]] = attrs.field(
        factory=dict
    )
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    flush_task: asyncio.Task | None = None

    def start(self) -> None:
        """Register for changes of the store and of the table of members."""
        self.store.listeners.append(self._offer_to_all)
        self.table.listeners.append(self._on_member_change)

    def take(
        self, connection: connections.Connection, message: messages.Message
    ) -> bool:
        """Handle a subscriber's message; return False for any other one."""
        match message:
            case messages.Subscribe():
                self._subscribe(connection, message)
            case messages.Announce():
                self._handle_announce(connection, message)
            case messages.Need():
                self._send_documents(connection, message)
            case messages.Applied():
                self._handle_applied(connection, message)
            case messages.Unsubscribe():
                self._unsubscribe(connection)
            case _:
                return False
        return True

    def attach_own(self, record: members.Member) -> None:
        """Publish the record of this node itself."""
        self.attached[record.node] = record
        self.table.update(record)

    def lost(self, connection: connections.Connection) -> None:
        """Remove a subscriber whose connection has ended.

        Its member is removed unless it reconnects within ``GRACE_S``.
        """
        subscriber = self.subscribers.pop(connection, None)
        if subscriber is not None and subscriber.member is not None:
            self._start_task(self._expire(subscriber.member))

    def publish_relays(self) -> None:
        """Tell all subscribers which nodes are relays."""
        message = self._relays_message()
        for subscriber in list(self.subscribers.values()):
            self._send(subscriber, message)

    def set_relay(self, is_relay: bool) -> None:
        """Tell all subscribers whether this node is a relay."""
        if self.is_relay != is_relay:
            self.is_relay = is_relay
            self.publish_relays()

    def applied(self) -> dict[str, int]:
        """Return the number of the configuration active on each subscriber."""
        return {
            subscriber.connection.node: subscriber.number
            for subscriber in self.subscribers.values()
        }

    def _relays_message(self) -> messages.Relays:
        return messages.Relays(self.directory.addresses, self.is_relay)

    def _subscribe(
        self,
        connection: connections.Connection,
        message: messages.Subscribe,
    ) -> None:
        subscriber = Subscriber(connection, message.is_relay, message.number)
        self.subscribers[connection] = subscriber
        self._send(subscriber, self._relays_message())
        self._send(subscriber, self._all_members_message(message.is_relay))
        if message.number < self.store.snapshot.number:
            self._offer(subscriber, self.store.snapshot)

    def _all_members_message(self, is_relay: bool) -> messages.Members:
        chosen = self.attached if is_relay else self.table.members
        records = [codec.member_to_wire(item) for item in chosen.values()]
        return messages.Members(records, [], True)

    def _handle_announce(
        self, connection: connections.Connection, message: messages.Announce
    ) -> None:
        record = codec.member_from_wire(message.member)
        if record.node != connection.node:
            raise errors.ProtocolError('a record of another node')
        subscriber = self.subscribers.get(connection)
        if subscriber is not None:
            subscriber.member = record
        self.attached[record.node] = record
        self.table.update(record)

    def _unsubscribe(self, connection: connections.Connection) -> None:
        """Remove a subscriber that another node feeds from now on.

        Its member stays in the table, as the other node reports it.
        """
        subscriber = self.subscribers.pop(connection, None)
        if subscriber is not None and subscriber.member is not None:
            self.attached.pop(subscriber.member.node, None)

    async def _expire(self, record: members.Member) -> None:
        """Remove a lost node unless it reconnects within the grace period."""
        await self.clock.sleep(GRACE_S)
        current = self.attached.get(record.node)
        if current is not None and current.order > record.order:
            return
        is_back = any(
            item.connection.node == record.node
            for item in self.subscribers.values()
        )
        if not is_back:
            self.attached.pop(record.node, None)
            self.table.remove(record.node, record.order)

    def _offer_to_all(self, snapshot: snapshots.Snapshot) -> None:
        for subscriber in list(self.subscribers.values()):
            if not subscriber.is_relay and subscriber.number < snapshot.number:
                self._offer(subscriber, snapshot)
        self._start_task(self._offer_to_relays(snapshot))

    async def _offer_to_relays(self, snapshot: snapshots.Snapshot) -> None:
        """Offer to relays that do not have it from the platform in time."""
        await self.clock.sleep(RELAY_DELAY_S)
        if snapshot is not self.store.snapshot:
            return
        for subscriber in list(self.subscribers.values()):
            if subscriber.is_relay and subscriber.number < snapshot.number:
                self._offer(subscriber, snapshot)

    def _offer(
        self, subscriber: Subscriber, snapshot: snapshots.Snapshot
    ) -> None:
        """Offer a configuration with the documents the subscriber lacks."""
        digests = frozenset(snapshot.documents)
        missing = {
            digest: snapshot.documents[digest]
            for digest in digests - subscriber.documents
        }
        subscriber.documents = digests
        self.counters.add('relay_offers')
        self._send(
            subscriber,
            messages.Offer(snapshot.manifest.without_history(), missing),
        )

    def _send_documents(
        self, connection: connections.Connection, message: messages.Need
    ) -> None:
        known = self.store.snapshot.documents
        found = {d: known[d] for d in message.digests if d in known}
        connection.send(
            messages.Offer(
                self.store.snapshot.manifest.without_history(), found
            )
        )

    def _handle_applied(
        self, connection: connections.Connection, message: messages.Applied
    ) -> None:
        subscriber = self.subscribers.get(connection)
        if subscriber is not None:
            subscriber.number = max(subscriber.number, message.number)

    def _on_member_change(
        self, record: members.Member, is_present: bool
    ) -> None:
        self.pending_changes[record.node] = (record, is_present)
        if self.flush_task is None or self.flush_task.done():
            self.flush_task = self._start_task(self._flush())

    async def _flush(self) -> None:
        await self.clock.sleep(FLUSH_S)
        changes, self.pending_changes = self.pending_changes, {}
        attached_changes = {
            node: item
            for node, item in changes.items()
            if node in self.attached or not item[1]
        }
        for_nodes, for_relays = (
            _changes_message(changes),
            _changes_message(attached_changes),
        )
        for subscriber in list(self.subscribers.values()):
            message = for_relays if subscriber.is_relay else for_nodes
            if message.records or message.ends:
                self._send(subscriber, message)

    def _send(self, subscriber: Subscriber, message: messages.Message) -> None:
        try:
            subscriber.connection.send(message)
        except errors.LinkClosedError:
            self.lost(subscriber.connection)

    def _start_task(self, coroutine: abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def _changes_message(
    changes: dict[str, tuple[members.Member, bool]],
) -> messages.Members:
    return messages.Members(
        [
            codec.member_to_wire(r)
            for r, is_present in changes.values()
            if is_present
        ],
        [
            [r.node, *r.order]
            for r, is_present in changes.values()
            if not is_present
        ],
        False,
    )
