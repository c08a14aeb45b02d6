"""The start of a node: callers are answered while its modules are loaded.

Most of a start is spent on imports, which take seconds beside other work. A
caller whose request nobody reads until then may have left, or has too little
time for another attempt. So the program reads requests with the few modules
that this takes, and loads the others in steps between which it reads.
"""

from __future__ import annotations

import asyncio
import importlib
import random
import typing

import attrs
import structlog

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.http import connection_limits
from pomelobend.http import message
from pomelobend.http import server as servers
from pomelobend.memory import budget as budgets
from pomelobend.platform import headers as wire
from pomelobend.routing import deadlines
from pomelobend.routing import retry_after

if typing.TYPE_CHECKING:
    from collections import abc
    import socket

    from pomelobend.platform import settings as platform_settings

    Answer = abc.Callable[[message.Request], abc.Awaitable[message.Reply]]

logger = structlog.get_logger('node')

MODULES = (
    'pomelobend.admission.cold',
    'pomelobend.admission.crashes',
    'pomelobend.admission.outcome',
    'pomelobend.admission.parents',
    'pomelobend.admission.shares',
    'pomelobend.admission.team_order',
    'pomelobend.admission.waiting',
    'pomelobend.membership.member',
    'pomelobend.membership.heartbeat',
    'pomelobend.admission.registration',
    'pomelobend.admission.reserve',
    'pomelobend.calls',
    'pomelobend.routing.call',
    'pomelobend.admission.slots',
    'pomelobend.admission.gate',
    'pomelobend.lateness',
    'pomelobend.memory.watch',
    'pomelobend.memory.budget',
    'pomelobend.memory.parsed',
    'pomelobend.peers.messages',
    'pomelobend.peers.codec',
    'pomelobend.mesh.broadcasts',
    'pomelobend.rollouts.rollout',
    'pomelobend.routing.table',
    'pomelobend.platform.decode',
    'pomelobend.platform.paths',
    'pomelobend.turns',
    'pomelobend.targets.excess',
    'pomelobend.targets.channel',
    'pomelobend.targets.channel_pool',
    'pomelobend.targets.probe',
    'pomelobend.mesh.control',
    'pomelobend.mesh.crash_reports',
    'pomelobend.mesh.remote_view',
    'pomelobend.mesh.suspects',
    'pomelobend.mesh.directory',
    'pomelobend.membership.relays',
    'pomelobend.mesh.domain_links',
    'pomelobend.mesh.domain_return',
    'pomelobend.platform.json_text',
    'pomelobend.memory.bodies',
    'pomelobend.platform.eras',
    'pomelobend.platform.objects',
    'pomelobend.mesh.listing',
    'pomelobend.platform.kinds',
    'pomelobend.mesh.feed',
    'pomelobend.routing.startup',
    'pomelobend.peers.stream',
    'pomelobend.peers.caller',
    'pomelobend.tasks',
    'pomelobend.mesh.front',
    'pomelobend.mesh.grace',
    'pomelobend.mesh.incoming',
    'pomelobend.metrics.exposition',
    'pomelobend.mesh.metrics',
    'pomelobend.mesh.node_record',
    'pomelobend.mesh.registry',
    'pomelobend.mesh.relay_role',
    'pomelobend.mesh.resumption',
    'pomelobend.rollouts.evidence',
    'pomelobend.mesh.tally_codec',
    'pomelobend.rollouts.exposure',
    'pomelobend.rollouts.load_test',
    'pomelobend.rollouts.verdict',
    'pomelobend.rollouts.plan',
    'pomelobend.mesh.store_merge',
    'pomelobend.mesh.rollout_controller',
    'aiofastnet',
    'picows',
    'pomelobend.peers.pending',
    'pomelobend.peers.link',
    'pomelobend.mesh.shutdown',
    'pomelobend.mesh.state',
    'pomelobend.mesh.store_probe',
    'pomelobend.peers.callee',
    'pomelobend.routing.subset',
    'pomelobend.mesh.target_selection',
    'pomelobend.mesh.watch',
    'pomelobend.peers.options',
    'pomelobend.peers.connection',
    'pomelobend.peers.handshake',
    'pomelobend.peers.pool',
    'pomelobend.targets.sending',
    'pomelobend.targets.client',
    'pomelobend.platform.dialect',
    'pomelobend.routing.budget',
    'pomelobend.routing.retry',
    'pomelobend.routing.sends',
    'pomelobend.routing.target_stats',
    'pomelobend.routing.delivery',
    'pomelobend.routing.run_times',
    'pomelobend.routing.placement',
    'pomelobend.routing.quarantine',
    'pomelobend.stalls',
    'pomelobend.mesh.kept_runs',
    'pomelobend.mesh.node',
)
"""Modules of a node, in an order in which each needs only those before it."""

USAGE_MODULES = (
    'pomelobend.platform.usage_api',
    'pomelobend.usage.contention',
    'pomelobend.usage.counts',
    'pomelobend.usage.duty',
    'pomelobend.usage.exchange',
    'pomelobend.usage.readiness',
    'pomelobend.usage.sender',
    'pomelobend.usage.reporter',
)
"""The same of a node that takes part in usage reports, to be loaded last."""

ROUNDS = 4
"""Rounds of the event loop between two steps. A request is accepted, read and
replied to in several."""

WAIT_SHARE = 1 / 3
"""Longest wait for the end of the start, as a share of the time of a caller.
The rest suffices for its next attempt."""


@attrs.define(eq=False)
class StartingFront:
    """Handles requests of callers until the node can.

    Parameters
    ----------
    successor : asyncio.Future
        Handler of the node, once there is one.
    refused : int
        Requests that were refused as the start took too long.
    """

    clock: clocks.Clock
    successor: asyncio.Future[Answer]
    random: random.Random = attrs.field(factory=random.Random)
    refused: int = 0

    async def answer(self, request: message.Request) -> message.Reply:
        """Pass a request on to the node, or refuse it in time."""
        began = request.began_at
        if began is None:
            began = self.clock.monotonic()
        reply_at = _reply_at(request, began)
        waits_until = began + (reply_at - began) * WAIT_SHARE
        try:
            async with asyncio.timeout(waits_until - self.clock.monotonic()):
                answer = await asyncio.shield(self.successor)
        except TimeoutError:
            return self._refuse(reply_at)
        return await answer(request)

    def _refuse(self, reply_at: float) -> message.Reply:
        """Return a refusal of a request, which has not run and never will."""
        self.refused += 1
        left_s = reply_at - self.clock.monotonic()
        seconds = retry_after.retry_after_s(0.0, left_s, self.random)
        return message.Reply(503, [wire.retry_after(seconds)])


def _reply_at(request: message.Request, began: float) -> float:
    """Return when a request must be replied to, whose route is not known.

    One that states no valid time is refused by the node; it waits for that.
    """
    try:
        requested_s = wire.deadline_s(request, deadlines.DEFAULT_S)
    except errors.MalformedError:
        requested_s = deadlines.DEFAULT_S
    return deadlines.of(began, requested_s, requested_s).reply


async def run(
    settings: platform_settings.Settings,
    sockets: dict[str, socket.socket],
    listening_since: float,
) -> None:
    """Answer callers, load the modules of the node, and run it.

    Parameters
    ----------
    settings : Settings
    sockets : dict of str to socket.socket
        The sockets of its addresses.
    listening_since : float
        Monotonic time from which on some of them have listened.
    """
    clock = clocks.SystemClock()
    front = StartingFront(clock, asyncio.get_running_loop().create_future())
    budget = budgets.Budget.of_node(settings.memory_mb * budgets.MB)
    limits = connection_limits.Limits.of_callers(
        connection_limits.descriptor_limit(), budget.max_bytes
    )
    server = servers.Server(
        settings.callers_address,
        clock,
        front.answer,
        socket=sockets[settings.callers_address],
        budget=budget,
        listening_since=listening_since,
        limiter=connection_limits.ConnectionLimiter(limits),
    )
    await server.listen()
    await load_modules(MODULES)
    if settings.usage is not None:
        await load_modules(USAGE_MODULES)
    nodes = importlib.import_module(MODULES[-1])
    node = nodes.Node.from_config(settings, server, sockets)
    front.successor.set_result(node.front.answer)
    logger.info(
        'node: modules loaded',
        after_ms=round((clock.monotonic() - listening_since) * 1000),
        refused=front.refused,
    )
    await node.run()


async def load_modules(names: abc.Iterable[str]) -> None:
    """Load modules; let the event loop serve connections between them."""
    for name in names:
        importlib.import_module(name)
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
