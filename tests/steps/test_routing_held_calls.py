"""Steps of calls that stay in quarantine, with whole deliveries of nodes."""

from __future__ import annotations

import types
import typing

import attrs
import behave

from benchmarks.model import clients
from pomelobend.admission import gate as gates
from pomelobend import calls
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.mesh import broadcasts
from pomelobend.mesh import crash_reports
from pomelobend.metrics import counters as counter_module
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.routing import budget as budgets
from pomelobend.routing import call as call_module
from pomelobend.routing import delivery as deliveries
from pomelobend.routing import placement
from pomelobend.routing import quarantine as quarantines
from pomelobend.routing import startup as startups
from tests.steps import clocks
from tests.steps import test_admission_gate as gate_steps
from tests.steps import test_routing_quarantine as quarantine_steps

BACK_AFTER_S = 3.0
SAME_PATH = b'/deadly'


@attrs.define(eq=False)
class Node(clients.UnconnectedClient):
    """A node whose target crashes on one call unless its version bears it.

    It takes the place of the directory of the node.
    """

    mesh: Mesh
    name: str
    own: members.Member
    quarantine: quarantines.Quarantine
    gate: gates.Gate | None = None
    delivery: deliveries.Delivery | None = None
    reports: crash_reports.CrashReports | None = None
    broadcaster: broadcasts.Broadcaster | None = None
    crashed_at: float | None = None
    started_ms: int = 1000

    async def call(
        self,
        call: call_module.Call,
        on_send: typing.Callable[[], None] | None = None,
    ) -> calls.Answer:
        """Answer a call of the node, or crash."""
        if self.crashed_at is not None:
            raise errors.CallRefusedError(errors.Reason.TARGET_UNREACHABLE)
        if call.body == b'deadly':
            self.mesh.reached.append((self.name, self.own.version))
            if self.own.version not in self.mesh.bearing:
                self.crashed_at = self.mesh.clock.time_s
                raise errors.CallRefusedError(
                    errors.Reason.TARGET_LOST, errors.Run.UNKNOWN
                )
        return calls.Answer(200, [], b'')

    def neighbours(self) -> list[tuple[typing.Any, members.Member]]:
        """Return the connections to all other nodes."""
        return [
            (Connection(node, self), node.own)
            for node in self.mesh.nodes.values()
            if node is not self
        ]

    def is_own_domain(self, domain: str) -> bool:
        """Return whether nodes of a domain are neighbours."""
        return True

    def dispatch(self, origin: str, message: messages.Message) -> None:
        """Note a report of another node."""
        self.reports.note(origin, message.calls)

    def version_at(self, node: str) -> str:
        """Return the version of the target of a node."""
        return self.mesh.nodes[node].own.version

    def beat(self) -> None:
        """Send a heartbeat; a crashed target has been started anew."""
        if self.crashed_at is not None:
            if self.mesh.clock.time_s - self.crashed_at < BACK_AFTER_S:
                return
            self.crashed_at = None
            self.started_ms += 1
        self.gate.accept_heartbeat(
            attrs.evolve(
                gate_steps.BEAT,
                started_ms=self.started_ms,
                version=self.own.version,
            )
        )


@attrs.frozen(eq=False)
class Connection:
    """A connection from one node to another."""

    receiver: Node
    sender: Node

    @property
    def hello(self) -> members.Member:
        """Return what the sender has said of itself."""
        return self.sender.own

    def send_if_open(self, message: messages.Message) -> None:
        """Pass a message to the receiver at once."""
        self.receiver.broadcaster.handle(
            self, codec.decode(codec.encode(message))
        )


@attrs.define(eq=False)
class Mesh:
    """Nodes that send calls to each other and report crashes."""

    clock: clocks.StepClock = attrs.field(factory=clocks.StepClock)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    bearing: set[str] = attrs.field(factory=set)
    reached: list[tuple[str, str]] = attrs.field(factory=list)
    sent: int = 0

    def add(self, name: str, version: str) -> None:
        """Add a node whose target has a version."""
        own = members.Member(
            name,
            1,
            1,
            'vik' if len(self.nodes) % 2 else 'hella',
            '127.0.0.1:1',
            'tonabok',
            version,
            members.State.SERVING,
            6,
            0,
        )
        self.nodes[name] = node = Node(
            self, name, own, quarantines.Quarantine(self.clock.monotonic)
        )
        counters = counter_module.Counters()
        node.gate = gates.Gate(
            'tonabok', self.clock, node, counters, 1e6, lambda: False
        )
        node.broadcaster = broadcasts.Broadcaster(
            node,
            types.SimpleNamespace(subscribers=[]),
            self.clock,
            node.dispatch,
        )
        node.reports = crash_reports.CrashReports(
            node.quarantine, node.broadcaster, counters, node
        )
        node.broadcaster.is_current = node.reports.is_current
        node.gate.on_crash.append(node.reports.report)
        node.gate.screen = node.reports
        node.delivery = deliveries.Delivery(
            name,
            self,
            placement.Placer(own.domain, self.clock.monotonic),
            node.gate,
            self,
            budgets.Budgets(0.2, 60, 10.0, lambda: 1),
            node.quarantine,
            self.clock,
            counters,
            startups.StartupWait(self.clock, float('-inf')),
        )
        node.beat()
        for other in self.nodes.values():
            if other is not node:
                other.broadcaster.catch_up(Connection(node, other))

    def all_serving(self, call: call_module.Call) -> list[members.Member]:
        """Return the targets that serve."""
        return [
            node.own for node in self.nodes.values() if node.crashed_at is None
        ]

    def candidates(
        self, call: call_module.Call, tried: typing.Container[str]
    ) -> list[members.Member]:
        """Return the targets that serve and have not been tried."""
        return [m for m in self.all_serving(call) if m.node not in tried]

    async def call(
        self,
        call: call_module.Call,
        member: members.Member,
        *unused: typing.Any,
    ) -> calls.Answer:
        """Run a call at another node."""
        return await self.nodes[member.node].gate.run(call)

    async def send_to_all(self, body: bytes) -> set[str]:
        """Return the outcomes of a call that each node receives."""
        return {await self.send(body, node) for node in self.nodes.values()}

    async def send(self, body: bytes, node: Node) -> str:
        """Return the outcome of a call that a node receives."""
        call = quarantine_steps.call_of(self.clock, SAME_PATH)
        call = attrs.evolve(call, body=body, is_idempotent=False)
        try:
            await node.delivery.deliver(call)
        except errors.CallRefusedError as refusal:
            return str(refusal.reason)
        return 'answered'

    async def play(self, count: int, pause_s: float) -> list[str]:
        """Send the deadly call to one node after another, beside others."""
        outcomes = []
        for _ in range(count):
            for node in self.nodes.values():
                node.beat()
            names = list(self.nodes)
            node = self.nodes[names[self.sent % len(names)]]
            self.sent += 1
            outcomes.append(await self.send(b'deadly', node))
            for other in self.nodes.values():
                await self.send(b'plain', other)
            for other in self.nodes.values():
                other.broadcaster.flush()
            self.clock.time_s += pause_s
        return outcomes


@behave.given('{count:d} nodes whose targets come back after they crash')
def given_nodes(context: typing.Any, count: int) -> None:
    context.mesh = Mesh()

    async def build() -> None:
        for number in range(count):
            context.mesh.add(f'n{number}', 'v1')

    context.run(build())


@behave.given('the deadly call is held')
def given_held(context: typing.Any) -> None:
    context.outcomes = context.run(context.mesh.play(8, 3.0))
    assert context.outcomes[-1] == 'crashes-targets', context.outcomes
    context.before = len(context.mesh.reached)


@behave.when('the deadly call comes every {pause:d} s for {seconds:d} s')
def when_comes(context: typing.Any, pause: int, seconds: int) -> None:
    context.outcomes = context.run(
        context.mesh.play(seconds // pause, float(pause))
    )


@behave.when('{count:d} targets of version {version} are added')
def when_added(context: typing.Any, count: int, version: str) -> None:
    async def add() -> None:
        for number in range(count):
            context.mesh.add(f'{version}-{number}', version)

    context.run(add())


@behave.when('version {version} bears the call')
def when_bears(context: typing.Any, version: str) -> None:
    context.mesh.bearing.add(version)


@behave.then('it has reached no more than {most:d} targets')
def then_reached(context: typing.Any, most: int) -> None:
    reached = context.mesh.reached
    assert quarantines.CRASH_THRESHOLD <= len(reached) <= most, reached


@behave.then('it is refused at every node')
def then_refused(context: typing.Any) -> None:
    found = context.run(context.mesh.send_to_all(b'deadly'))
    assert found == {'crashes-targets'}, found


@behave.then('it has reached {count:d} more target, of version {version}')
def then_one(context: typing.Any, count: int, version: str) -> None:
    found = context.mesh.reached[context.before :]
    assert [version] * count == [v for _, v in found], found


@behave.then('it is answered at every node by targets of version {version}')
def then_answered(context: typing.Any, version: str) -> None:
    found = context.mesh.reached[context.before :]
    assert {v for _, v in found} == {version}, found
    outcomes = context.run(context.mesh.send_to_all(b'deadly'))
    assert outcomes == {'answered'}, outcomes


@behave.then('a call with the same path is answered at every node')
def then_same_path(context: typing.Any) -> None:
    found = context.run(context.mesh.send_to_all(b'other'))
    assert found == {'answered'}, found


@behave.when('a node that knows of no crash takes the place of n{number:d}')
def when_replaced(context: typing.Any, number: int) -> None:
    async def replace() -> None:
        context.mesh.add(f'n{number}', 'v1')

    context.run(replace())


@behave.when('{count:d} other calls are reported as running in a crash')
def when_many(context: typing.Any, count: int) -> None:
    for node in context.mesh.nodes.values():
        for number in range(count):
            node.quarantine.note_crash([number.to_bytes(8, 'big')])
