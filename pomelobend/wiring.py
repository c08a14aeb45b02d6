"""Building of the parts of a node, in groups that depend on each other."""

from __future__ import annotations

import time
import typing

import attrs

from pomelobend.admission import guard as guards
from pomelobend.admission import limiter as limiters
from pomelobend.callers import front as fronts
from pomelobend.claims import ledger as ledgers
from pomelobend.claims import runner as runners
from pomelobend.configuration import commands as configuration_commands
from pomelobend.configuration import queries as configuration_queries
from pomelobend.configuration import store as stores
from pomelobend.distribution import duty as duties
from pomelobend.distribution import feed as feeds
from pomelobend.distribution import hub as hubs
from pomelobend.distribution import lease as leases
from pomelobend.distribution import relays
from pomelobend.distribution import watcher as watchers
from pomelobend.membership import announcer as announcers
from pomelobend.membership import member as members
from pomelobend.membership import table as tables
from pomelobend.metrics import counters as counter_module
from pomelobend.peers import callee as callees
from pomelobend.peers import caller as peer_callers
from pomelobend.peers import messages
from pomelobend.peers import pool as pools
from pomelobend.storage import commands as platform_commands
from pomelobend.storage import queries as platform_queries
from pomelobend.storage import session as platform_sessions
from pomelobend.routing import choice
from pomelobend.routing import dispatcher as dispatchers
from pomelobend.targets import client as target_clients
from pomelobend.targets import local as local_targets

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend import config


@attrs.frozen(eq=False)
class Base:
    """What all other parts of a node rest on."""

    settings: config.Settings
    clock: clocks.Clock
    counters: counter_module.Counters
    store: stores.Store
    table: tables.Table
    announcer: announcers.Announcer
    pool: pools.Pool

    @classmethod
    def from_config(
        cls, settings: config.Settings, clock: clocks.Clock
    ) -> Base:
        """Build the base of a node that starts now."""
        counters = counter_module.Counters()
        hello = messages.Hello(
            messages.PROTOCOL,
            settings.node,
            time.time_ns(),
            settings.domain,
            settings.listen.reached_at,
        )
        record = members.Member(
            hello.node, hello.incarnation, 0, hello.domain, hello.address
        )
        return cls(
            settings,
            clock,
            counters,
            stores.Store(),
            tables.Table(),
            announcers.Announcer(record),
            pools.Pool(settings, clock, hello, counters),
        )


@attrs.frozen(eq=False)
class Platform:
    """Access to the platform and to the accepted configuration in it."""

    session: platform_sessions.Session
    reads: platform_queries.Queries
    writes: platform_commands.Commands
    accepted: configuration_queries.Queries
    changes: configuration_commands.Commands

    @classmethod
    def from_base(cls, base: Base) -> Platform:
        """Build the access of a node to the platform."""
        session = platform_sessions.Session.from_config(base.settings.platform)
        reads = platform_queries.Queries(session)
        writes = platform_commands.Commands(session)
        accepted = configuration_queries.Queries(reads)
        changes = configuration_commands.Commands(writes, accepted, base.clock)
        return cls(session, reads, writes, accepted, changes)


@attrs.frozen(eq=False)
class CallPath:
    """The way of a call through a node."""

    guard: guards.Guard
    local: local_targets.LocalTarget
    callee: callees.Callee
    dispatcher: dispatchers.Dispatcher
    front: fronts.Front

    @classmethod
    def from_base(cls, base: Base, platform: Platform) -> CallPath:
        """Build the way of a call."""
        settings, clock = base.settings, base.clock
        guard = _guard(base, platform)
        dispatcher = dispatchers.Dispatcher(
            settings.node,
            base.store,
            choice.Chooser(settings.node, settings.domain, base.table, clock),
            guard,
            peer_callers.Caller(base.pool, clock),
            clock,
            base.counters,
        )
        return cls(
            guard,
            local_targets.LocalTarget(
                settings.target, clock, guard, base.announcer
            ),
            callees.Callee(
                guard, callees.RouteLookup(base.store, guard, clock).build
            ),
            dispatcher,
            fronts.Front(
                settings, clock, base.store, dispatcher, base.counters
            ),
        )


def _guard(base: Base, platform: Platform) -> guards.Guard:
    """Build what lets calls through to the local target."""
    settings, clock = base.settings, base.clock
    slow_start_s = settings.target.slow_start.total_seconds()
    client = target_clients.Client.from_config(settings.limits, clock)
    ledger = ledgers.Ledger(
        platform.reads, platform.writes, clock, base.counters
    )
    return guards.Guard(
        settings.target,
        clock,
        limiters.Limiter(clock, slow_start_s),
        client,
        runners.Runner(client, ledger),
        base.counters,
    )


@attrs.frozen(eq=False)
class Distribution:
    """How configurations and members reach a node and go on from it."""

    hub: hubs.Hub
    feed: feeds.Feed
    duty: duties.Duty

    @classmethod
    def from_base(cls, base: Base, platform: Platform) -> Distribution:
        """Build the part of a node in distribution."""
        settings, clock, store = base.settings, base.clock, base.store
        directory = relays.Directory()
        hub = hubs.Hub(store, base.table, directory, clock, base.counters)
        feed = feeds.Feed(
            settings,
            clock,
            store,
            base.table,
            directory,
            base.pool,
            base.counters,
            base.announcer,
        )
        keeper = leases.Keeper(
            settings,
            base.announcer.record.incarnation,
            clock,
            platform.reads,
            platform.writes,
        )
        watcher = watchers.Watcher(
            store, platform.reads, platform.accepted, clock
        )
        duty = duties.Duty(
            settings,
            clock,
            keeper,
            directory,
            hub,
            feed,
            watcher,
            platform.reads,
            base.counters,
        )
        return cls(hub, feed, duty)
