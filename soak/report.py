"""The report of a soak, with the log lines beside what was lost."""

from __future__ import annotations

import collections
import datetime
import json
import os
import statistics
import typing

from soak import checks

if typing.TYPE_CHECKING:
    from soak import clients
    from soak import world as worlds

SHOWN = 4
NEAR_S = 1.2
LATE_REPLY_S = 0.015
"""Time left to a caller below which a reply is told, half of what is kept."""

WORDS = ('peers:', 'held up', 'http: conn', 'node: st', 'call failed')


def lateness(late_s: float, callers: int) -> str:
    """Return the first line: how late the soak was, and its load."""
    load = ' '.join(f'{item:.0f}' for item in os.getloadavg())
    line = (
        f'late by {late_s:.2f} s at most, {callers} callers a VM, '
        f'load average {load}'
    )
    if late_s <= checks.MAX_LATE_S:
        return line
    return (
        f'NOT RUN: {line}; by over {checks.MAX_LATE_S} s it shows nothing '
        'but what no lateness can cause. Use fewer --callers.'
    )


def build(
    world: worlds.World,
    requests: list[clients.Request],
    findings: list[checks.Finding],
    problems: list[str],
) -> str:
    """Return the report as text."""
    statuses = collections.Counter(request.status for request in requests)
    unanswered = collections.Counter(
        ('target: ' if request.is_nested else '') + (request.error or 'none')
        for request in requests
        if not request.status
    )
    done = collections.Counter(event.kind for event in world.events)
    keys = collections.Counter(item.key for item in findings)
    strict = checks.strict(world, requests).most_common()
    lines = [
        f'{len(requests)} requests, {dict(statuses)}, {dict(done)}',
        f'without a status: {dict(unanswered)}',
        *(f'{count:5d} {key}' for key, count in keys.most_common()),
        f'{len(checks.in_touch(world, findings)):5d} {checks.IN_TOUCH}',
        *(f'{count:5d} strictly: {key}' for key, count in strict),
        *(
            f'sent during {kind}: {_summary(world, requests, kind)}'
            for kind in ('term', 'start')
        ),
        *_starts(world, requests),
        *_reply_times(world, requests),
        *_closes(world, requests),
        *_silences(world, findings),
        *_peaks(world),
        *(f'PROBLEM {text}' for text in sorted(set(problems))),
    ]
    shown: collections.Counter = collections.Counter()
    for item in findings:
        shown[item.key] += 1
        if shown[item.key] <= SHOWN and item.label not in checks.USUAL:
            lines += _describe(world, item)
    return '\n'.join(lines)


def _summary(
    world: worlds.World, requests: list[clients.Request], kind: str
) -> str:
    """Return how requests ended that were sent while a node was disturbed."""
    found = checks.sent_during(world, requests, kind)
    ends = collections.Counter(item.status or item.error for item in found)
    longest_s = max(
        (item.ended_at - item.sent_at for item in found), default=0
    )
    return f'{len(found)}, {dict(ends)}, longest {longest_s:.2f} s'


def _starts(
    world: worlds.World, requests: list[clients.Request]
) -> typing.Iterator[str]:
    """Yield what callers got from nodes soon after their start, in s."""
    found = checks.sent_at_start(world, requests)
    count = sum(map(len, found.values()))
    yield f'sent within {checks.NEAR_START_S:g} s of a start: {count}'
    for outcome, times in sorted(found.items()):
        yield (
            f'{len(times):5d} {outcome}, after {statistics.median(times):.3f} '
            f's in the middle, {max(times):.3f} s at most'
        )


def _reply_times(
    world: worlds.World, requests: list[clients.Request]
) -> typing.Iterator[str]:
    """Yield a line on replies 504 at a deadline, and one on each late one."""
    replies = checks.replies_at_deadline(requests)
    for is_signed, name in ((False, 'nodes'), (True, 'targets')):
        times = [
            round(checks.left_s(request) * 1000)
            for request in replies
            if request.is_signed == is_signed
        ]
        yield f'{len(times)} replies of {name} at a deadline, ms left: {times}'
    for request in replies:
        ended_at = request.ended_at
        if checks.left_s(request) < LATE_REPLY_S:
            yield (
                f'late reply: {request.identity} {request.method} at '
                f'{request.vm}, {checks.left_s(request):.3f} s left of '
                f'{request.deadline_s:.2f} s, soak late by '
                f'{world.lag_s(ended_at - checks.NEAR_S, ended_at):.3f} s, '
                f'own: {" ".join(checks.kinds(world, request, {request.vm}))}'
            )


def _peaks(world: worlds.World) -> typing.Iterator[str]:
    """Yield a line with the most memory that each node has used."""
    if world.peaks_kb:
        peaks = {name: kb // 1024 for name, kb in world.peaks_kb.items()}
        yield f'most memory used, in MB of {world.memory_mb} MB: {peaks}'


def _closes(
    world: worlds.World, requests: list[clients.Request]
) -> typing.Iterator[str]:
    """Yield a line on each close: nothing is excused or taken off in it."""
    for request in checks.closes(requests):
        sent_at, ended_at = request.sent_at, request.ended_at
        whole_s = request.last_byte_at and request.last_byte_at - sent_at
        done = checks.kinds(world, request, {request.vm})
        yield (
            f'closed: {request.identity} {request.method} at {request.vm}, '
            f'{request.error or "no status"} after {ended_at - sent_at:.3f} s,'
            f' whole after {whole_s:.3f} s, place {request.place}, idle '
            f'{request.idle_s:.2f} s, soak late by '
            f'{world.lag_s(sent_at - request.idle_s, ended_at):.2f} s, own: '
            f'{" ".join(done)}'
        )


def _silences(
    world: worlds.World, findings: list[checks.Finding]
) -> typing.Iterator[str]:
    """Yield a line on each request that had no answer by its deadline."""
    for item in findings:
        if item.label not in (checks.NO_ANSWER, checks.UNSURE):
            continue
        request, base = item.request, item.request.sent_at
        runs = ' '.join(
            f'{run.vm} {run.began - base:+.3f} to {run.ended - base:+.3f}'
            for run in item.runs
        )
        late_s = world.lag_s(base, request.ended_at)
        yield (
            f'silence: {request.identity} {request.method} at {request.vm}, '
            f'{request.deadline_s:.2f} s, place {request.place}, soak late by '
            f'{late_s:.2f} s, own: {" ".join(item.own)}, ran: {runs or "no"}'
        )


def _describe(world: worlds.World, item: checks.Finding) -> list[str]:
    request, base = item.request, item.request.sent_at
    vms = {request.vm, *(run.vm for run in item.runs)}
    return [
        f'-- {item.key}',
        f'   {request}',
        f'   last byte {request.last_byte_at - base:+.3f}, '
        f'end {request.ended_at - base:+.3f}',
        *(
            f'   ran at {r.vm} {r.began - base:+.3f} to {r.ended - base:+.3f}'
            for r in item.runs
        ),
        *(
            f'   {event.kind} {event.vm} {event.began - base:+.3f} to '
            f'{event.ended - base:+.3f} {event.detail}'
            for event in checks.events(world, request, vms)
        ),
        *_near(world, request, vms),
    ]


def _near(
    world: worlds.World, request: clients.Request, vms: set[str]
) -> typing.Iterator[str]:
    """Yield the lines of logs that name a request or are close to its end."""
    for vm in world.vms:
        path = world.processes.folder / f'{vm}.log'
        for line in path.read_text(errors='replace').splitlines():
            moment = _time_of(line)
            is_near = (
                vm in vms
                and abs(moment - request.ended_at) < NEAR_S
                and any(word in line for word in WORDS)
            )
            if is_near or f'"{request.identity}"' in line:
                yield f'   {moment - request.sent_at:+.3f} {vm}: {line[:300]}'


def _time_of(line: str) -> float:
    """Return the Unix time of a line, or 0."""
    try:
        stamp = json.loads(line)['timestamp']
    except (ValueError, KeyError, TypeError):
        return 0.0
    return datetime.datetime.fromisoformat(stamp).timestamp()
