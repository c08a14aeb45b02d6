"""The processes of a soak, and what was done to them and when."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp
import attrs

from soak import clients
from soak import deployments
from soak import node_process
from soak import proxy as proxies
from standins import fleet
from standins import mesh

START_S = 60.0
EVERYWHERE = '*'
STORE = 'store'


@attrs.frozen
class Event:
    """Something that was done to the VM of a name, or to all (``*``)."""

    kind: str
    vm: str
    began: float
    ended: float
    detail: str = ''


@attrs.define(eq=False)
class World(mesh.Mesh):
    """A mesh whose disturbances are recorded.

    Parameters
    ----------
    held, replaced, stopping, starting : set of str
        VMs whose node, or whose target, is being disturbed, and those whose
        node has got SIGTERM and not ended, or was started and is not known
        to be ready.
    out : set of str
        VMs that get no new requests, since their nodes are not ready.
    idle_timeout_ms : int
        Idle limit that callers may rely on.
    configured_idle_ms : int
        Idle limit of the last configuration, which may not be in force yet.
    lags : list of tuple
        Unix times between which the soak itself was held up.
    crowds : list of Request
        Requests that were sent as part of a disturbance.
    starts : list of tuple
        Name of the VM and Unix time of each start of a node.
    reports : list of tuple
        Name of the VM and last report of each target that has ended.
    peaks_kb : dict of str to int
        Most memory that nodes have used, by VM, if that is watched.
    excesses : list of tuple
        Name of the VM and memory in KiB of each node that used too much.
    killed : set of Process
        Those nodes, which were killed.
    """

    slots: int = 40
    deployment: deployments.Deployment = deployments.TWO_SERVICES
    random: random.Random = attrs.field(factory=random.Random)
    version: int = 2
    idle_timeout_ms: int = 4000
    configured_idle_ms: int = 4000
    held: set[str] = attrs.field(factory=set)
    replaced: set[str] = attrs.field(factory=set)
    out: set[str] = attrs.field(factory=set)
    lags: list[tuple[float, float]] = attrs.field(factory=list)
    crowds: list[clients.Request] = attrs.field(factory=list)
    stopping: set[str] = attrs.field(factory=set)
    starting: set[str] = attrs.field(factory=set)
    events: list[Event] = attrs.field(factory=list)
    starts: list[tuple[str, float]] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    reports: list[tuple[str, dict]] = attrs.field(factory=list)
    peaks_kb: dict[str, int] = attrs.field(factory=dict)
    excesses: list[tuple[str, int]] = attrs.field(factory=list)
    killed: set[fleet.Process] = attrs.field(factory=set)
    side_address: str = ''
    proxies: dict[str, proxies.Proxy] = attrs.field(factory=dict)

    async def start(self, count: int, *, has_proxies: bool) -> None:
        """Start everything and wait until calls are answered.

        Raises
        ------
        ValueError
            If there are too few VMs for all services.
        """
        missing = self.deployment.missing(count)
        if missing:
            raise ValueError(f'{count} VMs: none for {sorted(missing)}')
        self.slots = self.deployment.slots
        self.heartbeat_ms = self.deployment.heartbeat_ms
        self.targets_drop = bool(self.deployment.kinds)
        await self.start_store()
        await self._put_store_proxy()
        await self.write('config', 'main', self.next_document())
        for number in range(count):
            domain, service = self.deployment.place(number)
            self.add_vm(f'{domain}-{number}', domain, service)
        if has_proxies:
            for name in self.vms:
                await self._put_proxy(name)
        for path in self.deployment.paths:
            await self.wait_until_serving(self.vms, path, START_S)
        self.starting.clear()

    async def _put_store_proxy(self) -> None:
        """Let some nodes reach the store through a proxy."""
        (port,) = fleet.free_ports(1)
        proxy = self.proxies[STORE] = proxies.Proxy(self.store_address)
        self.side_address = f'127.0.0.1:{port}'
        await proxy.listen(self.side_address)

    def start_node(self, name: str, **environment: str) -> None:
        """Start the node of a VM; every third one has the store's proxy."""
        number = list(self.vms).index(name)
        if number % 3 == 0:
            self.vms[name].store_address = self.side_address
        self.starting.add(name)
        self.starts.append((name, time.time()))
        super().start_node(name, **environment)

    def start_target(self, name: str) -> None:
        """Start the target of a VM as its deployment has it."""
        number = list(self.vms).index(name)
        options = self.deployment.targets.options(number)
        self.vms[name].target_options = options
        super().start_target(name)

    async def _put_proxy(self, name: str) -> None:
        """Start a node again, with a proxy before its ``inbound``."""
        vm = self.vms[name]
        vm.node.signal(9)
        await vm.node.wait(5)
        (port,) = fleet.free_ports(1)
        self.proxies[name] = proxies.Proxy(f'127.0.0.1:{port}')
        await self.proxies[name].listen(vm.addresses['inbound'])
        vm.module = node_process.__name__
        vm.environment = node_process.environment(
            vm.addresses['inbound'], self.proxies[name].address
        )
        self.start_node(name)

    def next_document(self, **limits: int) -> dict:
        """Return the next configuration, with some values changed."""
        self.version += self.random.randint(1, 3)
        document = self.deployment.document(self.version, self.random)
        idle = {'idle_timeout_ms': self.configured_idle_ms}
        document['limits'] |= idle | limits
        self.configured_idle_ms = document['limits']['idle_timeout_ms']
        self.idle_timeout_ms = min(
            self.idle_timeout_ms, self.configured_idle_ms
        )
        return document

    def note_applied(self, version: int) -> None:
        """Let callers rely on a configuration unless a newer one was sent."""
        if version == self.version:
            self.idle_timeout_ms = self.configured_idle_ms

    async def sleep(self, low_s: float, high_s: float) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.random.uniform(low_s, high_s))

    def domain_of(self, name: str) -> list[str]:
        """Return the VMs of a failure domain that get new requests."""
        names = self.all_of(name)
        ready = [n for n in names if n not in self.out]
        return ready if 2 * len(ready) >= len(names) else names

    def all_of(self, name: str) -> list[str]:
        """Return the VMs of a failure domain."""
        return [n for n, vm in self.vms.items() if vm.domain == name]

    @property
    def running(self) -> list[str]:
        """Return the VMs whose nodes neither stop nor start, or else all."""
        busy = self.stopping | self.starting
        return sorted(set(self.vms) - busy) or sorted(self.vms)

    def note(self, kind: str, vm: str, began: float, detail: str = '') -> None:
        """Record what was done from a moment until now."""
        self.events.append(Event(kind, vm, began, time.time(), detail))

    def lag_s(self, began: float, ended: float) -> float:
        """Return for how long the soak was held up between two moments."""
        return sum(
            max(0.0, min(ended, last) - max(began, first))
            for first, last in self.lags
        )

    def may_take(self, name: str, least: int = 0) -> bool:
        """Return whether its service has another VM that is left alone.

        ``least`` replaces the usual number of VMs that are left alone.
        """
        service = self.vms[name].service
        free = {n for n, vm in self.vms.items() if vm.service == service}
        free -= self.held | self.replaced | {name}
        return len(free) >= (least or max(1, len(self.vms) // 6))

    def pick(self) -> str:
        """Hold and return a VM, or '' if its service would have no other."""
        name = self.random.choice(sorted(self.vms))
        if name in self.held or not self.may_take(name):
            return ''
        self.held.add(name)
        return name

    async def is_ready(self, name: str) -> bool:
        """Return whether a node says that it is ready."""
        url = f'http://{self.vms[name].addresses["ready"]}/ready'
        try:
            async with (
                asyncio.timeout(1),
                self.processes.http.get(url) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def keep_report(self, name: str) -> None:
        """Keep the report of the target of a VM."""

        async def has_come() -> bool:
            report = await self.report(name)
            if report is not None:
                self.reports.append((name, report))
            return report is not None

        await self.processes.wait_until(has_come, START_S)

    async def end_target(self, name: str) -> None:
        """Keep the last report of a target, and kill it."""
        await self.keep_report(name)
        target = self.vms[name].target
        target.signal(9)
        await target.wait(5)
