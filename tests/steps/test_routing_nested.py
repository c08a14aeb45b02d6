"""Steps for requests that the local target sends while it runs calls."""

from __future__ import annotations

import asyncio
import math
import types
import typing

import async_solipsism
import attrs
import behave

from benchmarks.model import clock as model_clock
from pomelobend import calls
from pomelobend import errors
from pomelobend.http import message
from pomelobend.mesh import front as fronts
from pomelobend.mesh import grace as graces
from pomelobend.metrics import counters
from pomelobend.platform import decode
from pomelobend.routing import call as call_module
from pomelobend.routing import startup as startups
from pomelobend.routing import target_stats
from standins import mesh
from tests.steps import test_admission_gate as gate_steps
from tests.steps import test_routing_startup as startup_steps

LONG_S = 60.0


class Delivery:
    """Records the calls that it would deliver."""

    def __init__(self) -> None:
        self.delivered: list[call_module.Call] = []

    async def deliver(self, call: call_module.Call) -> calls.Answer:
        """Answer a call at once."""
        self.delivered.append(call)
        return calls.Answer(200, [], b'')


class Target(gate_steps.Target):
    """A target whose runs end when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.ends: dict[str, list[asyncio.Future]] = {}

    async def call(
        self,
        call: call_module.Call,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> calls.Answer:
        """Answer a call at its end."""
        end = asyncio.get_running_loop().create_future()
        self.ends.setdefault(call.key, []).append(end)
        return await end


def running_call(
    context: typing.Any, key: str, team: str, left_s: float
) -> call_module.Call:
    """Return a call for the local target."""
    call = gate_steps.call_of(context.clock, 1.0, round(LONG_S * 1000))
    deadline = call.started + left_s
    return attrs.evolve(call, key=key, team=team, deadline=deadline)


def given_runs(
    context: typing.Any, *running: tuple[str, str], left_s: float = LONG_S
) -> None:
    """Start a node whose target runs calls with an id and a team."""
    context.loop.close()
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    context.delivery = Delivery()
    context.runs = {}

    async def start() -> None:
        clock = model_clock.LoopClock()
        gate_steps.new_gate(context, gate_steps.BEAT, clock)
        context.gate.registration.heartbeat_s = math.inf
        context.target = context.gate.client = Target()
        context.front = fronts.Front(
            'tonabok',
            clock,
            types.SimpleNamespace(
                table=decode.route_table(mesh.configuration(2)), version=2
            ),
            context.delivery,
            counters.Counters(),
            startups.StartupWait.from_clock(clock),
            graces.Grace(clock),
            parents=context.gate.parents,
        )
        for key, team in running:
            call = running_call(context, key, team, LONG_S)
            task = asyncio.create_task(context.gate.run(call))
            context.runs.setdefault(key, []).append(task)
            await asyncio.sleep(0)
            call.deadline = clock.monotonic() + left_s

    context.run(start())


@behave.given(
    'a node whose target runs the calls {first} of team {one} and {second} of'
    ' team {two}'
)
def given_two(
    context: typing.Any, first: str, one: str, second: str, two: str
) -> None:
    given_runs(context, (first, one), (second, two))


@behave.given('a node whose target runs a call that has {left_ms:d} ms left')
def given_left(context: typing.Any, left_ms: int) -> None:
    given_runs(context, ('job-1', ''), left_s=left_ms / 1000)


async def settle(task: asyncio.Task) -> None:
    """Wait for the end of a run, however it ends."""
    await asyncio.wait((task,))


@behave.when('the run of {key} has {ended}')
@behave.when('one run of {key} has {ended}')
def when_ended(context: typing.Any, key: str, ended: str) -> None:
    async def act() -> None:
        end, task = context.target.ends[key][0], context.runs[key][0]
        if ended == 'been given up':
            task.cancel()
        elif ended == 'failed':
            end.set_exception(
                errors.CallRefusedError(
                    errors.Reason.TARGET_LOST, errors.Run.UNKNOWN
                )
            )
        else:
            end.set_result(calls.Answer(200, [], b''))
        await settle(task)

    context.run(act())


def send(context: typing.Any, identity: str, deadline_ms: int) -> None:
    """Send a request of the target to its node."""
    request = message.Request(
        'GET',
        b'/lookup/a',
        [
            ('host', 'bells.example'),
            ('x-attempt-id', identity),
            ('x-deadline-ms', str(deadline_ms)),
        ],
    )
    context.sent_at = context.loop.time()
    context.reply = context.run(context.front.answer(request))


@behave.when('its target sends a request with the id {identity}')
def when_sent(context: typing.Any, identity: str) -> None:
    send(context, identity, 800)


@behave.when('its target sends a nested request with a deadline of {ms:d} ms')
def when_nested(context: typing.Any, ms: int) -> None:
    send(context, 'job-1.1', ms)


@behave.then('the call is {kind} of team {team}')
def then_kind(context: typing.Any, kind: str, team: str) -> None:
    (call,) = context.delivery.delivered
    assert call.is_nested is (kind == 'nested'), call
    assert call.team == ('' if team == 'none' else team), call
    counted = context.front.counters.get('nested_calls_received')
    assert counted == call.is_nested, counted


@behave.then('one running call is remembered')
def then_remembered(context: typing.Any) -> None:
    assert list(context.gate.parents.by_id) == ['job-1.7']


@behave.then('its targets may work for {least_ms:d} to {most_ms:d} ms')
def then_time(context: typing.Any, least_ms: int, most_ms: int) -> None:
    (call,) = context.delivery.delivered
    left_ms = (call.deadline - context.sent_at) * 1000
    assert least_ms - 0.5 <= left_ms <= most_ms + 0.5, left_ms


@behave.then('it is refused with {status:d} and counted')
def then_refused(context: typing.Any, status: int) -> None:
    assert context.reply.status == status, context.reply
    assert not context.delivery.delivered
    counts = context.front.counters
    assert counts.get('nested_calls_received') == 1


@behave.given(
    'a node that knows {count:d} targets that refuse calls after {ms:d} ms'
)
def given_refusing(context: typing.Any, count: int, ms: int) -> None:
    state = types.SimpleNamespace(table=None, version=2)
    startup_steps.given_start(context, state.table, lambda: None, 0.0)
    context.run(asyncio.sleep(startups_over_s()))
    for number in range(count):
        context.remote.learn(f'other-{number}')
        context.remote.refusing.add(f'other-{number}')
    context.remote.refuses_after_s = ms / 1000


def startups_over_s() -> float:
    """Return a time after which a node no longer waits for targets."""
    return startups.DISCOVERY_S + 1.0


def delivered_call(context: typing.Any, kind: str) -> call_module.Call:
    """Return a call with 800 ms left."""
    call = gate_steps.call_of(context.clock, 0.07, 304)
    return attrs.evolve(
        call,
        deadline=call.started + 0.8,
        is_nested=kind == 'nested',
    )


@behave.when('a {kind} call with 800 ms left is delivered')
def when_delivered(context: typing.Any, kind: str) -> None:
    context.call = delivered_call(context, kind)
    context.refusal = None
    try:
        context.run(context.front.delivery.deliver(context.call))
    except errors.CallRefusedError as refusal:
        context.refusal = refusal


@behave.then('it is refused after {sent:d} sends, before its deadline')
def then_sends(context: typing.Any, sent: int) -> None:
    assert context.refusal is not None
    assert context.refusal.run is errors.Run.NOT_RUN
    assert context.remote.sent == sent, context.remote.sent
    assert context.loop.time() <= context.call.deadline + 0.1


@behave.when('the target reports a wait of {wait_s:g} s to a {kind} call')
def when_reported(context: typing.Any, wait_s: float, kind: str) -> None:
    (member,) = context.remote.known
    stats = context.front.delivery.placer.stats(member)
    call = delivered_call(context, kind)
    target_stats.Reporter(stats, call).note_capacity(0, wait_s)


@behave.then(
    'a nested call expects to wait {nested_s:g} s and a new one {new_s:g} s'
)
def then_waits(context: typing.Any, nested_s: float, new_s: float) -> None:
    (member,) = context.remote.known
    stats = context.front.delivery.placer.stats(member)
    actual = [
        target_stats.wait_of(stats, delivered_call(context, kind))
        for kind in ('nested', 'new')
    ]
    expected = [nested_s, new_s]
    assert all(
        math.isclose(*pair) for pair in zip(actual, expected, strict=True)
    ), actual
