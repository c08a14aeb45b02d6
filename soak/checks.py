"""What a soak finds, from what its clients and targets have seen.

The classes follow the rules of the users' platform on lost requests; each
carries what was done to the VM that took the request, and to those at which
it ran, beside it.
"""

from __future__ import annotations

import collections
import typing

import attrs

from soak import world as worlds

if typing.TYPE_CHECKING:
    from soak import clients

CROSSING_S = 0.2
"""Time after its last byte in which a request may cross a close."""

GRACE_S = 6.0
STABLE_S = 3.0
"""Time for which a disturbance that was not planned counts."""

LATE_SENT_S = 3.0
GONE_S = 0.5
ALLOWANCE_S = 0.15
"""Time before a limit from which on it counts as reached."""

PLANNED = frozenset({'term', 'hup', 'config'})
REFUSALS = (503, 429, 408, 421)
OWN_FAILURES = (502, 504)

CLOSED_AFTER_RUN = 'closed after its run'
CLOSED_LATE = 'closed late, not run'
NO_ANSWER = 'no answer in time'
CUT_BY_STOP = 'own 502/504 after SIGTERM, target at work'
CUT_EXCUSED = 'own 502/504 after SIGTERM, excused'
READY_BY_STOP = 'own 502/504 after SIGTERM, target had finished'
LOST_ELSEWHERE = 'own 502/504 after a run'
TIME_OUT = 'limit reached'
TWICE = 'ran twice'
REFUSED_RUN = 'refused, but ran'
GONE = 'ran after its client had left'
NESTED = 'call of a target lost'

USUAL = frozenset({CUT_EXCUSED, TIME_OUT})
"""Classes whose findings are only counted."""

GRAVE = (
    CLOSED_AFTER_RUN,
    CLOSED_LATE,
    CUT_BY_STOP,
    READY_BY_STOP,
    TWICE,
    REFUSED_RUN,
)


@attrs.frozen
class Run:
    """A run of a request at the target of a VM, with its Unix times."""

    vm: str
    began: float
    ended: float


@attrs.define(eq=False)
class Finding:
    """A request that was lost, and what was done beside it.

    Parameters
    ----------
    own, there : tuple of str
        Kinds of what was done to the VM that took the request, and to those
        at which it ran.
    """

    label: str
    request: clients.Request
    runs: list[Run]
    own: tuple[str, ...] = ()
    there: tuple[str, ...] = ()

    @property
    def key(self) -> str:
        """Return the label with what was done beside it."""
        own, there = ' '.join(self.own), ' '.join(self.there)
        return f'{self.label} | own: {own} | there: {there}'

    @property
    def is_grave(self) -> bool:
        """Return whether a rule may be broken: nothing excuses it."""
        planned = PLANNED.issuperset(self.own + self.there)
        is_late_unplanned = self.label == CLOSED_LATE and not self.own
        return self.label in GRAVE and planned and not is_late_unplanned


def collect_runs(
    reports: list[tuple[str, dict]],
) -> dict[str, list[Run]]:
    """Return the runs of each request by its attempt id."""
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for vm, report in reports:
        for identity, spans in report.get('spans', {}).items():
            found[identity] += [Run(vm, *span) for span in spans]
    return found


def judge(
    world: worlds.World,
    requests: typing.Iterable[clients.Request],
    runs: dict[str, list[Run]],
) -> list[Finding]:
    """Return what was lost, with what was done beside it."""
    found = []
    for request in requests:
        its_runs = runs.get(request.identity, [])
        label = classify(world, request, its_runs)
        if label:
            own = kinds(world, request, {request.vm})
            there = kinds(world, request, {run.vm for run in its_runs})
            found.append(Finding(label, request, its_runs, own, there))
    return found


def classify(
    world: worlds.World, request: clients.Request, runs: list[Run]
) -> str:
    """Return the class of a request, or '' if nothing was lost."""
    if request.method == 'POST' and len(runs) > 1:
        return TWICE
    if request.is_signed:
        return ''
    if request.status in REFUSALS:
        return REFUSED_RUN if runs and request.method == 'POST' else ''
    limit_s = min(request.deadline_s, worlds.ROUTE_TIMEOUT_MS / 1000)
    held_s = request.ended_at - request.sent_at
    if any(run.began > request.ended_at + GONE_S for run in runs):
        return GONE
    if request.error == 'no answer':
        return NO_ANSWER
    if held_s >= limit_s - ALLOWANCE_S:
        return TIME_OUT
    if request.status in OWN_FAILURES:
        return _classify_failure(world, request, runs)
    if request.status:
        return f'own {request.status}'
    if runs:
        return CLOSED_AFTER_RUN
    sent_at = request.last_byte_at
    is_late = sent_at and request.ended_at - sent_at > CROSSING_S
    return CLOSED_LATE if is_late else ''


def _classify_failure(
    world: worlds.World, request: clients.Request, runs: list[Run]
) -> str:
    if not runs:
        return f'own {request.status}, not run'
    stop = _stop_during(world, request)
    if stop is None:
        return LOST_ELSEWHERE
    is_excused = (
        request.ended_at >= stop.began + GRACE_S * 5 / 6
        and request.sent_at <= stop.began + LATE_SENT_S
    )
    if is_excused:
        return CUT_EXCUSED
    at_work = any(
        run.began <= request.ended_at and not 0 < run.ended < request.ended_at
        for run in runs
    )
    return CUT_BY_STOP if at_work else READY_BY_STOP


def _stop_during(
    world: worlds.World, request: clients.Request
) -> worlds.Event | None:
    """Return the SIGTERM of its node before the end of a request."""
    for event in world.events:
        if (
            event.kind == 'term'
            and event.vm == request.vm
            and event.began <= request.ended_at <= event.ended + 1
        ):
            return event
    return None


def kinds(
    world: worlds.World, request: clients.Request, vms: set[str]
) -> tuple[str, ...]:
    """Return the kinds of what was done to VMs beside a request."""
    vms = vms | {worlds.EVERYWHERE} if vms else vms
    return tuple(
        sorted(
            {
                event.kind
                for event in world.events
                if event.vm in vms
                and event.began <= request.ended_at
                and event.ended >= request.sent_at - STABLE_S
            }
        )
    )


def nested_requests(
    reports: list[tuple[str, dict]],
) -> list[tuple[str, list]]:
    """Return the calls of targets that failed, with the VM they began at."""
    return [
        (vm, call)
        for vm, report in reports
        for call in report.get('nested', ())
        if call[1] in (0, *OWN_FAILURES) and not call[2] and call[4]
    ]


def bad_exits(world: worlds.World) -> list[tuple[str, int]]:
    """Return the nodes that ended with a code other than 0."""
    return [item for item in world.exits if item[1] != 0]


def tracebacks(world: worlds.World) -> list[str]:
    """Return the lines of logs that hold a traceback."""
    return [
        f'{vm}: {line[:600]}'
        for vm, _, line in world.log_lines()
        if 'Traceback' in line
    ]
