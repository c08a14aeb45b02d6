"""Steps of the limit on the calls that arrive at a cold target."""

from __future__ import annotations

import asyncio
import datetime
import math
import types
import typing

import async_solipsism
import attrs
import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from benchmarks.model import clock as model_clock
from pomelobend.admission import cold as colds
from pomelobend.admission import gate as gates
from pomelobend import errors
from pomelobend.mesh import node_record as node_records
from pomelobend.mesh import resumption as resumptions
from pomelobend.metrics import counters as counter_module
from pomelobend.targets import channel as channels
from pomelobend.targets import client as clients
from pomelobend.targets import probe as probes
from tests.steps import test_admission_gate as gate_steps

if typing.TYPE_CHECKING:
    from collections import abc

FACTOR = 1.5
SLACK = 5.0
PER_S = 6.1
RUN_S = 0.01
COLD_S = 3.0
PATIENCE_S = 3.0
RESTARTS_S = (0.1, 0.55, 1.1)
TOGETHER_S = 0.02
SLOTS = 1000
INSTANT_S = 0.001
EXAMPLES = 1000
STEPS = 25
RECORD = node_records.NodeRecord('vik', '127.0.0.1:8', 'tonabok', 'v1', 6)


def bound(per_s: float) -> float:
    """Return the largest number of calls in one second while cold."""
    return per_s * FACTOR + SLACK


def whole_ms(seconds: float) -> float:
    """Return a time as a target tells it, in whole milliseconds."""
    return math.floor(seconds * 1000) / 1000


class Connection:
    """A stub of a connection that records when a call arrives."""

    is_ended = True
    is_kept = False

    def __init__(self, target: Target) -> None:
        self.target = target

    def begin(self, **_: typing.Any) -> None:
        """Prepare for a call."""

    def write_request(self, _head: bytes, _body: bytes) -> None:
        """Record the arrival of a call."""
        self.target.arrivals.append(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Close the connection."""

    async def wait_for_head(self) -> channels.ResponseHead:
        """Wait until the call has run."""
        await asyncio.sleep(RUN_S)
        return channels.ResponseHead(200, [], 0)

    async def body(self, _: float) -> abc.AsyncIterator[bytes]:
        """Yield no bytes."""
        for part in ():
            yield part


class Target:
    """A pool of connections that take a set time, and their target."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self.connects_s = 0.0
        self.address = ''

    def use(self, address: str) -> None:
        """Set the address."""
        self.address = address

    def close(self) -> None:
        """Close the idle connections, of which there are none."""

    def release(self, connection: Connection) -> None:
        """Take back a connection."""

    async def acquire(self, *, is_idempotent: bool) -> Connection:
        """Return a new connection after the set time."""
        await asyncio.sleep(self.connects_s)
        return Connection(self)


class Played:
    """A gate in simulated time, its client, and a target that may be cold."""

    def __init__(self) -> None:
        self.loop = async_solipsism.EventLoop()
        self.target = Target()
        self.tasks: list[asyncio.Task] = []
        self.refusals: list[errors.CallRefusedError] = []
        self.sequence = 2
        self.per_s = PER_S
        self.cold_end = 0.0
        self.gate = self.run(self.new_gate())

    def run(self, coroutine: abc.Coroutine) -> typing.Any:
        """Run a coroutine in simulated time."""
        return self.loop.run_until_complete(coroutine)

    async def new_gate(self) -> gates.Gate:
        """Return the gate of a process that has just started."""
        clock = model_clock.LoopClock()
        gate = gates.Gate(
            'tonabok',
            clock,
            clients.Client(clock, self.target, 10.0),
            counter_module.Counters(),
            gate_steps.ENDLESS_S,
            lambda: False,
            cold=colds.ColdLimit(
                self.per_s,
                factor=FACTOR,
                slack=SLACK,
                start_s=COLD_S,
                process_at=clock.monotonic(),
            ),
        )
        gate_steps.set_expected_run_time(gate, RUN_S)
        return gate

    def resume(self, cold_s: float) -> None:
        """Let a target answer the probe of a node that has started again."""
        resumption = types.SimpleNamespace(
            target_address=gate_steps.BEAT.address,
            gate=self.gate,
            accept_heartbeat=lambda beat: self.gate.accept_heartbeat(
                attrs.evolve(beat, slots=SLOTS)
            ),
        )
        result = probes.ProbeResult(
            probes.Health.SERVING,
            gate_steps.BEAT.target,
            datetime.timedelta(seconds=cold_s),
        )

        async def act() -> None:
            resumptions.Resumption._accept(resumption, RECORD, result)

        self.run(act())

    def beat(self, sequence: int, cold_s: float) -> None:
        """Let a heartbeat arrive."""

        async def act() -> None:
            self.gate.accept_heartbeat(
                attrs.evolve(
                    gate_steps.BEAT,
                    slots=SLOTS,
                    sequence=sequence,
                    cold_for=datetime.timedelta(seconds=cold_s),
                )
            )

        self.run(act())

    def offer(self, count: int) -> None:
        """Let calls arrive at the gate at once."""

        async def one() -> None:
            call = gate_steps.call_of(self.gate.clock, RUN_S, 3000)
            call = attrs.evolve(call, deadline=call.started + PATIENCE_S)
            try:
                await self.gate.run(call)
            except errors.CallRefusedError as refusal:
                assert refusal.run is errors.Run.NOT_RUN
                self.refusals.append(refusal)

        async def act() -> None:
            self.tasks += [asyncio.create_task(one()) for _ in range(count)]
            await asyncio.sleep(0)

        self.run(act())

    def restart(self, away_s: float) -> None:
        """Let the node be killed and start again after some time."""

        self.stop()
        self.pass_time(away_s)
        self.gate = self.run(self.new_gate())

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    def end(self) -> None:
        """Cancel what runs and close the loop."""

        self.stop()
        self.loop.close()

    def stop(self) -> None:
        """Cancel what runs; raise what went wrong in it."""

        async def act() -> None:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks)

        if not self.tasks:
            return
        self.run(act())
        for task in self.tasks:
            if not task.cancelled():
                task.result()
        self.tasks.clear()

    def most(self, within_s: float = 1.0) -> int:
        """Return the largest number of arrivals in any second."""
        times = self.target.arrivals
        return max(
            (sum(0 <= at - start < within_s for at in times))
            for start in times
        )


class Courses(stateful.RuleBasedStateMachine):
    """Courses of events at a gate and its target.

    Arrivals are counted from the time at which the node could know that the
    target is cold. After a change of the limit, or a restart, the larger of
    the limits of the last second binds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.played = Played()
        self.limits = [(0.0, PER_S)]
        self.cold: list[tuple[float, float]] = []
        self.played.beat(1, 0.0)

    @property
    def now(self) -> float:
        """Return the simulated time."""
        return self.played.loop.time()

    @stateful.rule(count=strategies.integers(1, 30))
    def calls_arrive(self, count: int) -> None:
        """Let calls arrive at once."""
        self.played.offer(count)

    @stateful.rule(seconds=strategies.sampled_from([0.0, 0.05, 0.4, 1.0, 1.3]))
    def connections_take(self, seconds: float) -> None:
        """Let new connections take another time."""
        self.played.target.connects_s = seconds

    @stateful.rule(seconds=strategies.floats(0.01, 1.2))
    def time_passes(self, seconds: float) -> None:
        """Let time pass."""
        self.played.pass_time(seconds)

    @stateful.rule(before_s=strategies.sampled_from([0.0009, 0.0002]))
    def time_passes_until_the_end(self, before_s: float) -> None:
        """Let time pass until right before the end of the cold time."""
        left_s = self.played.cold_end - before_s - self.now
        if 0.0 < left_s < COLD_S:
            self.played.pass_time(left_s)

    @stateful.rule(cold_s=strategies.floats(0.5, COLD_S))
    def turns_cold(self, cold_s: float) -> None:
        """Let the target turn cold and tell it at once.

        Calls that have arrived at the same time came before.
        """
        played = self.played
        played.pass_time(INSTANT_S)
        played.cold_end = max(played.cold_end, self.now + cold_s)
        self.cold.append((self.now, played.cold_end))
        self._tell()

    @stateful.rule(late_s=strategies.floats(0.0, 1.0))
    def heartbeat_arrives(self, late_s: float) -> None:
        """Let a heartbeat arrive that was sent some time before."""
        sent_at = max(self.now - late_s, self.cold[-1][0] if self.cold else 0)
        self._tell(self.now - sent_at)

    @stateful.rule()
    def old_heartbeat_arrives(self) -> None:
        """Let a heartbeat arrive that was sent before all others."""
        self.played.beat(1, 0.0)

    @stateful.rule(per_s=strategies.sampled_from([3.0, PER_S, 10.0]))
    def configuration_changes(self, per_s: float) -> None:
        """Let a configuration change the limit."""
        self.played.pass_time(INSTANT_S)
        self.played.per_s = self.played.gate.cold.per_s = per_s
        self.limits.append((self.now, per_s))

    @stateful.rule(away_s=strategies.sampled_from(RESTARTS_S))
    def node_restarts(self, away_s: float) -> None:
        """Let the node end, start again and resume its target."""
        self.played.restart(away_s)
        left_s = max(0.0, self.played.cold_end - self.now)
        self.played.resume(whole_ms(left_s))

    @stateful.invariant()
    def limit_holds(self) -> None:
        """Check the arrivals while cold in each second."""
        times = [
            at
            for at in self.played.target.arrivals
            if any(start <= at < end for start, end in self.cold)
        ]
        for start in times:
            count = sum(0 <= at - start < 1.0 for at in times)
            assert count <= self._bound(start), (count, start, self.cold)

    def _bound(self, start: float) -> float:
        before = [per_s for at, per_s in self.limits if at <= start][-1:]
        within = [per_s for at, per_s in self.limits if 0 < at - start < 1.0]
        return bound(max(before + within))

    def _tell(self, late_s: float = 0.0) -> None:
        left_s = max(0.0, self.played.cold_end - self.now + late_s)
        self.played.beat(self.played.sequence, whole_ms(left_s))
        self.played.sequence += 1

    def teardown(self) -> None:
        """Close the loop."""
        self.played.end()


@behave.given(
    'a cold target to which connections take {seconds:g} s from {start:g} s '
    'to {end:g} s'
)
def given_slow(
    context: typing.Any, seconds: float, start: float, end: float
) -> None:
    given_cold(context, seconds)
    context.played.loop.call_at(
        end, setattr, context.played.target, 'connects_s', 0.0
    )


@behave.given('a cold target to which connections take {seconds:g} s')
def given_cold(context: typing.Any, seconds: float) -> None:
    given_target(context, seconds)
    context.played.beat(2, COLD_S)


@behave.given('a target to which connections take {seconds:g} s')
def given_target(context: typing.Any, seconds: float) -> None:
    context.played = Played()
    context.add_cleanup(context.played.end)
    context.played.beat(1, 0.0)
    context.played.target.connects_s = seconds


@behave.given('a cold target that a node has resumed')
def given_resumed(context: typing.Any) -> None:
    context.played = Played()
    context.add_cleanup(context.played.end)
    context.played.resume(COLD_S)


@behave.when('the node is killed, back after {away_s:g} s, and resumes it')
def when_killed(context: typing.Any, away_s: float) -> None:
    left_s = COLD_S - context.played.loop.time() - away_s
    context.played.restart(away_s)
    context.played.resume(left_s)


@behave.when('node and target have lost power and start together')
def when_both(context: typing.Any) -> None:
    context.played.restart(1.0)
    context.played.target.arrivals.clear()
    context.played.resume(COLD_S - TOGETHER_S)


@behave.when('a heartbeat arrives that was sent before it turned cold')
def when_late(context: typing.Any) -> None:
    context.played.beat(1, 0.0)


@behave.when('calls arrive for it at {rate:d} per second for {seconds:g} s')
def when_rate(context: typing.Any, rate: int, seconds: float) -> None:
    for _ in range(round(rate * seconds)):
        context.played.offer(1)
        context.played.pass_time(1 / rate)


@behave.when('{count:d} calls wait for connections and the target turns cold')
def when_turns(context: typing.Any, count: int) -> None:
    context.played.offer(count)
    context.played.pass_time(0.1)
    context.played.beat(2, COLD_S)
    context.played.pass_time(1.0)


@behave.given('a target that is cold for {cold_s:g} s, told in whole ms')
def given_told(context: typing.Any, cold_s: float) -> None:
    given_target(context, 0.0)
    context.played.cold_end = cold_s
    context.played.beat(2, whole_ms(cold_s))


@behave.when('{count:d} calls arrive {seconds:g} s before it is warm')
def when_before_end(context: typing.Any, count: int, seconds: float) -> None:
    played = context.played
    played.pass_time(played.cold_end - seconds - played.loop.time())
    played.offer(count)
    played.pass_time(seconds / 2)


@behave.then('in no second did more than {most:d} calls arrive at it')
def then_most(context: typing.Any, most: int) -> None:
    assert context.played.most() <= most, context.played.most()


@behave.then('in a second between them at least {count:d} calls arrived')
def then_used(context: typing.Any, count: int) -> None:
    assert context.played.most() >= count, context.played.most()


@behave.then('{count:d} calls arrive and {refused:d} are refused as not run')
def then_split(context: typing.Any, count: int, refused: int) -> None:
    found = len(context.played.target.arrivals), len(context.played.refusals)
    assert found == (count, refused), found


@behave.then('{count:d} calls arrived within {seconds:g} s')
def then_count(context: typing.Any, count: int, seconds: float) -> None:
    arrived = [at for at in context.played.target.arrivals if at < seconds]
    assert len(arrived) == count, len(arrived)


@behave.then(
    'no course of calls, connections, heartbeats, configurations and '
    'restarts breaks the limit'
)
def then_courses(context: typing.Any) -> None:
    stateful.run_state_machine_as_test(
        Courses,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            derandomize=True,
        ),
    )
