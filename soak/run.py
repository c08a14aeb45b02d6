"""Runs a soak: load and disturbances."""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import time
import typing

import attrs

from soak import callers
from soak import checks
from soak import clients
from soak import deployments
from soak import disturbances as acts
from soak import memory
from soak import report as reports
from soak import shortages
from soak import troubles
from soak import world as worlds
from standins import fleet

Act = typing.Callable[[worlds.World], typing.Awaitable[None]]


@attrs.frozen
class Mix:
    """Series of disturbances that overlap, and habits of the clients.

    Parameters
    ----------
    leave_share : float
        Share of the requests of ``callers`` that they give up early.
    stay_share : float
        Share of their requests that go on to nodes that stop.
    start_share : float
        Share of their requests that go to nodes that start.
    memory_mb : int
        Memory that nodes are told that they may use, above which they are
        killed; 0 if they are told none.
    """

    series: tuple[Act, ...]
    habits: clients.Habits = clients.Habits()
    deployment: deployments.Deployment = deployments.TWO_SERVICES
    leave_share: float = 0.0
    stay_share: float = 0.0
    start_share: float = 0.0
    memory_mb: int = 0

    @property
    def has_proxies(self) -> bool:
        """Return whether nodes need proxies."""
        return acts.cut in self.series


STOPS = (acts.stop, acts.stop)
IDLE = clients.Habits(clients=30, long_idle_share=0.6)
MIXED = clients.Habits(10, 0.1, 0.1, 0.1)
LOOK_S = 0.02
"""Time between two looks at the clock."""

CALLERS = 7
ALL_CALLERS = 56
"""Callers for each VM of a domain, and for all. They share one event loop,
which is late with more."""

TRIES = 3


def _short(*series: Act, leave_share: float = 0.0) -> Mix:
    """Return stops, idle times that change and more, short deadlines."""
    return Mix(
        (*STOPS, acts.limit, *series),
        deployment=deployments.SHORT_DEADLINES,
        leave_share=leave_share,
    )


SHORT_MIXES = {
    'short': _short(acts.hup, acts.configure),
    'short-targets': _short(
        troubles.crash, troubles.answer_oddly, troubles.answer_oddly
    ),
    'short-store': _short(troubles.vex_store, acts.configure),
    'short-era': _short(troubles.restore_store, acts.configure),
    'short-reuse': _short(troubles.swap, acts.replace),
    'short-herd': _short(troubles.stop_all, acts.stop_early),
    'short-crowd': _short(troubles.stop_crowded, troubles.stop_crowded),
    'short-leave': _short(acts.hup, troubles.freeze, leave_share=0.3),
    'short-others': _short(troubles.kill, troubles.freeze, troubles.freeze),
    'short-busy': _short(acts.busy, acts.hup),
    'short-all': _short(
        troubles.crash,
        troubles.answer_oddly,
        troubles.vex_store,
        troubles.kill,
        troubles.freeze,
        leave_share=0.05,
    ),
}
SHORTAGES = (
    *(acts.stop, shortages.stop, acts.limit),
    *(shortages.hold_up, shortages.hold_up, shortages.hold_up_stopping),
)
SHORTAGE_MIXES = {
    'shortage-idle': Mix(SHORTAGES, IDLE),
    'shortage-short': Mix(SHORTAGES, deployment=deployments.SHORT_DEADLINES),
    'shortage-longer': Mix(SHORTAGES, deployment=deployments.LONGER_DEADLINES),
    'shortage-busy': Mix(
        (*STOPS, acts.limit, acts.busy, shortages.hold_up),
        deployment=deployments.LONGER_DEADLINES,
    ),
}
LONGER_MIXES = {
    'longer': Mix(
        (*STOPS, acts.limit, acts.hup),
        deployment=deployments.LONGER_DEADLINES,
    ),
    'longer-all': Mix(
        (
            *(*STOPS, acts.limit, acts.hup, troubles.crash),
            *(troubles.answer_oddly, troubles.vex_store, troubles.kill),
        ),
        deployment=deployments.LONGER_DEADLINES,
        leave_share=0.05,
    ),
}
OPEN_SERIES = (
    *(acts.stop, acts.stop, acts.stop, acts.stop_early),
    *(acts.hup, acts.hup_stopping, acts.configure, acts.limit),
)
"""Up to four stops at a time."""

STAY_SHARE = 0.7
START_SHARE = 0.15


def _open(
    deployment: deployments.Deployment, *series: Act, start_share: float = 0.0
) -> Mix:
    """Return stops whose callers go on using open connections, and more."""
    return Mix(
        (*OPEN_SERIES, *series),
        deployment=deployment,
        stay_share=STAY_SHARE,
        start_share=start_share,
    )


OPEN_DEPLOYMENTS = {
    'short': deployments.SHORT_DEADLINES_OPEN,
    'longer': deployments.LONGER_DEADLINES_OPEN,
}


def _in_turn(deployment: deployments.Deployment) -> Mix:
    """Return stops of all nodes in turn, whose starts meet requests."""
    return Mix(
        (acts.stop_in_turn, acts.hup, acts.configure, acts.limit),
        deployment=deployment,
        stay_share=STAY_SHARE,
        start_share=START_SHARE,
    )


OPEN_MIXES = {
    f'{kind}-{name}': mix
    for name, deployment in OPEN_DEPLOYMENTS.items()
    for kind, mix in (
        ('open', _open(deployment)),
        ('slow', _open(deployment, troubles.slow, troubles.slow)),
        ('starting', _open(deployment, start_share=START_SHARE)),
        ('turn', _in_turn(deployment)),
    )
}
ENDLESS = (
    *(*STOPS, acts.hup, acts.configure, acts.limit),
    *(memory.answer_endlessly, memory.answer_endlessly),
)
ENDLESS_MIXES = {
    'endless': Mix(ENDLESS, memory_mb=memory.LIMIT_MB),
    'endless-short': Mix(
        ENDLESS,
        deployment=deployments.SHORT_DEADLINES_OPEN,
        stay_share=STAY_SHARE,
        memory_mb=memory.LIMIT_MB,
    ),
}
MIXES = (
    SHORT_MIXES
    | SHORTAGE_MIXES
    | LONGER_MIXES
    | OPEN_MIXES
    | ENDLESS_MIXES
    | {
        'stops': Mix((*STOPS, acts.hup, acts.configure)),
        'planned': Mix(
            (*STOPS, acts.hup, acts.configure, acts.replace), MIXED
        ),
        'pauses': Mix((*STOPS, acts.pause, acts.pause)),
        'heldup': Mix((acts.stop_held_up, acts.stop_held_up, acts.configure)),
        'early': Mix((acts.stop_early, acts.stop_early, acts.hup)),
        'hups': Mix((*STOPS, acts.hup_stopping)),
        'busy': Mix((*STOPS, acts.busy, acts.hup)),
        'cuts': Mix((*STOPS, acts.reset, acts.cut)),
        'replace': Mix((*STOPS, acts.replace, acts.replace)),
        'nested': Mix(
            (*STOPS, acts.hup, acts.configure),
            clients.Habits(nested_share=0.5),
        ),
        'idle': Mix((*STOPS, acts.limit, acts.hup), IDLE),
        'idlepause': Mix(
            (acts.stop_held_up, acts.limit, acts.pause, acts.pause), IDLE
        ),
        'crowd': Mix(
            (*STOPS, acts.configure),
            clients.Habits(clients=80, long_idle_share=0.2, pause_s=3.0),
        ),
        'store': Mix((*STOPS, acts.lose_store, acts.configure)),
        'era': Mix((*STOPS, troubles.restore_store, acts.configure)),
        'uploads': Mix(
            (*STOPS, acts.hup, acts.limit), clients.Habits(upload_share=0.5)
        ),
        'all': Mix(
            (*STOPS, acts.limit, acts.replace, acts.lose_store, acts.pause),
            MIXED,
        ),
    }
)


@attrs.define(eq=False)
class Result:
    """What a soak has seen."""

    requests: list[clients.Request]
    findings: list[checks.Finding]
    problems: list[str]
    report: str
    late_s: float = 0.0

    @property
    def is_late(self) -> bool:
        """Return whether the soak was held up, so that it counts as not run.

        What it has found shows nothing then, but for certain problems.
        """
        return self.late_s > checks.MAX_LATE_S

    @property
    def exit_code(self) -> int:
        """Return 1 for problems, 2 for a run that counts as not run."""
        if checks.certain(self.problems):
            return 1
        return 2 if self.is_late else int(bool(self.problems))


async def play_on_time(
    play_once: typing.Callable[[int], typing.Awaitable[Result]], count: int
) -> list[Result]:
    """Play with half the callers again while a soak is late; return all."""
    results: list[Result] = []
    while len(results) < TRIES and count:
        results.append(await play_once(count))
        if results[-1].exit_code != 2:
            break
        count //= 2
    return results


def usual_callers(mix_name: str, node_count: int) -> int:
    """Return how many callers each VM has if no number is given."""
    mix = MIXES[mix_name]
    if not mix.deployment.kinds:
        return mix.habits.clients
    return max(1, min(CALLERS, ALL_CALLERS // node_count))


async def play(
    mix_name: str,
    seed: int,
    seconds: float,
    node_count: int,
    keep: pathlib.Path | None = None,
    count: int = 0,
) -> Result:
    """Run a soak; keep the logs and the report if something was found.

    Parameters
    ----------
    count : int
        Callers of each VM; 0 for the usual number.
    """
    mix, title = MIXES[mix_name], f'{mix_name}-{seed}-{node_count}'
    count = count or usual_callers(mix_name, node_count)
    async with fleet.Fleet.open() as processes:
        world = worlds.World(
            processes,
            deployment=mix.deployment,
            random=random.Random(seed),
            memory_mb=mix.memory_mb,
        )
        try:
            await world.start(node_count, has_proxies=mix.has_proxies)
            senders = _senders(world, mix, seed, count)
            requests, late_s = await _load(world, mix, senders, seconds)
            for name in world.vms:
                await world.keep_report(name)
        except BaseException:
            _keep(processes, keep, f'{title}-failed')
            raise
        finally:
            for proxy in world.proxies.values():
                proxy.close()
        requests += world.crowds + checks.nested_requests(world)
        findings = checks.judge(world, requests)
        problems = checks.problems(world, findings)
        text = '\n'.join(
            (
                reports.lateness(late_s, count),
                f'== {title}: '
                + reports.build(world, requests, findings, problems),
            )
        )
        unusual = {item.label for item in findings} - checks.USUAL
        (processes.folder / 'report.txt').write_text(text)
        result = Result(requests, findings, problems, text, late_s)
        has_found = problems or unusual or checks.strict(world, requests)
        if has_found and result.exit_code != 2:
            _keep(processes, keep, title)
        return result


def _keep(
    processes: fleet.Fleet, keep: pathlib.Path | None, title: str
) -> None:
    """Copy the logs of all processes to a folder, if one is given."""
    if keep is not None:
        shutil.copytree(processes.folder, keep / title, dirs_exist_ok=True)


async def _load(
    world: worlds.World,
    mix: Mix,
    senders: list[clients.Client | callers.Caller],
    seconds: float,
) -> tuple[list[clients.Request], float]:
    """Run clients and disturbances; return requests and the longest lag."""
    until, quiet = asyncio.Event(), asyncio.Event()
    async with asyncio.TaskGroup() as load:
        for sender in senders:
            load.create_task(sender.run(until))
        for name in world.vms:
            load.create_task(callers.watch(world, name, until))
        if world.memory_mb:
            load.create_task(memory.watch(world, until))
        lag = load.create_task(_measure_lag(world, until))
        async with asyncio.TaskGroup() as series:
            for act in mix.series:
                series.create_task(_repeat(world, act, quiet))
            await asyncio.sleep(seconds)
            quiet.set()
        until.set()
    return [item for one in senders for item in one.requests], lag.result()


def _senders(
    world: worlds.World, mix: Mix, seed: int, count: int
) -> list[clients.Client | callers.Caller]:
    """Return the clients of all nodes, or the callers of all domains."""
    if not mix.deployment.kinds:
        return [
            clients.Client(
                world, mix.habits, vm, i, random.Random(f'{seed}{vm}{i}')
            )
            for vm in world.vms
            for i in range(count)
        ]
    kept: dict[str, list[callers.Connection]] = {}
    return [
        callers.Caller(
            world,
            vm.domain,
            i,
            random.Random(f'{seed}{name}{i}'),
            kept,
            mix.leave_share,
            mix.stay_share,
            mix.start_share,
            f'{name}-c',
        )
        for name, vm in world.vms.items()
        for i in range(count)
    ]


async def _repeat(world: worlds.World, act: Act, quiet: asyncio.Event) -> None:
    while not quiet.is_set():
        await world.sleep(0.2, 1.0)
        await act(world)


async def _measure_lag(world: worlds.World, until: asyncio.Event) -> float:
    """Note when the soak is held up; return the longest time."""
    longest = 0.0
    while not until.is_set():
        due = time.time() + LOOK_S
        await asyncio.sleep(LOOK_S)
        late_s = time.time() - due
        if late_s > LOOK_S:
            world.lags.append((due, due + late_s))
        longest = max(longest, late_s)
    return longest
