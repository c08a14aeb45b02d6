"""The processes of a soak, and what was done to them and when."""

from __future__ import annotations

import asyncio
import datetime
import json
import os
import random
import time
import typing

import aiohttp
import attrs

from soak import proxy as proxies
from standins import fleet
from standins import mesh

SLOTS = 40
START_S = 30.0
ROUTE_TIMEOUT_MS = 8000
IDLE_TIMEOUT_MS = 4000
DOMAINS = ('vik', 'hella')
EVERYWHERE = '*'


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
    held, replaced : set of str
        VMs whose node, or whose target, is being disturbed.
    reports : list of tuple
        Name of the VM and last report of each target that has ended.
    """

    random: random.Random = attrs.field(factory=random.Random)
    has_proxies: bool = False
    version: int = 2
    idle_timeout_ms: int = IDLE_TIMEOUT_MS
    held: set[str] = attrs.field(factory=set)
    replaced: set[str] = attrs.field(factory=set)
    events: list[Event] = attrs.field(factory=list)
    exits: list[tuple[str, int]] = attrs.field(factory=list)
    reports: list[tuple[str, dict]] = attrs.field(factory=list)
    proxies: dict[str, proxies.Proxy] = attrs.field(factory=dict)

    async def sleep(self, low_s: float, high_s: float) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.random.uniform(low_s, high_s))

    def start_node(self, name: str) -> None:
        """Start the node of a VM, behind its proxy if there is one."""
        if name not in self.proxies:
            super().start_node(name)
            return
        vm = self.vms[name]
        path = self.processes.folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(vm)))
        port = vm.addresses['metrics'].rpartition(':')[2]
        environment = {
            'POMELOBEND_CONFIG': str(path),
            'POMELOBEND_METRICS_PORT': port,
            'SOAK_INBOUND': self.proxies[name].address,
        }
        vm.node = self.processes.start(
            name, '-m', 'soak.node_process', env=os.environ | environment
        )

    def start_target(self, name: str) -> None:
        """Start the target of a VM with room for many requests."""
        vm = self.vms[name]
        vm.starts += 1
        values = {
            'target': f'i-{name}-{vm.starts}',
            'service': vm.service,
            'version': vm.version,
            'domain': vm.domain,
            'control': vm.addresses['control'],
            'port': vm.addresses['app'].rpartition(':')[2],
            'outbound': vm.addresses['outbound'],
            'slots': str(SLOTS),
        }
        options = [x for k, v in values.items() for x in (f'--{k}', v)]
        vm.target = self.processes.start(
            f'{name}-target', '-m', 'standins.backend', *options
        )

    async def start(self, count: int) -> None:
        """Start everything and wait until calls are answered."""
        await self.start_store()
        await self.write('config', 'main', self.next_document())
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            service = ('tonabok', 'steypudagar')[number // 2 % 2]
            self.add_vm(f'{domain}-{number}', domain, service)
        if self.has_proxies:
            await self._put_proxies()
        for path in ('/lookup/a', '/booking/a'):
            await self.wait_until_serving(self.vms, path, START_S)

    async def _put_proxies(self) -> None:
        """Start the nodes again, each behind a proxy."""
        for name, vm in self.vms.items():
            vm.node.signal(9)
            await vm.node.wait(5)
            (port,) = fleet.free_ports(1)
            self.proxies[name] = proxies.Proxy(f'127.0.0.1:{port}')
            await self.proxies[name].listen(vm.addresses['inbound'])
            self.start_node(name)

    def next_document(self, **limits: int) -> dict:
        """Return the next configuration, with some values changed."""
        self.version += self.random.randint(1, 3)
        weight = self.random.randint(1, 4)
        lookup = [
            {'service': 'tonabok', 'weight': 4},
            {'service': 'steypudagar', 'weight': weight},
        ]
        document = mesh.configuration(self.version, lookup)
        for rule in document['listeners'][0]['rules']:
            rule['action']['timeout_ms'] = ROUTE_TIMEOUT_MS
        document['limits']['idle_timeout_ms'] = self.idle_timeout_ms
        document['limits'] |= limits
        return document

    def note(self, kind: str, vm: str, began: float, detail: str = '') -> None:
        """Record what was done from a moment until now."""
        self.events.append(Event(kind, vm, began, time.time(), detail))

    def pick(self) -> str:
        """Hold and return a VM, or '' if its service would have no other."""
        name = self.random.choice(sorted(self.vms))
        service = self.vms[name].service
        free = [
            other
            for other, vm in self.vms.items()
            if vm.service == service and other not in self.held
        ]
        if name not in free or len(free) <= len(self.vms) // 6:
            return ''
        self.held.add(name)
        return name

    async def is_ready(self, name: str) -> bool:
        """Return whether a node says that it is ready."""
        url = f'http://{self.vms[name].addresses["ready"]}/ready'
        try:
            async with self.processes.http.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def end_target(self, name: str) -> None:
        """Keep the last report of a target, and kill it."""
        self.reports.append((name, await self.report(name) or {}))
        target = self.vms[name].target
        target.signal(9)
        await target.wait(5)

    async def all_reports(self) -> list[tuple[str, dict]]:
        """Return the reports of all targets, also of those that ended."""
        names = list(self.vms)
        found = await asyncio.gather(*(self.report(name) for name in names))
        last = [(n, r or {}) for n, r in zip(names, found, strict=True)]
        return self.reports + last

    def log_lines(self) -> typing.Iterator[tuple[str, float, str]]:
        """Yield the name of the VM, the Unix time and the text of lines."""
        for name in self.vms:
            path = self.processes.folder / f'{name}.log'
            for line in path.read_text(errors='replace').splitlines():
                yield name, line_time(line), line


def line_time(line: str) -> float:
    """Return the Unix time of a line of a node's log, or 0."""
    try:
        stamp = json.loads(line)['timestamp']
    except (ValueError, KeyError, TypeError):
        return 0.0
    return datetime.datetime.fromisoformat(stamp).timestamp()
