"""Steps of rollouts as one node carries them out."""

from __future__ import annotations

import types
import typing

import attrs
import behave

from pomelobend.membership import member as members
from pomelobend.mesh import rollout_controller
from pomelobend.mesh import state as states
from pomelobend.platform import objects
from pomelobend.rollouts import evidence as evidences
from pomelobend.rollouts import exposure
from pomelobend.rollouts import load_test
from pomelobend.rollouts import rollout as rollouts
from pomelobend.routing import call as call_module
from tests.steps import clocks

SERVICE = 'tonabok'
MAX_SMALL_SHARE = 0.25
CALLS = 200
EXPOSURE_SHARE = 0.1
EXPOSURE_CALLS = 50


@attrs.define
class Order:
    """The rollout as the store holds it."""

    revision: int = 0

    def apply(
        self,
        controller: rollout_controller.RolloutController,
        duration_s: float,
        state: str = '',
    ) -> None:
        """Hand the rollout to the node, changed."""
        self.revision += 1
        spec = {
            'service': SERVICE,
            'target_version': 'v2',
            'duration_s': duration_s,
        }
        status = {'state': state, 'target_version': 'v2'} if state else {}
        item = objects.StoredObject(SERVICE, self.revision, spec, status)
        controller.apply({SERVICE: item})


def _member(index: int, version: str) -> members.Member:
    return members.Member(
        f'{version}-{index}',
        1,
        1,
        'vik',
        '127.0.0.1:1',
        SERVICE,
        version,
        members.State.SERVING,
        6,
    )


def _start(context: typing.Any, duration_s: float) -> None:
    context.clock = clocks.StepClock()
    context.controller = rollout_controller.RolloutController(
        None,
        types.SimpleNamespace(serving_targets=lambda _: []),
        types.SimpleNamespace(service='innborgun', heartbeat=None),
        context.clock,
        states.State(),
        exposure.Limit(EXPOSURE_SHARE, EXPOSURE_CALLS),
    )
    context.order = Order()
    context.ordered_at = context.clock.time_s
    context.order.apply(context.controller, duration_s)
    context.order.apply(context.controller, duration_s, 'running')


@behave.given('a node that has seen the rollout of v2 end as rolled back')
def given_ended(context: typing.Any) -> None:
    _start(context, 10.0)
    _record(context, 30)
    context.clock.time_s += 60.0
    context.order.apply(context.controller, 10.0, 'rolled_back')


@behave.given(
    'a node on which v2 is being rolled out for 10 s, with {count:d} outcomes'
)
def given_running(context: typing.Any, count: int) -> None:
    _start(context, 10.0)
    _record(context, count)
    context.clock.time_s += 4.0


def _record(context: typing.Any, count: int) -> None:
    plan = context.controller.plans[SERVICE]
    tallies = {'lookup': evidences.Tally(count, 0, 0.1 * count)}
    plan.evidence.record('v2-0', 'v2', context.clock.time_s, tallies)


@behave.when('v2 is ordered once more for {seconds:d} s')
def when_repeated(context: typing.Any, seconds: int) -> None:
    context.ordered_at = context.clock.time_s
    context.order.apply(context.controller, float(seconds))


@behave.when('the order is changed to {seconds:d} s')
def when_changed(context: typing.Any, seconds: int) -> None:
    context.order.apply(context.controller, float(seconds), 'running')


@behave.then(
    'the rollout has {seconds:d} s, no outcomes, and v2 gets a small share of'
    ' calls'
)
def then_anew(context: typing.Any, seconds: int) -> None:
    plan = context.controller.plans[SERVICE]
    assert plan.order.state is rollouts.State.ORDERED, plan.order
    assert plan.deadline == context.clock.time_s + seconds, plan.deadline
    assert plan.new_version_tally.count == 0
    assert 0.0 < plan.split().share <= MAX_SMALL_SHARE, plan.split()


@behave.then(
    'the rollout has {seconds:d} s since its order, and {count:d} outcomes'
)
def then_kept(context: typing.Any, seconds: int, count: int) -> None:
    plan = context.controller.plans[SERVICE]
    assert plan.deadline == context.ordered_at + seconds, plan.deadline
    assert plan.new_version_tally.count == count


@behave.when('the load test loads one of three targets')
def when_loaded(context: typing.Any) -> None:
    plan = context.controller.plans[SERVICE]
    plan.nodes = ('v2-0', 'v2-1', 'v2-2')
    plan.test = load_test.LoadTest(3, 1, 1.0)


@behave.then(
    'calls for v2 go to this target, and to another one if it was tried'
)
def then_loaded(context: typing.Any) -> None:
    new = [_member(index, 'v2') for index in range(3)]
    old = [_member(index, 'v1') for index in range(3)]
    loaded = {
        item.node
        for _ in range(CALLS)
        for item in context.controller.choose(_call(), [*new, *old])
        if item.version == 'v2'
    }
    assert loaded == {'v2-0'}, loaded
    retried = {
        item.node
        for _ in range(CALLS)
        for item in context.controller.choose(_call(), [*new[1:], *old])
        if item.version == 'v2'
    }
    assert retried == {'v2-1', 'v2-2'}, retried


def _call() -> call_module.Call:
    return call_module.Call(
        route_name='lookup',
        service=SERVICE,
        method='GET',
        path='/',
        headers=[],
        started=0.0,
        deadline=1.0,
        is_idempotent=True,
        priority=0,
        objective_ms=500,
    )
