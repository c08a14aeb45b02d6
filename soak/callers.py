"""Clients of a failure domain that behave as the users' platform says.

They send the kinds of a deployment to nodes that are ready, keep connections
for some kinds, and retry within the deadline on new connections.
"""

from __future__ import annotations

import asyncio
import time
import typing

import attrs

from soak import clients
from soak import unread

if typing.TYPE_CHECKING:
    import random

    from soak import deployments
    from soak import world as worlds

ATTEMPTS = 2
CONNECT_S = 1.0
UNREAD_S = 1.0
PATIENCE_S = 0.0
"""Callers leave at their deadline."""
PAUSE_S = 0.7
PROMISES = (503, 429, 408, 421)
FINAL = (400, 401, 404, 413, 431)
IDLE_SHARE = 0.8
LEAST_S = 0.03
"""Time below which no attempt is begun."""


@attrs.define(eq=False)
class Connection:
    """A connection to the node of a VM."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float = 0.0
    count: int = 0


@attrs.define(eq=False)
class Caller:
    """A client of a failure domain.

    Parameters
    ----------
    kept : dict
        Idle connections by VM, shared by the callers of a domain.
    leave_share : float
        Share of the requests that it gives up early.
    stay_share : float
        Share of the requests that go to nodes that stop, on connections that
        are open; with it nodes that are not ready are not left.
    start_share : float
        Share of the requests that go to nodes that start, or to any node if
        none does, on new connections too.
    prefix : str
        Beginning of its attempt ids.
    """

    world: worlds.World
    domain: str
    number: int
    rng: random.Random
    kept: dict[str, list[Connection]]
    leave_share: float = 0.0
    stay_share: float = 0.0
    start_share: float = 0.0
    prefix: str = ''
    requests: list[clients.Request] = attrs.field(factory=list)

    async def run(self, until: asyncio.Event) -> None:
        """Send requests until told to end."""
        kinds = [kind for kind in self.world.deployment.kinds if kind.share]
        shares = [kind.share for kind in kinds]
        while not until.is_set():
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
            (kind,) = self.rng.choices(kinds, shares)
            await self.ask(kind, self.choose())

    def choose(self) -> str:
        """Return the VM to whose node a request goes."""
        names = self.world.all_of(self.domain)
        if self.start_share and self.rng.random() < self.start_share:
            starting = [name for name in names if name in self.world.starting]
            return self.rng.choice(starting or names)
        if self.stay_share:
            stopping = [name for name in names if name in self.world.stopping]
            if stopping and self.rng.random() < self.stay_share:
                names = stopping
            vm = self.rng.choice(names)
            if self._has_open(vm):
                return vm
        return self.rng.choice(self.world.domain_of(self.domain))

    def _has_open(self, vm: str) -> bool:
        """Return whether it has an open connection to the node of a VM."""
        idle = self.kept.get(vm, ())
        return any(not item.reader.at_eof() for item in idle)

    async def ask(self, kind: deployments.Kind, vm: str) -> None:
        """Send a request, and once more if it may and need be."""
        expires = time.time() + kind.deadline_s
        for attempt in range(ATTEMPTS):
            left_s = expires - time.time()
            if left_s < LEAST_S:
                return
            request = self._request(kind, vm, left_s)
            self.requests.append(request)
            await self._send(request, is_first=not attempt)
            if request.has_left or not _may_retry(request):
                return
            left_s = max(0.0, expires - time.time())
            await asyncio.sleep(min(request.retry_after_s, left_s / 3))
            names = self.world.domain_of(self.domain)
            vm = vm if vm in names else self.rng.choice(names)

    def _request(
        self, kind: deployments.Kind, vm: str, left_s: float
    ) -> clients.Request:
        rng = self.rng
        nested = kind.nested
        has_nested = nested is not None and rng.random() < nested.share
        return clients.Request(
            f'{self.prefix}{self.number}-{len(self.requests)}',
            vm,
            kind.method,
            f'/{kind.route}/a',
            kind.draw_work_s(rng),
            round(left_s, 3),
            round(kind.bytes_down * rng.uniform(0.3, 2)),
            round(kind.bytes_up * rng.uniform(0.3, 2)),
            has_nested,
            is_kept=kind.is_kept,
            route_limit_s=kind.route_limit_s,
            headers=nested.headers() if has_nested else (),
        )

    async def _send(self, request: clients.Request, *, is_first: bool) -> None:
        """Send a request on a kept connection, or else on a new one."""
        request.sent_at = request.ended_at = time.time()
        connection = None
        if request.is_kept and is_first:
            connection = self._take_kept(request)
        try:
            connection = connection or await self._connect(request.vm)
        except (OSError, TimeoutError) as error:
            request.error = f'not connected: {type(error).__name__}'
            request.ended_at = time.time()
            return
        is_kept = await self._exchange(request, connection)
        if is_kept and request.is_kept:
            connection.used_at, connection.count = time.time(), request.place
            connection.count += 1
            self.kept.setdefault(request.vm, []).append(connection)
        else:
            connection.writer.transport.abort()

    def _take_kept(self, request: clients.Request) -> Connection | None:
        """Return a connection that has not been idle for too long."""
        limit_s = IDLE_SHARE * self.world.idle_timeout_ms / 1000
        idle = self.kept.get(request.vm, [])
        while idle:
            connection = idle.pop(self.rng.randrange(len(idle)))
            request.idle_s = time.time() - connection.used_at
            if request.idle_s < limit_s and not connection.reader.at_eof():
                request.place = connection.count
                return connection
            connection.writer.transport.abort()
        request.idle_s = 0.0
        return None

    async def _connect(self, vm: str) -> Connection:
        address = self.world.vms[vm].addresses['outbound']
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(CONNECT_S):
            return Connection(*await asyncio.open_connection(host, int(port)))

    async def _exchange(
        self, request: clients.Request, connection: Connection
    ) -> bool:
        leaving = asyncio.create_task(self._leave(request, connection))
        try:
            return await clients.exchange(
                request, connection.reader, connection.writer, PATIENCE_S
            )
        finally:
            leaving.cancel()

    async def _leave(
        self, request: clients.Request, connection: Connection
    ) -> None:
        """Leave early, or if an idempotent request is not read in time."""
        if self.rng.random() < self.leave_share:
            await asyncio.sleep(self.rng.uniform(0, request.work_s * 1.5))
            request.has_left = True
        elif request.method == 'GET':
            await asyncio.sleep(min(UNREAD_S, request.deadline_s / 3))
            if not unread.has_unread(connection.writer):
                return
            request.error = clients.UNREAD
        else:
            return
        connection.writer.transport.abort()


def _may_retry(request: clients.Request) -> bool:
    """Return whether a client sends a request once more."""
    if request.status == 200 or request.status in FINAL:
        return False
    return request.method == 'GET' or request.status in PROMISES


async def watch(world: worlds.World, vm: str, until: asyncio.Event) -> None:
    """Take the VM of a node out that has missed two readiness checks."""
    misses = 0
    while not until.is_set():
        misses = 0 if await world.is_ready(vm) else misses + 1
        if misses >= 2:
            world.out.add(vm)
        else:
            world.out.discard(vm)
        await asyncio.sleep(1)
