"""Steps of a failure domain that is withdrawn and taken back."""

from __future__ import annotations

import datetime
import types
import typing

import attrs
import behave

from pomelobend.membership import heartbeat as heartbeats
from pomelobend.mesh import domain_return
from pomelobend.mesh import state as states
from pomelobend.platform import objects
from pomelobend.targets import probe as probes
from tests.steps import clocks
from tests.steps import test_admission_gate as gate_steps

DOMAIN = 'vik'
OTHER = 'hella'
COLD = datetime.timedelta(seconds=2.7)
RESULTS = {
    'cold for 2.7 s': probes.ProbeResult(probes.Health.SERVING, 'i-1', COLD),
    'warm': probes.ProbeResult(probes.Health.SERVING, 'i-1'),
    'nothing': probes.ProbeResult(probes.Health.UNREACHABLE),
    'cold for 2.7 s, of another one': probes.ProbeResult(
        probes.Health.SERVING, 'i-2', COLD
    ),
}


@attrs.define(eq=False)
class Probe:
    """A probe with a given result."""

    result: probes.ProbeResult

    async def check(self, address: str, path: str) -> probes.ProbeResult:
        """Return the result."""
        return self.result


def _heartbeat(cold_s: float, sequence: int) -> heartbeats.Heartbeat:
    return heartbeats.Heartbeat(
        target='i-1',
        address='10.0.0.1:80',
        service='tonabok',
        version='v1',
        slots=6,
        state=heartbeats.State.SERVING,
        sequence=sequence,
        cold_for=datetime.timedelta(seconds=cold_s),
    )


def _withdraw(context: typing.Any, *domains: str) -> None:
    context.state.apply_withdrawals(
        {name: objects.StoredObject(name, 1, {}, None) for name in domains}
    )


@behave.given(
    'a node whose failure domain is withdrawn, with a warm heartbeat'
)
def given_withdrawn(context: typing.Any) -> None:
    gate_steps.new_gate(context, _heartbeat(0.0, 1), clocks.StepClock())
    service = types.SimpleNamespace(health_path='/health')
    table = types.SimpleNamespace(services={'tonabok': service})
    context.state = states.State(table=table)
    context.checks = []
    context.domain_return = domain_return.DomainReturn(
        DOMAIN,
        context.gate,
        context.state,
        Probe(RESULTS['nothing']),
        context.checks.append,
    )
    listener = context.domain_return.handle_change
    context.state.on_withdrawal.append(listener)
    _withdraw(context, DOMAIN, OTHER)


@behave.when('the domain is taken back, and a probe says {health}')
def when_back(context: typing.Any, health: str) -> None:
    context.domain_return.probe.result = RESULTS[health]
    _withdraw(context, OTHER)
    context.was_cold = _cold_s(context)
    (check,) = context.checks
    context.run(check)


@behave.when(
    'the domain is taken back, and a cold heartbeat comes before a warm probe'
)
def when_heartbeat(context: typing.Any) -> None:
    context.domain_return.probe.result = RESULTS['warm']
    _withdraw(context, OTHER)
    context.gate.accept_heartbeat(_heartbeat(2.5, 2))
    (check,) = context.checks
    context.run(check)


@behave.when('another domain is taken back')
def when_other(context: typing.Any) -> None:
    _withdraw(context, DOMAIN)
    assert not context.checks


@behave.then(
    'the target gets no more than its cold limit before the probe is answered'
)
def then_limited(context: typing.Any) -> None:
    assert context.was_cold > 0.0


@behave.then('after it the target is {expected}')
def then_after(context: typing.Any, expected: str) -> None:
    cold_s = _cold_s(context)
    if expected == 'warm':
        assert cold_s <= 0.0, cold_s
    elif expected == 'cold until its next heartbeat':
        assert cold_s >= context.gate.heartbeat_s, cold_s
        context.gate.accept_heartbeat(_heartbeat(0.0, 2))
        assert _cold_s(context) <= 0.0
    else:
        expected_s = float(expected.split()[2])
        assert abs(cold_s - expected_s) < 1e-6, cold_s


def _cold_s(context: typing.Any) -> float:
    """Return for how long the limit of the cold target holds."""
    return context.gate.cold.until - context.clock.monotonic()
