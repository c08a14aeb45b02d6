"""The node: the application object that wires the parts."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
import typing

import attrs
import structlog

from pomelobend.admin import api as admin_api
from pomelobend.admin import limits as admin_limits
from pomelobend.admin import tokens
from pomelobend.admission import guard as guards
from pomelobend.admission import limiter as limiters
from pomelobend.callers import front as fronts
from pomelobend.claims import ledger as ledgers
from pomelobend.claims import runner as runners
from pomelobend import clock as clocks
from pomelobend.configuration import commands as configuration_commands
from pomelobend.configuration import queries as configuration_queries
from pomelobend.configuration import store as stores
from pomelobend.distribution import duty as duties
from pomelobend.distribution import feed as feeds
from pomelobend.distribution import hub as hubs
from pomelobend.distribution import lease as leases
from pomelobend.distribution import relays
from pomelobend.distribution import watcher as watchers
from pomelobend import errors
from pomelobend.membership import announcer as announcers
from pomelobend.membership import member as members
from pomelobend.membership import table as tables
from pomelobend.metrics import counters as counter_module
from pomelobend.metrics import exposition as expositions
from pomelobend.peers import callee as callees
from pomelobend.peers import caller as peer_callers
from pomelobend.peers import messages
from pomelobend.peers import pool as pools
from pomelobend.platform import commands as platform_commands
from pomelobend.platform import queries as platform_queries
from pomelobend.platform import session as platform_sessions
from pomelobend.routing import choice
from pomelobend.routing import dispatcher as dispatchers
from pomelobend.targets import client as target_clients
from pomelobend.targets import local as local_targets

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import config
    from pomelobend.peers import connection as connections
    from pomelobend.peers import stream as streams

logger = structlog.get_logger('node')

RESTART_S = 1.0
"""Pause before a lasting task that has failed is run again."""

LEAVE_S = 1.0
"""Time for the news that a node is leaving to reach the others."""


@attrs.define(eq=False)
class Node:
    """One node with all its parts."""

    settings: config.Settings
    clock: clocks.Clock
    counters: counter_module.Counters
    exposition: expositions.Exposition
    store: stores.Store
    table: tables.Table
    announcer: announcers.Announcer
    session: platform_sessions.Session
    configuration_queries: configuration_queries.Queries
    configuration_commands: configuration_commands.Commands
    guard: guards.Guard
    local: local_targets.LocalTarget
    pool: pools.Pool
    hub: hubs.Hub
    feed: feeds.Feed
    duty: duties.Duty
    callee: callees.Callee
    front: fronts.Front
    api: admin_api.Api = attrs.field(init=False)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    @classmethod
    def from_config(
        cls, settings: config.Settings, clock: clocks.Clock | None = None
    ) -> Node:
        """Build a node; call it inside the event loop."""
        clock = clock or clocks.SystemClock()
        counters = counter_module.Counters()
        incarnation = time.time_ns()
        record = members.Member(
            settings.node,
            incarnation,
            0,
            settings.domain,
            settings.listen.reached_at,
        )
        announcer = announcers.Announcer(record)
        store, table = stores.Store(), tables.Table()
        session = platform_sessions.Session.from_config(settings.platform)
        reads = platform_queries.Queries(session)
        writes = platform_commands.Commands(session)
        accepted = configuration_queries.Queries(reads)
        client = target_clients.Client.from_config(settings.limits, clock)
        ledger = ledgers.Ledger(reads, writes, clock, counters)
        guard = guards.Guard(
            settings.target,
            clock,
            limiters.Limiter(
                clock, settings.target.slow_start.total_seconds()
            ),
            client,
            runners.Runner(client, ledger),
            counters,
        )
        hello = messages.Hello(
            messages.PROTOCOL,
            settings.node,
            incarnation,
            settings.domain,
            settings.listen.reached_at,
        )
        pool = pools.Pool(settings, clock, hello, counters)
        directory = relays.Directory()
        hub = hubs.Hub(store, table, directory, clock, counters)
        feed = feeds.Feed(
            settings,
            clock,
            store,
            table,
            directory,
            pool,
            counters,
            announcer,
        )
        duty = duties.Duty(
            settings,
            clock,
            leases.Keeper(settings, incarnation, clock, reads, writes),
            directory,
            hub,
            feed,
            watchers.Watcher(store, reads, accepted, clock),
            reads,
            counters,
        )
        dispatcher = dispatchers.Dispatcher(
            settings.node,
            store,
            choice.Chooser(settings.node, settings.domain, table, clock),
            guard,
            peer_callers.Caller(pool, clock),
            clock,
            counters,
        )
        node = cls(
            settings,
            clock,
            counters,
            expositions.Exposition(counters),
            store,
            table,
            announcer,
            session,
            accepted,
            configuration_commands.Commands(writes, accepted, clock),
            guard,
            local_targets.LocalTarget(
                settings.target, clock, guard, announcer
            ),
            pool,
            hub,
            feed,
            duty,
            callees.Callee(store, guard, clock),
            fronts.Front(settings, clock, store, dispatcher, counters),
        )
        node.api = admin_api.Api(
            node, tokens.Tokens(settings.teams), admin_limits.Rates(clock)
        )
        node._connect(dispatcher)
        return node

    async def run(self) -> None:
        """Serve until asked to stop, then stop gracefully."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.start()
        await stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen and begin all lasting tasks."""
        await self.pool.listen()
        await self.api.listen()
        await self.front.listen()
        for work in (self.feed.run, self.duty.run, self.local.watch):
            self._run(work)
        gc.collect()
        gc.freeze()
        logger.info(
            'node: started',
            node=self.settings.node,
            domain=self.settings.domain,
        )

    async def stop(self) -> None:
        """Take no new work, finish what is in flight, and end."""
        logger.info('node: stopping', in_flight=self.in_flight)
        self.local.drain()
        self.pool.say_goodbye()
        await self.clock.sleep(LEAVE_S)
        self.front.stop_listening()
        await self._wait_until_idle()
        self.front.close()
        self.api.close()
        for task in list(self.tasks):
            task.cancel()
        self.duty.lay_down()
        await self.pool.close()
        await self.guard.runner.ledger.close()
        self.guard.client.close()
        await self.session.close()
        logger.info('node: stopped', in_flight=self.in_flight)

    @property
    def in_flight(self) -> int:
        """Return the calls that this node takes part in."""
        serving = sum(len(c.serving) for c in self.pool.all())
        return self.front.in_flight + serving

    def not_ready(self) -> list[str]:
        """Return what keeps the node from taking calls."""
        reasons = {
            'configuration': self.store.snapshot.number == 0,
            'stopping': self.local.is_stopping,
        }
        return [name for name, holds in reasons.items() if holds]

    def status(self) -> dict[str, typing.Any]:
        """Return what this node knows of itself and of others."""
        number = self.store.snapshot.number
        attached = self.hub.applied()
        return {
            'node': self.settings.node,
            'domain': self.settings.domain,
            'number': number,
            'ready': not self.not_ready(),
            'is_relay': self.feed.is_relay,
            'fed_by': [source.node for source in self.feed.sources],
            'relays': self.hub.directory.addresses,
            'in_flight': self.in_flight,
            'withdrawn': sorted(self.store.snapshot.withdrawn),
            'attached': attached,
            'lagging': sorted(n for n, a in attached.items() if a < number),
            'limit': self.guard.limiter.current,
            'members': [
                attrs.asdict(item)
                for _, item in sorted(self.table.members.items())
            ],
        }

    async def serve(
        self,
        connection: connections.Connection,
        start: messages.CallStart,
        stream: streams.Stream,
    ) -> None:
        """Answer a call of another node."""
        await self.callee.serve(connection, start, stream)

    def control(
        self, connection: connections.Connection, message: messages.Message
    ) -> None:
        """Hand a message that belongs to no call to its part.

        Raises
        ------
        errors.ProtocolError
            No part takes such a message.
        """
        if self.feed.take(connection, message):
            return
        if self.hub.take(connection, message):
            return
        if type(message) is messages.Invite:
            self.duty.invite(message.slot)
            return
        raise errors.ProtocolError(f'{type(message).__name__} not expected')

    def _connect(self, dispatcher: dispatchers.Dispatcher) -> None:
        """Let parts hear of each other's changes."""
        self.pool.handler = self
        self.pool.on_close += [self.hub.lost, self.feed.lost]
        self.hub.start()
        self.store.listeners.append(self.feed.report)
        self.announcer.listeners += [self.hub.attach_own]
        self.announcer.on_change.append(lambda _: self.feed.announce())
        self.table.listeners.append(dispatcher.chooser.forget)
        self.exposition.gauges.update(
            configuration_number=lambda: self.store.snapshot.number,
            configurations_refused=lambda: self.store.refused,
            configurations_stale=lambda: self.store.stale,
            calls_in_flight=lambda: self.in_flight,
            target_limit=lambda: self.guard.limiter.current,
            target_running=lambda: self.guard.running,
            members=lambda: len(self.table.members),
            connections=lambda: len(self.pool.all()),
            peer_bytes_sent=lambda: self.pool.traffic.sent,
            peer_bytes_received=lambda: self.pool.traffic.received,
            is_relay=lambda: int(self.feed.is_relay),
        )
        self.hub.attach_own(self.announcer.record)

    async def _wait_until_idle(self) -> None:
        longest = self.settings.stop_timeout.total_seconds()
        end = self.clock.monotonic() + longest
        while self.in_flight and self.clock.monotonic() < end:
            await self.clock.sleep(0.02)

    def _run(self, work: abc.Callable[[], abc.Coroutine]) -> None:
        task = asyncio.create_task(self._supervise(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _supervise(self, work: abc.Callable[[], abc.Coroutine]) -> None:
        """Run a lasting task, again after a failure nobody foresaw."""
        while True:
            try:
                await work()
            except Exception:
                logger.exception('node: task failed')
            await self.clock.sleep(RESTART_S)
