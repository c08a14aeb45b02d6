"""Steps for usage reports of nodes that run in simulated time."""

from __future__ import annotations

import asyncio
import collections
import datetime
import itertools
import json
import random
import types
import typing

import async_solipsism
import attrs
import behave

from benchmarks.model import clock as loop_clocks
from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.platform import eras as era_module
from pomelobend.platform import objects
from pomelobend.platform import settings as platform_settings
from pomelobend.platform import usage_api
from pomelobend.usage import duty as duties
from pomelobend.usage import reporter as reporters
from tests.steps import simulated_mesh

WINDOW_S = 5.0
LATEST_S = 10.0
EPOCH_S = 1_767_225_600.0
SETTLE_S = 16.0
CALLS_PER_S = 60
TEAMS = ('pulo780', 'pulo780', 'pulo780', 'samlag')
DOMAINS = 3
STORE_S = 0.02
API_S = 0.03
TIMEOUT_S = 1.5
SETTINGS = platform_settings.UsageReporting(
    '127.0.0.1:1',
    50.0,
    datetime.timedelta(seconds=3),
    datetime.timedelta(seconds=WINDOW_S),
    datetime.timedelta(seconds=LATEST_S),
)


class Clock(loop_clocks.LoopClock):
    """A clock whose time of the day may be off."""

    off_s = 0.0

    def now(self) -> datetime.datetime:
        """Return the time of the day of this clock."""
        at = EPOCH_S + self.monotonic() + self.off_s
        return datetime.datetime.fromtimestamp(at, datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait in simulated time."""
        await asyncio.sleep(seconds)


@attrs.define(eq=False)
class Platform:
    """The store and the usage API, as all nodes see them."""

    revision: int = 1
    item: objects.StoredObject | None = None
    store_calls: int = 0
    reports: list[dict] = attrs.field(factory=list)
    cut_from_store: set[str] = attrs.field(factory=set)
    cut_from_api: set[str] = attrs.field(factory=set)
    loses_responses: bool = False


@attrs.define(eq=False)
class Store:
    """The store, as a node sees it."""

    platform: Platform
    node: str
    eras: era_module.StoreEra = attrs.field(factory=era_module.StoreEra)

    async def list(self, kind: str) -> objects.Listing:
        """Return the record."""
        await self._reach()
        item = self.platform.item
        return objects.Listing((item,) if item else (), self.platform.revision)

    async def write(
        self, kind: str, name: str, spec: dict, revision: int | None
    ) -> objects.StoredObject:
        """Create or replace the record at a revision."""
        await self._reach()
        platform = self.platform
        known = platform.item.revision if platform.item else None
        if known != revision:
            raise errors.PlatformConflictError(name, known or 0)
        platform.revision += 1
        spec = json.loads(json.dumps(spec))
        platform.item = objects.StoredObject(
            name, platform.revision, spec, None
        )
        if platform.loses_responses:
            await asyncio.sleep(TIMEOUT_S)
            raise errors.PlatformOutcomeUnknownError(name)
        await asyncio.sleep(STORE_S / 2)
        return platform.item

    async def _reach(self) -> None:
        self.platform.store_calls += 1
        if self.node in self.platform.cut_from_store:
            await asyncio.sleep(TIMEOUT_S)
            raise errors.PlatformUnavailableError(self.node)
        await asyncio.sleep(STORE_S / 2)


@attrs.define(eq=False)
class Api:
    """The usage API, as a node sees it."""

    platform: Platform
    node: str

    async def send(
        self,
        report: duties.Report,
        holder: str,
        token: int,
        may_send: typing.Callable[[], bool],
    ) -> usage_api.Outcome:
        """Record a report."""
        if self.node in self.platform.cut_from_api:
            await asyncio.sleep(usage_api.CONNECT_TIMEOUT_S)
            return usage_api.Outcome.UNREACHABLE
        await asyncio.sleep(API_S)
        if not may_send():
            return usage_api.Outcome.NOT_SENT
        self.platform.reports.append(
            {
                'at': asyncio.get_running_loop().time(),
                'holder': self.node,
                'token': token,
                'window': report.window,
                'counts': dict(report.counts),
            }
        )
        await asyncio.sleep(API_S)
        return usage_api.Outcome.ACCEPTED


@attrs.define(eq=False)
class Role:
    """The role of a node, which is the relay as in the simulated mesh."""

    process: simulated_mesh.Process

    @property
    def is_relay(self) -> bool:
        """Return whether the node is the relay of its domain."""
        return self.process.is_relay()

    def heard_nodes(self) -> list[str]:
        """Return no other nodes: the preferred one is the relay."""
        return []


class Process(simulated_mesh.Process):
    """A node that takes part in usage reports."""

    def __attrs_post_init__(self) -> None:
        """Build the components and connect them to each other."""
        super().__attrs_post_init__()
        platform = self.network.platform
        self.clock = Clock()
        self.usage = reporters.Reporter.from_config(
            SETTINGS,
            Store(platform, self.name),
            self.directory,
            Role(self),
            self.broadcaster,
            self.clock,
            lambda: True,
        )
        self.usage.api = Api(platform, self.name)
        self.usage.read = lambda: duties.Reading(
            self.clock.monotonic(),
            self.clock.monotonic(),
            self.clock.now().timestamp(),
        )
        self.usage.random = random.Random(self.name)
        self.links.on_link.append(self.usage.exchange.resend)
        self.broadcaster.dispatch = self.dispatch_broadcast

    def works(self) -> list:
        """Return the background work of the node."""
        return [*super().works(), self.usage.run, self.usage.run_duty]

    def dispatch_broadcast(
        self, origin: str, message: messages.Message
    ) -> None:
        """Handle a message that a node has broadcast."""
        if isinstance(message, messages.UsageSums):
            self.usage.exchange.handle_sums(message)
        else:
            self.usage.handle_lease(message)

    def dispatch(
        self,
        connection: simulated_mesh.Connection,
        message: messages.Message,
    ) -> None:
        """Handle a message of another node."""
        self.network.count_bytes(connection, message)
        if isinstance(message, messages.UsageCounts):
            copy = codec.decode(codec.encode(message))
            self.usage.exchange.handle_counts(connection, copy)
        else:
            super().dispatch(connection, message)


class Network(simulated_mesh.Network):
    """Nodes that take part in usage reports, and their platform."""

    def __init__(self) -> None:
        super().__init__(process_type=Process)
        self.platform = Platform()
        self.bytes_between = 0

    def count_bytes(
        self,
        connection: simulated_mesh.Connection,
        message: messages.Message,
    ) -> None:
        """Count the bytes of broadcasts between domains."""
        is_remote = connection.hello.domain != connection.source.domain
        if is_remote and isinstance(message, messages.Broadcasts):
            self.bytes_between += len(codec.encode(message))

    def holders(self) -> list[str]:
        """Return the nodes that take themselves for the holder."""
        return [n for n, p in self.running.items() if p.usage.duty.is_holder]


@behave.given('{count:d} nodes in {domains:d} domains that report usage')
def given_nodes(context: typing.Any, count: int, domains: int) -> None:
    context.loop.close()
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete

    async def start() -> None:
        context.mesh = Network()
        context.mesh.domains = {
            f'n{number:03}': f'd{number % domains}' for number in range(count)
        }
        for name in context.mesh.domains:
            context.mesh.start(name)
        await asyncio.sleep(SETTLE_S)

    async def end() -> None:
        tasks = context.mesh.stop()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(start())
    context.stack.push_async_callback(end)


@behave.when('calls are counted for {seconds:d} s, and after 18 s {trouble}')
def when_counted(context: typing.Any, seconds: int, trouble: str) -> None:
    context.trouble = trouble

    async def act() -> None:
        mesh = context.mesh
        context.truth = collections.defaultdict(collections.Counter)
        context.began_at = asyncio.get_running_loop().time()
        mesh.bytes_between = 0
        before = mesh.platform.store_calls
        load = asyncio.create_task(_load(context, seconds))
        await asyncio.sleep(18)
        (context.holder,) = mesh.holders()
        context.trouble_at = asyncio.get_running_loop().time()
        await _run_trouble(context, trouble)
        await load
        context.ended_at = asyncio.get_running_loop().time()
        context.bytes_per_s = mesh.bytes_between / seconds
        context.calls = (mesh.platform.store_calls - before) * 60 / seconds
        await asyncio.sleep(LATEST_S)

    context.run(act())


async def _load(context: typing.Any, seconds: int) -> None:
    """Count calls at all running nodes in turn."""
    mesh = context.mesh
    for number in range(seconds * CALLS_PER_S):
        await asyncio.sleep(1 / CALLS_PER_S)
        names = sorted(mesh.running)
        process = mesh.running[names[number % len(names)]]
        team = TEAMS[number % len(TEAMS)]
        call = types.SimpleNamespace(team=team, is_nested=False)
        process.usage.exchange.note_sent(call)
        at = EPOCH_S + asyncio.get_running_loop().time()
        context.truth[int(at // WINDOW_S)][team] += 1


def _other_domain(context: typing.Any) -> str:
    own = context.mesh.domains[context.holder]
    return min({*context.mesh.domains.values()} - {own})


async def _run_trouble(context: typing.Any, trouble: str) -> None:
    mesh, platform = context.mesh, context.mesh.platform
    holder, other = context.holder, _other_domain(context)
    words = trouble.split()
    match trouble:
        case 'all goes on':
            pass
        case 'the holder ends':
            mesh.kill(holder)
        case 'the relay of another domain ends':
            mesh.kill(mesh.relay(other))
        case 'the relay of another domain starts again':
            name = mesh.relay(other)
            mesh.kill(name)
            mesh.start(name, incarnation=2)
        case 'all nodes start again, one each 2 s':
            for name in sorted(mesh.running):
                mesh.kill(name)
                mesh.start(name, incarnation=2)
                await asyncio.sleep(2)
        case 'all links between the domains are reset':
            mesh.reset_links()
        case 'the clocks of all nodes differ by 300 ms':
            offs = itertools.cycle((-0.15, 0.0, 0.15, 0.1, -0.1))
            for process in mesh.running.values():
                process.clock.off_s = next(offs)
        case _ if trouble.startswith('the clock of the holder steps'):
            mesh.running[holder].clock.off_s = float(words[-2])
        case _ if trouble.startswith('the clock of another relay steps'):
            name = mesh.relay(other)
            mesh.running[name].clock.off_s = float(words[-2])
        case _ if trouble.startswith('the holder is cut off the'):
            cut = {
                'API': platform.cut_from_api,
                'store': platform.cut_from_store,
            }[words[6]]
            cut.add(holder)
            await asyncio.sleep(float(words[-2]))
            cut.discard(holder)
        case _ if trouble.startswith('responses of the store are lost'):
            platform.loses_responses = True
            await asyncio.sleep(float(words[-2]))
            platform.loses_responses = False
        case _:
            domain = other
            if trouble.startswith("the holder's domain"):
                domain = mesh.domains[holder]
            await mesh.cut(domain=domain)
            await asyncio.sleep(float(words[-2]) - simulated_mesh.SILENCE_S)
            mesh.cut_domains.clear()


def _windows(context: typing.Any) -> range:
    """Return the windows in which calls were counted throughout."""
    first = int((EPOCH_S + context.began_at) // WINDOW_S) + 1
    return range(first, int((EPOCH_S + context.ended_at) // WINDOW_S))


def _reports(context: typing.Any) -> dict[int, dict]:
    """Return the first report of each window."""
    rows = reversed(context.mesh.platform.reports)
    return {row['window']: row for row in rows}


def _check_counts(context: typing.Any, windows: list[int]) -> None:
    reports = _reports(context)
    # The calls that a node counts while its clock is off by an hour belong to
    # no window that can be reported.
    has_lost = 'steps by 3600' in context.trouble
    nodes = len(context.mesh.domains)
    wrong = []
    for window in windows:
        truth = context.truth[window]
        found = reports[window]['counts']
        for team in {*truth, *found}:
            share = 0.05 + (1 / nodes if has_lost else 0.0)
            if abs(found.get(team, 0) - truth[team]) > share * truth[team]:
                wrong.append((window, found, dict(truth)))
    assert not wrong, (context.trouble_at, wrong)


def _check_times(context: typing.Any) -> None:
    reports = _reports(context)
    missing = [w for w in _windows(context) if w not in reports]
    assert not missing, (missing, context.mesh.platform.reports)
    late = {
        window: round(
            EPOCH_S + reports[window]['at'] - (window + 1) * WINDOW_S, 2
        )
        for window in _windows(context)
    }
    print('reported after', late, 'store calls', context.calls)
    assert all(0 <= seconds <= LATEST_S for seconds in late.values()), late


@behave.then('every window is reported with the right counts within 10 s')
def then_right(context: typing.Any) -> None:
    _check_times(context)
    _check_counts(context, list(_windows(context)))


@behave.then('every window is reported within 10 s')
def then_in_time(context: typing.Any) -> None:
    _check_times(context)


@behave.then(
    'all windows but those of {seconds:d} s are reported with the right counts'
)
def then_others_right(context: typing.Any, seconds: int) -> None:
    began = EPOCH_S + context.trouble_at
    good = [
        window
        for window in _windows(context)
        if (window + 1) * WINDOW_S < began
        or window * WINDOW_S > began + seconds
    ]
    _check_counts(context, good)


@behave.then('no report differs from another one of its window')
def then_same(context: typing.Any) -> None:
    reports = _reports(context)
    for row in context.mesh.platform.reports:
        assert reports[row['window']]['counts'] == row['counts'], row


@behave.then('no token is used by two nodes or after a later one')
def then_tokens(context: typing.Any) -> None:
    rows = context.mesh.platform.reports
    for before, after in itertools.pairwise(rows):
        is_same = before['holder'] == after['holder']
        assert after['token'] >= before['token'], (before, after)
        assert is_same or after['token'] > before['token'], (before, after)


@behave.then('the store gets at most {calls:d} calls a minute')
def then_calls(context: typing.Any, calls: int) -> None:
    assert context.calls <= calls, context.calls


@behave.then('links between domains carry at most {most:d} bytes a second')
def then_bytes(context: typing.Any, most: int) -> None:
    print('bytes a second', context.bytes_per_s)
    assert context.bytes_per_s <= most, context.bytes_per_s
