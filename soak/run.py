"""Runs a soak: load, disturbances, and the report of what was lost."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import shutil
import time
import typing

import attrs

from soak import checks
from soak import clients
from soak import disturbances as acts
from soak import world as worlds
from standins import fleet

Act = typing.Callable[[worlds.World], typing.Awaitable[None]]

SHOWN = 4
NEAR_S = 1.2
DETAIL_WORDS = (
    'peers:',
    'held up',
    'http: connection',
    'node: stop',
    'front: call failed',
)


@attrs.frozen
class Mix:
    """Series of disturbances that overlap, and habits of the clients."""

    series: tuple[Act, ...]
    habits: clients.Habits = clients.Habits()
    has_proxies: bool = False


MIXES = {
    'stops': Mix((acts.stop, acts.stop, acts.hup, acts.configure)),
    'pauses': Mix((acts.stop, acts.stop, acts.pause, acts.pause)),
    'heldup': Mix((acts.stop_held_up, acts.stop_held_up, acts.configure)),
    'early': Mix((acts.stop_early, acts.stop_early, acts.hup)),
    'busy': Mix((acts.stop, acts.stop, acts.busy, acts.hup)),
    'cuts': Mix(
        (acts.stop, acts.stop, acts.reset, acts.cut), has_proxies=True
    ),
    'replace': Mix((acts.stop, acts.stop, acts.replace, acts.replace)),
    'nested': Mix(
        (acts.stop, acts.stop, acts.hup, acts.configure),
        clients.Habits(nested_share=0.5),
    ),
    'idle': Mix(
        (acts.stop, acts.stop, acts.limit, acts.hup),
        clients.Habits(clients=30, long_idle_share=0.6),
    ),
    'idlepause': Mix(
        (acts.stop_held_up, acts.limit, acts.pause, acts.pause),
        clients.Habits(clients=30, long_idle_share=0.6),
    ),
    'crowd': Mix(
        (acts.stop, acts.stop, acts.configure),
        clients.Habits(clients=80, long_idle_share=0.2, pause_s=4.0),
    ),
    'store': Mix((acts.stop, acts.stop, acts.lose_store, acts.configure)),
    'uploads': Mix(
        (acts.stop, acts.stop, acts.hup, acts.limit),
        clients.Habits(upload_share=0.5),
    ),
    'planned': Mix(
        (acts.stop, acts.stop, acts.hup, acts.configure, acts.replace),
        clients.Habits(long_idle_share=0.1, nested_share=0.2),
    ),
    'all': Mix(
        (
            acts.stop,
            acts.stop,
            acts.hup,
            acts.limit,
            acts.replace,
            acts.lose_store,
            acts.pause,
        ),
        clients.Habits(
            clients=12,
            long_idle_share=0.1,
            nested_share=0.1,
            upload_share=0.1,
        ),
    ),
}


@attrs.define(eq=False)
class Result:
    """What a soak has seen."""

    title: str
    world: worlds.World
    requests: list[clients.Request]
    reports: list[tuple[str, dict]]
    findings: list[checks.Finding]
    lag_s: float
    problems: list[str]


async def play(
    mix_name: str,
    seed: int,
    seconds: float,
    node_count: int,
    keep: pathlib.Path | None = None,
) -> Result:
    """Run a soak; keep the logs and the report if something was found."""
    mix = MIXES[mix_name]
    title = f'{mix_name}-{seed}-{node_count}'
    async with fleet.Fleet.open() as processes:
        world = worlds.World(
            processes,
            random=random.Random(seed),
            has_proxies=mix.has_proxies,
        )
        try:
            await world.start(node_count)
            result = await _load(world, mix, seed, seconds, title)
        finally:
            for proxy in world.proxies.values():
                proxy.close()
        text = report(result)
        print(text, flush=True)
        if keep is not None and (has_unusual(result) or result.problems):
            folder = keep / title
            shutil.copytree(processes.folder, folder, dirs_exist_ok=True)
            (folder / 'report.txt').write_text(text)
        return result


async def _load(
    world: worlds.World, mix: Mix, seed: int, seconds: float, title: str
) -> Result:
    """Run clients and disturbances, and judge what was seen."""
    until, quiet = asyncio.Event(), asyncio.Event()
    callers = [
        clients.Client(
            world,
            mix.habits,
            vm,
            number,
            random.Random(f'{seed} {vm} {number}'),
        )
        for vm in world.vms
        for number in range(mix.habits.clients)
    ]
    lag = asyncio.create_task(_measure_lag(until))
    async with asyncio.TaskGroup() as load:
        for caller in callers:
            load.create_task(caller.run(until))
        async with asyncio.TaskGroup() as series:
            for act in mix.series:
                series.create_task(_repeat(world, act, quiet))
            await asyncio.sleep(seconds)
            quiet.set()
        until.set()
    reports = await world.all_reports()
    requests = [request for one in callers for request in one.requests]
    findings = checks.judge(world, requests, checks.collect_runs(reports))
    problems = [item.key for item in findings if item.is_grave]
    problems += [f'{n} ended with {c}' for n, c in checks.bad_exits(world)]
    problems += checks.tracebacks(world)
    return Result(
        title, world, requests, reports, findings, await lag, problems
    )


async def _repeat(world: worlds.World, act: Act, quiet: asyncio.Event) -> None:
    while not quiet.is_set():
        await asyncio.sleep(world.random.uniform(0.1, 0.8))
        await act(world)


async def _measure_lag(until: asyncio.Event) -> float:
    """Return the longest time for which the loop of the soak was held up."""
    longest = 0.0
    while not until.is_set():
        began = time.time()
        await asyncio.sleep(0.05)
        longest = max(longest, time.time() - began - 0.05)
    return longest


def has_unusual(result: Result) -> bool:
    """Return whether a finding is worth keeping the logs."""
    lost = checks.nested_requests(result.reports)
    labels = {item.label for item in result.findings}
    return bool(lost or labels - checks.USUAL)


def report(result: Result) -> str:
    """Return the report of a soak as text."""
    world = result.world
    statuses = collections.Counter(r.status for r in result.requests)
    done = collections.Counter(event.kind for event in world.events)
    keys = collections.Counter(item.key for item in result.findings)
    lines = [
        f'== {result.title}: {len(result.requests)} requests, '
        f'statuses {dict(statuses)}, done {dict(done)}, '
        f'lag {result.lag_s:.2f} s',
        *(f'{count:5d} {key}' for key, count in keys.most_common()),
        *(f'PROBLEM {text}' for text in sorted(set(result.problems))),
    ]
    nested = checks.nested_requests(result.reports)
    total = sum(len(r.get('nested', ())) for _, r in result.reports)
    lines.append(f'{len(nested):5d} {checks.NESTED} of {total}')
    lines += [f'      {vm} {call}' for vm, call in nested[:SHOWN]]
    shown: collections.Counter = collections.Counter()
    for item in result.findings:
        shown[item.key] += 1
        if shown[item.key] <= SHOWN and item.label not in checks.USUAL:
            lines += describe(world, item)
    return '\n'.join(lines)


def describe(world: worlds.World, item: checks.Finding) -> list[str]:
    """Return a finding with the log lines beside it."""
    request = item.request
    base = request.sent_at
    lines = [
        f'-- {item.key}',
        f'   {request.identity} {request.method} place {request.place} after '
        f'{request.idle_s:.2f} s, work {request.work_s} deadline '
        f'{request.deadline_s} up {request.body_bytes} down '
        f'{request.answer_bytes}: sent {base:.3f}, last byte '
        f'{request.last_byte_at - base:+.3f}, end '
        f'{request.ended_at - base:+.3f}, status {request.status} '
        f'{request.error}, received {request.received}',
    ]
    lines += [
        f'   ran at {run.vm} {run.began - base:+.3f} to '
        f'{run.ended - base:+.3f}'
        for run in item.runs
    ]
    vms = {request.vm, *(run.vm for run in item.runs), worlds.EVERYWHERE}
    lines += [
        f'   {event.kind} {event.vm} {event.began - base:+.3f} to '
        f'{event.ended - base:+.3f} {event.detail}'
        for event in world.events
        if event.vm in vms
        and event.began <= request.ended_at
        and event.ended >= base - checks.STABLE_S
    ]
    return lines + list(_near(world, item, vms))


def _near(
    world: worlds.World, item: checks.Finding, vms: set[str]
) -> typing.Iterator[str]:
    request = item.request
    for vm, moment, line in world.log_lines():
        is_near = (
            vm in vms
            and abs(moment - request.ended_at) < NEAR_S
            and any(word in line for word in DETAIL_WORDS)
        )
        if is_near or f'"{request.identity}"' in line:
            yield f'   {moment - request.sent_at:+.3f} {vm}: {line[:300]}'
