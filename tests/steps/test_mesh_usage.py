"""Steps for the usage reports of a deployment, with real processes."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import signal
import time
import typing

import behave

from soak import proxy as proxies
from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps

WINDOW_S = 5
LATEST_S = 10.0
SHARE_OFF = 0.05
THAW_S = 0.3
CALLS_PER_S = 40
TROUBLE_AT_S = 8.0
KEYS = {'pulo780': 'key-of-pulo', 'samlag': 'key-of-samlag'}
TEAMS = ('pulo780', 'pulo780', 'pulo780', 'samlag')
HOLDER = 'pomelobend_usage_holder'
STORE, API = 'store', 'api'


@behave.given('a mesh of two domains that reports usage')
def given_mesh(context: typing.Any) -> None:
    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet)
        await context.mesh.start_store()
        await context.mesh.start_usage_api()
        document = mesh.configuration(2)
        document['tenants'] = [
            {'name': name, 'api_keys': [key]} for name, key in KEYS.items()
        ]
        await context.mesh.write('config', 'main', document)
        context.proxies = {}
        for domain, number in itertools.product(('vik', 'hella'), (1, 2)):
            await _add_vm(context, f'{domain}-{number}', domain)
        await asyncio.gather(
            *(_until_serving(context, name) for name in context.mesh.vms)
        )

    context.run(start())


async def _add_vm(context: typing.Any, name: str, domain: str) -> None:
    """Start a VM that reaches the store and the API through proxies."""
    addresses = {}
    for place, target in (
        (STORE, context.mesh.store_address),
        (API, context.mesh.usage_address),
    ):
        proxy = proxies.Proxy(target)
        (port,) = fleet.free_ports(1)
        addresses[place] = f'127.0.0.1:{port}'
        await proxy.listen(addresses[place])
        context.stack.callback(proxy.close)
        context.proxies[name, place] = proxy
    vms = context.mesh.vms
    common = (context.mesh.store_address, context.mesh.usage_address)
    try:
        context.mesh.store_address = addresses[STORE]
        context.mesh.usage_address = addresses[API]
        vm = context.mesh.add_vm(name, domain, 'tonabok')
    finally:
        context.mesh.store_address, context.mesh.usage_address = common
    vm.store_address, vm.usage_address = addresses[STORE], addresses[API]
    assert vms[name] is vm


async def _until_serving(context: typing.Any, name: str) -> None:
    async def is_serving() -> bool:
        status, *_ = await _call(context, name, 'pulo780', f'first-{name}')
        return status == 200

    await context.fleet.wait_until(is_serving, path_steps.START_S)


async def _call(
    context: typing.Any, name: str, team: str, identity: str
) -> tuple[int, dict, str]:
    return await context.mesh.call(
        name,
        path_steps.LOOKUP,
        identity,
        authorization=f'Bearer {KEYS[team]}',
    )


@behave.when(
    'calls of two teams are sent for {seconds:d} s, and after 8 s {trouble}'
)
def when_calls(context: typing.Any, seconds: int, trouble: str) -> None:
    async def act() -> None:
        context.holder = await _holder(context)
        context.healed = []
        context.started_at = time.time()
        context.duty_calls = await _duty_calls(context)
        load = asyncio.create_task(_load(context, seconds, trouble))
        await asyncio.sleep(TROUBLE_AT_S)
        await TROUBLES[trouble](context)
        await load
        context.ended_at = time.time()
        await asyncio.sleep(LATEST_S)
        minutes = (time.time() - context.started_at) / 60
        calls = await _duty_calls(context)
        context.calls_per_minute = (calls - context.duty_calls) / minutes
        context.reports = await context.mesh.usage_reports()
        context.truth = await _truth(context)

    context.run(act())


async def _holder(context: typing.Any) -> str:
    """Return the node that has the duty, once there is one."""
    found: list[str] = []

    async def is_found() -> bool:
        for name in context.mesh.vms:
            metrics = await path_steps.read_metrics(context, name)
            if metrics[HOLDER] == 1:
                found.append(name)
        return bool(found)

    await context.fleet.wait_until(is_found, 20)
    return found[0]


async def _load(context: typing.Any, seconds: int, trouble: str) -> None:
    """Send calls at a steady rate, none through the holder."""
    names = itertools.cycle(
        [name for name in context.mesh.vms if name != context.holder]
    )
    began = time.monotonic()
    tasks = []
    for number in range(seconds * CALLS_PER_S):
        team = TEAMS[number % len(TEAMS)]
        call = _call(context, next(names), team, f'call-{number}')
        tasks.append(asyncio.create_task(call))
        due = began + number / CALLS_PER_S
        await asyncio.sleep(max(due - time.monotonic(), 0))
    await asyncio.gather(*tasks)


async def _truth(context: typing.Any) -> dict[int, collections.Counter]:
    """Return the calls that targets have begun, by window and team."""
    counts = collections.defaultdict(collections.Counter)
    for name in context.mesh.vms:
        report = await context.mesh.report(name)
        for identity, spans in report['spans'].items():
            _, team = report['identities'][identity]
            for began, _ in spans:
                counts[int(began // WINDOW_S)][team] += 1
    return counts


async def _duty_calls(context: typing.Any) -> int:
    """Return how often the store was called for the duty."""
    found = await context.fleet.get_json(
        context.mesh.store_address, '/stand-in/counts-by-kind'
    )
    return found.get('pomelobend-duties', 0)


async def nothing(context: typing.Any) -> None:
    """Leave the mesh as it is."""


async def kill_holder(context: typing.Any) -> None:
    """Kill the node that has the duty."""
    context.mesh.vms[context.holder].node.signal(signal.SIGKILL)


async def pause_holder(context: typing.Any) -> None:
    """Pause the node that has the duty past its lease."""
    process = context.mesh.vms[context.holder].node
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(9)
    process.signal(signal.SIGCONT)
    context.healed.append(time.time())


async def _cut(context: typing.Any, place: str) -> None:
    proxy = context.proxies[context.holder, place]
    await asyncio.gather(*(proxy.cut(direction, 9) for direction in (0, 1)))
    context.healed.append(time.time())


async def cut_store(context: typing.Any) -> None:
    """Cut the holder off from the store for 9 s."""
    await _cut(context, STORE)


async def cut_api(context: typing.Any) -> None:
    """Cut the holder off from the API for 9 s."""
    await _cut(context, API)


async def _set_for(
    context: typing.Any, address: str, seconds: float, **faults: typing.Any
) -> None:
    await context.mesh.post_control(address, 'faults', **faults)
    await asyncio.sleep(seconds)
    none = {name: type(value)() for name, value in faults.items()}
    await context.mesh.post_control(address, 'faults', **none)


async def limit_api(context: typing.Any) -> None:
    """Let the API refuse all reports for 13 s."""
    await _set_for(context, context.mesh.usage_address, 13, is_limited=True)


async def silence_api(context: typing.Any) -> None:
    """Let the API take reports without an answer for 13 s."""
    await _set_for(context, context.mesh.usage_address, 13, is_silent=True)


async def deafen_api(context: typing.Any) -> None:
    """Let the API drop all reports for 13 s."""
    await _set_for(context, context.mesh.usage_address, 13, is_deaf=True)


async def slow_api(context: typing.Any) -> None:
    """Let the API take 6 s for each response."""
    await _set_for(context, context.mesh.usage_address, 18, delay_s=6.0)


async def take_store_away(context: typing.Any) -> None:
    """Let the store refuse all calls for 13 s."""
    await _set_for(context, context.mesh.store_address, 13, is_away=True)


TROUBLES = {
    'nothing happens': nothing,
    'the holder is killed': kill_holder,
    'the holder is paused for 9 s': pause_holder,
    'the holder is cut off the store': cut_store,
    'the holder is cut off the API': cut_api,
    'the API answers with 429 for 13 s': limit_api,
    'the API answers nothing for 13 s': silence_api,
    'the API cannot be reached for 13 s': deafen_api,
    'the API takes 6 s for each response': slow_api,
    'the store is away for 13 s': take_store_away,
}


def _check_windows(context: typing.Any, latest_s: float) -> None:
    """Check the reports of all windows in which calls were sent."""
    first = int(context.started_at // WINDOW_S)
    last = int(context.ended_at // WINDOW_S)
    accepted = {
        row['window']: row
        for row in reversed(context.reports)
        if row['status'] == 200
    }
    wrong = []
    for window in range(first, last):
        row = accepted.get(window)
        truth = context.truth[window]
        if row is None:
            wrong.append((window, 'no report'))
            continue
        late_s = row['at'] - (window + 1) * WINDOW_S
        if late_s > latest_s:
            wrong.append((window, f'late by {late_s:.1f} s'))
        for team in {*truth, *row['counts']}:
            off = abs(row['counts'].get(team, 0) - truth[team])
            if off > max(SHARE_OFF * truth[team], 1):
                wrong.append((window, row['counts'], dict(truth)))
    assert not wrong, json.dumps(wrong)
    late = {
        window: round(row['at'] - (window + 1) * WINDOW_S, 1)
        for window, row in accepted.items()
    }
    print('reported after', late, 'calls a minute', context.calls_per_minute)


@behave.then('every window has a report with the right counts within 10 s')
def then_in_time(context: typing.Any) -> None:
    _check_windows(context, LATEST_S)


@behave.then('every window has a report with the right counts')
def then_reported(context: typing.Any) -> None:
    _check_windows(context, float('inf'))


@behave.then('no two reports of a window differ')
def then_same(context: typing.Any) -> None:
    by_window: dict[int, dict] = {}
    for row in context.reports:
        known = by_window.setdefault(row['window'], row['counts'])
        assert known == row['counts'], (known, row)


@behave.then('each token is used by one node, and none after a later one')
def then_tokens(context: typing.Any) -> None:
    rows = [
        row
        for row in context.reports
        if not any(0 <= row['at'] - at <= THAW_S for at in context.healed)
    ]
    holders: dict[int, str] = {}
    for row in rows:
        known = holders.setdefault(row['token'], row['holder'])
        assert known == row['holder'], rows
    for before, after in itertools.pairwise(rows):
        assert 0 <= after['token'] - before['token'] <= 1, (before, after)


@behave.then('the store got at most {calls:d} calls a minute for the duty')
def then_calls(context: typing.Any, calls: int) -> None:
    assert context.calls_per_minute <= calls, context.calls_per_minute


@behave.then('no node has a metric of the reports')
def then_no_metric(context: typing.Any) -> None:
    for name in context.mesh.vms:
        metrics = context.run(path_steps.read_metrics(context, name))
        assert HOLDER not in metrics, name
