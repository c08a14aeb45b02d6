"""What a soak finds, from what its clients and targets have seen.

The classes follow the rules of the users' platform on lost requests. Each
finding names what was done to the VM that took the request, and to those at
which it ran, beside it.
"""

from __future__ import annotations

import collections
import typing

import attrs

from soak import clients
from soak import world as worlds

CROSSING_S = 0.2
"""Time after its last byte in which a request may cross a close."""

MAX_LATE_S = 0.1
"""Time for which a soak may be held up; beyond it, it shows nothing."""

NEAR_S = 0.1
"""Time around a moment in which a held-up soak makes it uncertain."""

NEAR_START_S = 2.0
"""Time after the start of a node in which what callers got is told."""

GRACE_S = 6.0
AFTER_GRACE_S = 1.0
"""Time past a grace period in which a loss still counts as one of the stop."""

LATE_SENT_S = 3.0
GONE_S = 0.5
STABLE_S = 3.0
"""Time for which a disturbance counts."""

RESOLUTION_S = 0.001
"""Deadlines are told in whole ms, and a request may be read just before its
caller notes when it was sent. Nothing else makes a limit count as reached."""

NEAR_LIMIT_S = 0.15
"""Time before a limit in which replies are told as replies at a deadline."""

AT_NODES = frozenset({'pause', 'held-up', 'reset', 'cut', 'kill'})
AT_TARGETS = frozenset({'crash', 'odd', 'swap'})
UNPLANNED = AT_NODES | AT_TARGETS
"""Load by other processes is not among them: no rule excuses it."""

ENDLESS = 'endless'
"""Answers without end excuse what ran at their target, not their node."""

SHORT_OF_TIME = 'short-of-time'
"""A node got no processor time for a moment; no rule excuses it either."""

SILENCING = AT_NODES | {SHORT_OF_TIME}
"""After these a node may be unable to answer by a deadline."""

STARTS = frozenset({'term', 'early', 'start', 'swap', 'crowd'})
CLOSES_ALLOWED = 3
REFUSALS = (503, 429, 408, 421)
FAILURES = (502, 504)

CLOSED_RUN = 'closed after its run'
EXCUSED_CLOSE = 'closed after its run, excused'
CLOSED_LATE = 'closed late, not run'
NO_ANSWER = 'no answer in time'
UNSURE = 'no answer in time, soak held up'
CUT = 'own 502/504 after SIGTERM, target at work'
EXCUSED = 'own 502/504 after SIGTERM, excused'
READY = 'own 502/504 after SIGTERM, target had finished'
ELSEWHERE = 'own 502/504 after a run'
LIMIT = 'limit reached'
NEAR_LIMIT = 'own 504 shortly before a limit, no stop'
IN_TOUCH = 'closed after its run, node in touch and target sound'
OTHERS = 'answer of another request'
TWICE = 'ran twice'
REFUSED_RUN = 'refused, but ran'
TURNED_AWAY = 'call of a target turned away'
GONE = 'ran after its client had left'

TIMED = (CLOSED_RUN, CLOSED_LATE, CUT, READY, NO_ANSWER)
"""Classes of which a soak that is late may be the cause."""

GRAVE = (CLOSED_RUN, CLOSED_LATE, CUT, READY, TWICE, REFUSED_RUN, OTHERS)
USUAL = frozenset({EXCUSED, LIMIT, NEAR_LIMIT, TURNED_AWAY, UNSURE})
"""Classes whose findings are only counted."""


class Run(typing.NamedTuple):
    """A run of a request at the target of a VM, with its Unix times."""

    vm: str
    began: float
    ended: float


@attrs.define(eq=False)
class Finding:
    """A request that was lost, and the kinds of what was done beside it."""

    label: str
    request: clients.Request
    runs: list[Run]
    own: list[str]
    there: list[str]

    @property
    def key(self) -> str:
        """Return the label with what was done beside it."""
        own, there = ' '.join(self.own), ' '.join(self.there)
        return f'{self.label} | own: {own} | there: {there}'

    @property
    def is_grave(self) -> bool:
        """Return whether a rule may be broken: nothing excuses it.

        What is done to other VMs does not excuse a node that lets a caller
        wait past its deadline.
        """
        if self.label == NO_ANSWER:
            return SILENCING.isdisjoint(self.own)
        is_calm = UNPLANNED.isdisjoint(self.own + self.there)
        is_calm &= ENDLESS not in self.there
        is_beside = bool(set(self.own) - {SHORT_OF_TIME})
        is_counted = self.label != CLOSED_LATE or is_beside
        return self.label in GRAVE and is_calm and is_counted


def strict(
    world: worlds.World, requests: typing.Iterable[clients.Request]
) -> collections.Counter[str]:
    """Count what callers have seen if the soak is never held up.

    No lateness of the soak and no disturbance is taken off: each request
    that ended at its deadline without a byte of an answer, and each close
    that came late without a run.
    """
    plain = attrs.evolve(world, lags=[])
    found: collections.Counter[str] = collections.Counter()
    for item in judge(plain, requests):
        request = item.request
        is_silent = request.error == 'no answer' and not request.received
        if is_silent or item.label == CLOSED_LATE:
            label = NO_ANSWER if is_silent else CLOSED_LATE
            found[f'{label} | own: {" ".join(item.own)}'] += 1
    return found


def sent_during(
    world: worlds.World, requests: typing.Iterable[clients.Request], kind: str
) -> list[clients.Request]:
    """Return the requests sent to a node while something was done to it."""
    spans = collections.defaultdict(list)
    for event in world.events:
        if event.kind == kind:
            spans[event.vm].append((event.began, event.ended))
    return [
        request
        for request in requests
        if any(a <= request.sent_at < b for a, b in spans[request.vm])
    ]


def sent_at_start(
    world: worlds.World, requests: typing.Iterable[clients.Request]
) -> dict[str, list[float]]:
    """Return what callers got from nodes soon after their start.

    They are the times until the ends of the requests by what came.
    """
    found: dict[str, list[float]] = collections.defaultdict(list)
    for request in requests:
        sent_at, vm = request.sent_at, request.vm
        if any(
            vm == name and 0 <= sent_at - began < NEAR_START_S
            for name, began in world.starts
        ):
            found[_outcome(request)].append(request.ended_at - sent_at)
    return found


def _outcome(request: clients.Request) -> str:
    """Return what a caller got."""
    if request.is_signed:
        return 'answer of a target'
    if request.status in FAILURES:
        return 'own 502/504'
    if request.status:
        return f'own {request.status}'
    if request.has_left:
        return 'left early'
    if request.error == 'no answer':
        return 'nothing'
    if request.error == 'not connected: ConnectionRefusedError':
        return 'connection refused'
    return request.error


def left_s(request: clients.Request) -> float:
    """Return how long before its deadline a request ended, in s."""
    return request.sent_at + request.deadline_s - request.ended_at


def replies_at_deadline(
    requests: typing.Iterable[clients.Request],
) -> list[clients.Request]:
    """Return requests that got 504 soon before their callers left.

    The one that had the least time left comes first.
    """
    found = [
        request
        for request in requests
        if request.status == 504 and left_s(request) < NEAR_LIMIT_S
    ]
    return sorted(found, key=left_s)


def closes(
    requests: typing.Iterable[clients.Request],
) -> list[clients.Request]:
    """Return the requests whose connection ended without an answer."""
    return [
        request
        for request in requests
        if not request.status
        and not request.has_left
        and request.error not in ('no answer', clients.UNREAD)
        and not request.error.startswith('not connected')
    ]


def collect_runs(reports: list[tuple[str, dict]]) -> dict[str, list[Run]]:
    """Return the runs of each request by its attempt id."""
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for vm, report in reports:
        for identity, spans in report['spans'].items():
            found[identity] += [Run(vm, *span) for span in spans]
    return found


def judge(
    world: worlds.World, requests: typing.Iterable[clients.Request]
) -> list[Finding]:
    """Return what was lost, with what was done beside it."""
    found = []
    all_runs = collect_runs(world.reports)
    for request in requests:
        runs = all_runs[request.identity]
        label = classify(world, request, runs)
        if label:
            own = kinds(world, request, {request.vm})
            there = kinds(world, request, {run.vm for run in runs})
            found.append(Finding(label, request, runs, own, there))
    return found


def classify(
    world: worlds.World, request: clients.Request, runs: list[Run]
) -> str:
    """Return the class of a request, or '' if nothing was lost."""
    if request.method != 'GET' and len(runs) > 1:
        return TWICE
    if request.is_signed:
        is_own = request.echo in ('', request.identity)
        return '' if is_own else OTHERS
    if request.status in REFUSALS and request.method != 'GET':
        return REFUSED_RUN if runs else ''
    if any(run.began > request.ended_at + GONE_S for run in runs):
        return GONE
    if request.has_left or request.error == clients.UNREAD:
        return ''
    if request.error == 'no answer':
        if _is_awaited(world, request, runs):
            return LIMIT
        return UNSURE if _is_unsure(world, request) else NO_ANSWER
    limit_left_s = _limit_left_s(request)
    if limit_left_s <= RESOLUTION_S:
        return LIMIT
    is_near = request.status == 504 and limit_left_s < NEAR_LIMIT_S
    if is_near and not _stop_at(world, request):
        return NEAR_LIMIT
    if request.status in FAILURES + REFUSALS and runs:
        return _classify_failure(world, request, runs)
    if request.status in REFUSALS:
        return ''
    if request.status:
        return f'own {request.status}, not run'
    if runs:
        stop = _stop_at(world, request)
        is_excused = _excuses(stop, request, runs)
        return EXCUSED_CLOSE if is_excused else CLOSED_RUN
    if _is_late(world, request):
        return CLOSED_LATE
    return TURNED_AWAY if request.is_nested else ''


def _limit_left_s(request: clients.Request) -> float:
    """Return how long before its deadline or limit a request ended, in s."""
    limit_s = min(request.deadline_s, request.route_limit_s)
    return request.sent_at + limit_s - request.ended_at


def _is_awaited(
    world: worlds.World, request: clients.Request, runs: list[Run]
) -> bool:
    """Return whether a target was at work at the deadline, beside a stop.

    An answer of the node's own before that would be in place of its work.
    """
    leaves_at = request.sent_at + request.deadline_s
    is_at_work = any(run.ended >= leaves_at or not run.ended for run in runs)
    return is_at_work and any(
        (event.kind, event.vm) == ('term', request.vm)
        and 0 <= request.ended_at - event.began <= GRACE_S + AFTER_GRACE_S
        for event in world.events
    )


def _is_unsure(world: worlds.World, request: clients.Request) -> bool:
    """Return whether the soak may itself have missed an answer in time.

    It has not sent the whole request, or was held up after the first byte or
    when it left.
    """
    began, ended = request.sent_at, request.ended_at
    return (
        not request.last_byte_at
        or world.lag_s(began, began + NEAR_S) > 0
        or world.lag_s(ended - NEAR_S, ended) > 0
    )


def _is_late(world: worlds.World, request: clients.Request) -> bool:
    """Return whether it ended too late to cross a close.

    Times at which the soak itself was held up don't count.
    """
    sent_at, ended = request.last_byte_at, request.ended_at
    seen_s = ended - sent_at - world.lag_s(request.sent_at, ended)
    return bool(sent_at) and seen_s > CROSSING_S


def _classify_failure(
    world: worlds.World, request: clients.Request, runs: list[Run]
) -> str:
    stop = _stop_at(world, request)
    if stop is None:
        return ELSEWHERE if request.status in FAILURES else ''
    if _excuses(stop, request, runs):
        return EXCUSED
    ended = request.ended_at
    at_work = any(run.ended >= ended or not run.ended for run in runs)
    return CUT if at_work else READY


def _stop_at(
    world: worlds.World, request: clients.Request
) -> worlds.Event | None:
    """Return the stop of its node during which a request ended."""
    for event in world.events:
        is_own = (event.kind, event.vm) == ('term', request.vm)
        if is_own and event.began <= request.ended_at <= event.ended + 1:
            return event
    return None


def _excuses(
    stop: worlds.Event | None, request: clients.Request, runs: list[Run]
) -> bool:
    """Return whether a request was sent early and its target took too long.

    Its target must have been at work in the last sixth of the grace period.
    A run that was dropped counts as at work until the request ended.
    """
    if stop is None:
        return False
    late = stop.began + GRACE_S * 5 / 6
    was_at_work = any(run.ended >= late or not run.ended for run in runs)
    return (
        was_at_work
        and request.ended_at >= late
        and request.sent_at <= stop.began + LATE_SENT_S
    )


def kinds(
    world: worlds.World, request: clients.Request, vms: set[str]
) -> list[str]:
    """Return the kinds of what was done to VMs beside a request."""
    return sorted({event.kind for event in events(world, request, vms)})


def events(
    world: worlds.World, request: clients.Request, vms: set[str]
) -> list[worlds.Event]:
    """Return what was done to VMs beside a request."""
    vms = vms | {worlds.EVERYWHERE} if vms else vms
    return [
        event
        for event in world.events
        if event.vm in vms
        and event.began <= request.ended_at
        and event.ended >= request.sent_at - STABLE_S
    ]


def nested_requests(world: worlds.World) -> list[clients.Request]:
    """Return the calls of targets to their nodes that have ended."""
    found = []
    for vm, report in world.reports:
        for call in report['nested']:
            identity, status, is_signed, sent, ended, limit, *what = call
            if not ended:
                continue
            request = clients.Request(identity, vm, *what, 0.0, limit)
            request.is_nested = True
            request.sent_at = request.last_byte_at = sent
            request.ended_at = ended
            request.status, request.is_signed = status, is_signed
            found.append(request)
    return found


def in_touch(
    world: worlds.World, findings: typing.Iterable[Finding]
) -> list[Finding]:
    """Return the closes that count at any time, whatever is elsewhere.

    They are of kept connections, after a run at a sound target, by nodes to
    which nothing was done; more than ``CLOSES_ALLOWED`` break a rule.
    """
    return [
        item
        for item in findings
        if item.label in (CLOSED_RUN, EXCUSED_CLOSE)
        and item.request.is_kept
        and (AT_NODES | STARTS).isdisjoint(item.own)
        and _is_sound(kinds(world, item.request, {_last_vm(item)}))
    ]


def _is_sound(done: list[str]) -> bool:
    """Return whether nothing was done to a target."""
    return (AT_TARGETS | {ENDLESS}).isdisjoint(done)


def _last_vm(item: Finding) -> str:
    """Return the VM whose target has run a request last."""
    return max(item.runs, key=lambda run: run.began).vm


def problems(world: worlds.World, findings: list[Finding]) -> list[str]:
    """Return what no disturbance excuses."""
    grave = [item.key for item in findings if item.is_grave]
    closes = in_touch(world, findings)
    if len(closes) > CLOSES_ALLOWED:
        grave += [f'{len(closes)} {IN_TOUCH}']
    ends = [f'{name} ended with {code}' for name, code in world.exits if code]
    traces = [
        f'{name}: traceback in its log'
        for name in world.vms
        if 'Traceback' in (world.processes.folder / f'{name}.log').read_text()
    ]
    excesses = [
        f'{name} used {used_kb // 1024} MB of {world.memory_mb} MB, killed'
        for name, used_kb in world.excesses
    ]
    return grave + ends + traces + excesses


def certain(found: typing.Iterable[str]) -> list[str]:
    """Return the problems that no lateness of the soak can have caused."""
    return [
        text
        for text in found
        if not text.startswith(TIMED) and not text.endswith(IN_TOUCH)
    ]
