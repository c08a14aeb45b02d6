"""The node: the application object that wires the parts."""

from __future__ import annotations

import asyncio
import gc
import signal
import typing

import attrs
import structlog

from pomelobend.admin import api as admin_api
from pomelobend.admin import limits as admin_limits
from pomelobend.admin import tokens
from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.metrics import exposition as expositions
from pomelobend.peers import messages
from pomelobend import wiring

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import config
    from pomelobend.configuration import snapshot as snapshots
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

    base: wiring.Base
    platform: wiring.Platform
    path: wiring.CallPath
    distribution: wiring.Distribution
    exposition: expositions.Exposition
    api: admin_api.Api = attrs.field(init=False)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    @classmethod
    def from_config(
        cls, settings: config.Settings, clock: clocks.Clock | None = None
    ) -> Node:
        """Build a node; call it inside the event loop."""
        base = wiring.Base.from_config(settings, clock or clocks.SystemClock())
        platform = wiring.Platform.from_base(base)
        node = cls(
            base,
            platform,
            wiring.CallPath.from_base(base, platform),
            wiring.Distribution.from_base(base, platform),
            expositions.Exposition(base.counters),
        )
        node.api = admin_api.Api(
            node,
            tokens.Tokens(settings.teams),
            admin_limits.Rates(base.clock),
        )
        node._connect()
        return node

    @property
    def settings(self) -> config.Settings:
        """Return the settings of this node."""
        return self.base.settings

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
        await self.base.pool.listen()
        await self.api.listen()
        await self.path.front.listen()
        for work in (
            self.distribution.feed.run,
            self.distribution.duty.run,
            self.path.local.watch,
        ):
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
        self.path.local.drain()
        self.base.pool.say_goodbye()
        await self.base.clock.sleep(LEAVE_S)
        self.path.front.stop_listening()
        await self._wait_until_idle()
        self.path.front.close()
        self.api.close()
        for task in list(self.tasks):
            task.cancel()
        self.distribution.duty.lay_down()
        await self.base.pool.close()
        await self.path.guard.runner.ledger.close()
        self.path.guard.client.close()
        await self.platform.session.close()
        logger.info('node: stopped', in_flight=self.in_flight)

    @property
    def in_flight(self) -> int:
        """Return the calls that this node takes part in."""
        serving = sum(len(c.serving) for c in self.base.pool.all())
        return self.path.front.in_flight + serving

    def not_ready(self) -> list[str]:
        """Return what keeps the node from taking calls."""
        reasons = {
            'configuration': self.base.store.snapshot.number == 0,
            'stopping': self.path.local.is_stopping,
        }
        return [name for name, holds in reasons.items() if holds]

    def status(self) -> dict[str, typing.Any]:
        """Return what this node knows of itself and of others."""
        number = self.base.store.snapshot.number
        attached = self.distribution.hub.applied()
        return {
            'node': self.settings.node,
            'domain': self.settings.domain,
            'number': number,
            'ready': not self.not_ready(),
            'is_relay': self.distribution.feed.is_relay,
            'fed_by': [
                source.node for source in self.distribution.feed.sources
            ],
            'relays': self.distribution.hub.directory.addresses,
            'in_flight': self.in_flight,
            'withdrawn': sorted(self.base.store.snapshot.withdrawn),
            'attached': attached,
            'lagging': sorted(n for n, a in attached.items() if a < number),
            'limit': self.path.guard.limiter.current,
            'members': [
                attrs.asdict(item)
                for _, item in sorted(self.base.table.members.items())
            ],
        }

    async def serve(
        self,
        connection: connections.Connection,
        start: messages.CallStart,
        stream: streams.Stream,
    ) -> None:
        """Answer a call of another node."""
        await self.path.callee.serve(connection, start, stream)

    def control(
        self, connection: connections.Connection, message: messages.Message
    ) -> None:
        """Hand a message that belongs to no call to its part.

        Raises
        ------
        errors.ProtocolError
            No part takes such a message.
        """
        if self.distribution.feed.take(connection, message):
            return
        if self.distribution.hub.take(connection, message):
            return
        if type(message) is messages.Invite:
            self.distribution.duty.invite(message.slot)
            return
        raise errors.ProtocolError(f'{type(message).__name__} not expected')

    def _connect(self) -> None:
        """Let parts hear of each other's changes."""
        self.base.pool.handler = self
        self.base.pool.on_close += [
            self.distribution.hub.lost,
            self.distribution.feed.lost,
        ]
        self.distribution.hub.start()
        self.platform.changes.listeners.append(self._take_accepted)
        self.base.store.listeners.append(self.distribution.feed.report)
        self.base.announcer.listeners += [self.distribution.hub.attach_own]
        self.base.announcer.on_change.append(
            lambda _: self.distribution.feed.announce()
        )
        self.base.table.listeners.append(self.path.dispatcher.chooser.forget)
        self.exposition.gauges.update(
            configuration_number=lambda: self.base.store.snapshot.number,
            configurations_refused=lambda: self.base.store.refused,
            configurations_stale=lambda: self.base.store.stale,
            calls_in_flight=lambda: self.in_flight,
            target_limit=lambda: self.path.guard.limiter.current,
            target_running=lambda: self.path.guard.running,
            members=lambda: len(self.base.table.members),
            connections=lambda: len(self.base.pool.all()),
            peer_bytes_sent=lambda: self.base.pool.traffic.sent,
            peer_bytes_received=lambda: self.base.pool.traffic.received,
            is_relay=lambda: int(self.distribution.feed.is_relay),
        )
        self.distribution.hub.attach_own(self.base.announcer.record)

    def _take_accepted(self, built: snapshots.Snapshot) -> None:
        """Put in force and pass on what was accepted through this node.

        The platform may go away before any relay has heard of it.
        """
        self.base.store.apply(built.manifest, built.documents)
        self.distribution.feed.offer(built)

    async def _wait_until_idle(self) -> None:
        longest = self.settings.stop_timeout.total_seconds()
        end = self.base.clock.monotonic() + longest
        while self.in_flight and self.base.clock.monotonic() < end:
            await self.base.clock.sleep(0.02)

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
            await self.base.clock.sleep(RESTART_S)
