"""Steps of answers without end, with real processes."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import re
import typing

import attrs
import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path

KB = 1024
MB = 1024 * 1024
PAUSE_S = 0.015
BOOKING = '/booking/a'
SLOTS = 60
"""Calls that a target may have, so that none of those sent is refused."""

FAULTY_PER_S = 6.0
LEAST_S = 2.5
"""Time in which the other calls are sent, beside fewer faulty ones."""

SMALL_PAUSE_S = 0.02
UPLOAD_HEAD = (
    b'POST /lookup/a HTTP/1.1\r\nHost: bells.example\r\nX-Attempt-Id: u\r\n'
    b'X-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n'
)
UPLOAD_BLOCK = b'10000\r\n%b\r\n' % (b'u' * 64 * KB)

FIRST_S = 0.5
"""Time from an answer without end to the first large one."""


@attrs.define
class Seen:
    """What was seen of calls and nodes.

    Parameters
    ----------
    faulty, others : list of int
        Statuses of the calls that get an answer without end, and of others.
    sizes : list of tuple
        Expected and received bytes of each large answer.
    peaks_kb : dict
        Most memory that each node has used.
    exits : dict
        Exit code of each node, None while it runs.
    """

    faulty: list[int]
    others: list[int]
    sizes: list[tuple[int, int]]
    peaks_kb: dict[str, int]
    exits: dict[str, int | None]


@behave.when('three callers get answers without end beside 100 other calls')
def when_endless(context: typing.Any) -> None:
    async def act() -> None:
        endless = [
            asyncio.create_task(_lookup(context, 'vik-s', f'e{number}', True))
            for number in range(3)
        ]
        others = []
        for number, name in itertools.product(range(50), ('vik-s', 'hella-s')):
            lookup = _lookup(context, name, f'{name}-{number}', False)
            others.append(asyncio.create_task(lookup))
            await asyncio.sleep(PAUSE_S)
        context.others = await asyncio.gather(*others)
        context.endless = await asyncio.gather(*endless)

    context.run(act())


async def _lookup(
    context: typing.Any, name: str, identity: str, is_endless: bool
) -> int:
    """Send a call to a node; return its status."""
    headers = {'x-answer-endless': '1'} if is_endless else {}
    status, _, _ = await context.mesh.call(
        name, test_mesh_path.LOOKUP, identity, **headers
    )
    return status


@behave.then('all other calls are answered, and the three end with 502 or 504')
def then_answered(context: typing.Any) -> None:
    assert set(context.others) == {200}, context.others
    assert set(context.endless) <= {502, 504}, context.endless


@behave.then('no node has used more than {megabytes:d} MB')
def then_memory(context: typing.Any, megabytes: int) -> None:
    for name, vm in context.mesh.vms.items():
        peak = peak_kb(vm) * KB
        assert peak <= megabytes * MB, (name, peak)


def peak_kb(vm: mesh.Vm) -> int:
    """Return the most memory in KiB that a node has used, 0 if it ended."""
    path = pathlib.Path(f'/proc/{vm.node.popen.pid}/status')
    found = re.search(r'VmHWM:\s+(\d+) kB', path.read_text())
    return int(found[1]) if found else 0


@behave.given('two VMs whose nodes may use {megabytes:d} MB')
def given_limited(context: typing.Any, megabytes: int) -> None:
    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(
            context.fleet, slots=SLOTS, memory_mb=megabytes
        )
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', mesh.configuration(2))
        context.mesh.add_vm('vik-t', 'vik', 'tonabok')
        context.mesh.add_vm('vik-s', 'vik', 'steypudagar')
        for path in (test_mesh_path.LOOKUP, BOOKING):
            await context.mesh.wait_until_serving(
                context.mesh.vms, path, test_mesh_path.START_S
            )

    context.run(start())


@behave.when(
    '{count:d} {method:w} calls get {kind} without end beside {others:d} '
    'others'
)
def when_kind(
    context: typing.Any, count: int, method: str, kind: str, others: int
) -> None:
    """Send calls without end to one target, and others to the other one.

    Several kinds, separated by commas, befall the calls in turn.
    """
    paths = [test_mesh_path.LOOKUP, BOOKING]
    if method == 'POST':
        paths.reverse()
    others_per_s = others / max(LEAST_S, count / FAULTY_PER_S)

    async def act() -> None:
        both = await asyncio.gather(
            _send_faulty(context, paths[0], method, count, kind),
            _send(context, paths[1], 'o', others, others_per_s),
        )
        statuses = [[status for status, _, _ in found] for found in both]
        context.seen = _look(context, *statuses)

    context.run(act())


@behave.when(
    '{few:d} answers of {mib:d} MiB and {many:d} of {size:d} KB come beside '
    'chunks without end'
)
def when_large(
    context: typing.Any, few: int, mib: int, many: int, size: int
) -> None:
    """Let one target send them all, half of them through the other node."""
    path = test_mesh_path.LOOKUP
    sizes = [mib * MB] * few + [size * 1000] * many

    async def act() -> None:
        endless = asyncio.create_task(
            _send_faulty(context, path, 'GET', 1, 'chunks of 64 KiB')
        )
        await asyncio.sleep(FIRST_S)
        tasks = []
        for number, (expected, name) in enumerate(
            zip(sizes, itertools.cycle(context.mesh.vms))
        ):
            headers = {'x-answer-bytes': str(expected)}
            call = context.mesh.call(name, path, f'l-{number}', **headers)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(SMALL_PAUSE_S)
        large = await asyncio.gather(*tasks)
        context.seen = _look(
            context,
            [status for status, _, _ in await endless],
            [status for status, _, _ in large],
        )
        received = [len(text) for _, _, text in large]
        context.seen.sizes = list(zip(sizes, received, strict=True))

    context.run(act())


@behave.when(
    '{count:d} uploads without end are sent to the {port} port of a node'
    ' beside {others:d} calls'
)
def when_uploads(
    context: typing.Any, count: int, port: str, others: int
) -> None:
    """Send uploads to one node, and other calls through both."""
    address = context.mesh.vms['vik-t'].addresses[port]

    async def act() -> None:
        uploads = [asyncio.create_task(_upload(address)) for _ in range(count)]
        found = await _timed(context, others, others / LEAST_S)
        for upload in uploads:
            upload.cancel()
        await asyncio.wait(uploads)
        context.seconds = sorted(seconds for _, seconds in found)
        context.seen = _look(context, [], [status for status, _ in found])

    context.run(act())


async def _upload(address: str) -> None:
    """Send uploads without end, one after the other."""
    host, port = address.split(':')
    while True:
        _, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(UPLOAD_HEAD)
            while True:
                writer.write(UPLOAD_BLOCK)
                await writer.drain()
        except ConnectionError:
            continue
        finally:
            writer.transport.abort()


@behave.when('a body of 1 MiB is announced to the {port} port of a node')
def when_announced(context: typing.Any, port: str) -> None:
    host, number = context.mesh.vms['vik-t'].addresses[port].split(':')
    head = (
        f'PUT /backends/i-1 HTTP/1.1\r\nHost: {host}\r\n'
        f'Content-Length: {MB}\r\n\r\n'
    )

    async def act() -> bytes:
        reader, writer = await asyncio.open_connection(host, int(number))
        writer.write(head.encode())
        try:
            async with asyncio.timeout(FIRST_S):
                return await reader.readline()
        except TimeoutError:
            return b'nothing'
        finally:
            writer.close()

    context.first_line = context.run(act())


@behave.then('it is refused with {status:d} before it is sent')
def then_refused(context: typing.Any, status: int) -> None:
    expected = b'HTTP/1.1 %d ' % status
    assert context.first_line.startswith(expected), context.first_line


async def _timed(
    context: typing.Any, count: int, per_s: float
) -> list[tuple[int, float]]:
    """Send calls at a rate; return the status and time in s of each."""

    async def call(number: int) -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, _ = await context.mesh.call(
            names[number % len(names)], BOOKING, f'o-{number}'
        )
        return status, loop.time() - began

    names, tasks = list(context.mesh.vms), []
    for number in range(count):
        tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


@behave.then(
    '{share:d} in 10 of them within {limit_s:g} s, the shortest objective of'
    ' a route'
)
def then_in_time(context: typing.Any, share: int, limit_s: float) -> None:
    seconds = context.seconds
    found = seconds[len(seconds) * share // 10 - 1]
    assert found <= limit_s, (found, seconds[len(seconds) // 2], seconds[-1])


async def _send_faulty(
    context: typing.Any, path: str, method: str, count: int, kind: str
) -> list[tuple[int, dict, str]]:
    """Send calls that get answers without end; return what came."""
    headers = [{'x-answer-endless': one} for one in kind.split(', ')]
    return await _send(
        context, path, 'f', count, FAULTY_PER_S, method, headers
    )


async def _send(
    context: typing.Any,
    path: str,
    prefix: str,
    count: int,
    per_s: float,
    method: str = 'GET',
    headers: typing.Sequence[dict[str, str]] = ({},),
) -> list[tuple[int, dict, str]]:
    """Send calls at a rate, through all nodes in turn; return the answers.

    They have the given headers in turn, each of them through all nodes.
    """
    tasks = []
    names, kinds = list(context.mesh.vms), itertools.cycle(headers)
    for number in range(count):
        call = context.mesh.call(
            names[number // len(headers) % len(names)],
            path,
            f'{prefix}-{number}',
            method,
            **next(kinds),
        )
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


def _look(context: typing.Any, faulty: list[int], others: list[int]) -> Seen:
    """Return what is seen now; print it."""
    vms = context.mesh.vms.items()
    exits = {name: vm.node.popen.poll() for name, vm in vms}
    peaks_kb = {name: peak_kb(vm) for name, vm in vms if exits[name] is None}
    seen = Seen(faulty, others, [], peaks_kb, exits)
    print(_summary(seen))
    return seen


def _summary(seen: Seen) -> str:
    """Return what was seen as text."""
    return (
        f'peaks in KiB {seen.peaks_kb}, exits {seen.exits}, without end '
        f'{dict(collections.Counter(seen.faulty))}, others '
        f'{dict(collections.Counter(seen.others))}'
    )


@behave.then('no node has used more than it may, and none has ended')
def then_within(context: typing.Any) -> None:
    seen, most_kb = context.seen, context.mesh.memory_mb * MB // KB
    assert set(seen.exits.values()) == {None}, _summary(seen)
    assert max(seen.peaks_kb.values()) <= most_kb, _summary(seen)


@behave.then('all other calls are answered with 200')
def then_others(context: typing.Any) -> None:
    assert set(context.seen.others) == {200}, _summary(context.seen)


@behave.then('each call without end is answered with 502 or 504')
def then_faulty(context: typing.Any) -> None:
    assert set(context.seen.faulty) <= {502, 504}, _summary(context.seen)


@behave.then('all large answers arrive whole')
def then_whole(context: typing.Any) -> None:
    seen = context.seen
    assert set(seen.others) == {200}, _summary(seen)
    for expected, received in seen.sizes:
        assert received >= expected, (expected, received)
