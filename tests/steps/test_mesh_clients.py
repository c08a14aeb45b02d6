"""Steps of clients that keep to no limits, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import resource
import typing

import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_endless as endless_steps
from tests.steps import test_mesh_path as path_steps

KB = 1024
MB = 1024 * 1024

NAME = 'vik-s'
"""VM of the node to which the clients connect. Its target is of another
service than their requests, which go on to the other node."""

OWN = '/booking/a'
"""Path of the requests to the target in that VM."""

BODY_BYTES = 4 * MB
"""Size of a large body of the clients; the limit of the configuration."""

SMALL_BODY_BYTES = 48 * KB
TINY_CHUNKS_BYTES = 512 * KB
PIECE_BYTES = 16 * KB
PIECE_PAUSE_S = 0.002
SHORT_HEAD_BYTES = 15 * KB
"""Size of a head that stays within the limit of 16 KiB and has no end."""

DEADLINE_MS = 8000
ANSWER_S = 4.0
"""Time in which one of the ordinary requests, sent one after the other, is
answered. It is shorter than the limits after which clients are disconnected:
5 s without a byte of a body, 15 s for an idle connection."""

ATTEMPT_S = 1.5
SETTLE_S = 0.5
SINGLE_S = 30.0
CONNECTS_AT_ONCE = 40

POST = (
    'POST {path} HTTP/1.1\r\nHost: bells.example\r\n'
    'X-Attempt-Id: {identity}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
    'X-Answer-Short: 1\r\n{framing}\r\n\r\n'
)
GET = (
    'GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {identity}\r\n'
    'X-Deadline-Ms: 4000\r\n{more}\r\n'
)


def _post(identity: str, framing: str, path: str = path_steps.LOOKUP) -> bytes:
    return POST.format(
        path=path, identity=identity, deadline_ms=DEADLINE_MS, framing=framing
    ).encode()


def _get(
    identity: str,
    path: str = path_steps.LOOKUP,
    host: str = 'bells.example',
    more: str = '',
) -> bytes:
    return GET.format(
        path=path, identity=identity, host=host, more=more
    ).encode()


def _announced(identity: str, size: int) -> bytes:
    return _post(identity, f'Content-Length: {size}')


def _chunked(identity: str, path: str = path_steps.LOOKUP) -> bytes:
    return _post(identity, 'Transfer-Encoding: chunked', path)


def _small_chunks(size: int) -> bytes:
    return b'2\r\nbb\r\n' * (size // 2)


async def _send_nothing(writer: asyncio.StreamWriter, identity: str) -> None:
    return


async def _send_one_request(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    writer.write(_get(identity))


async def _send_long_head(writer: asyncio.StreamWriter, identity: str) -> None:
    writer.write(_get(identity, more='X-Long: ' + 'v' * 64 * KB))


async def _send_part_of_head(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    writer.write(_get(identity, more='X-Long: ')[:-2])
    for _ in range(SHORT_HEAD_BYTES // KB):
        writer.write(b'v' * KB)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


async def _send_empty_lines(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    for _ in range(64):
        writer.write(b'\r\n' * 8 * KB)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


async def _send_body(writer: asyncio.StreamWriter, identity: str) -> None:
    writer.write(_announced(identity, BODY_BYTES))
    writer.write(bytes(BODY_BYTES - 1))


async def _send_pieces(writer: asyncio.StreamWriter, identity: str) -> None:
    writer.write(_announced(identity, BODY_BYTES))
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        writer.write(bytes(PIECE_BYTES))
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
    writer.write(bytes(PIECE_BYTES - 1))


async def _send_large_chunks(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    chunk = b'%x\r\n%b\r\n' % (64 * KB, bytes(64 * KB))
    writer.write(_chunked(identity))
    for _ in range(BODY_BYTES // (64 * KB) - 1):
        writer.write(chunk)
        await writer.drain()
    writer.write(chunk[:-3])


async def _send_small_chunks(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    writer.write(_chunked(identity) + _small_chunks(TINY_CHUNKS_BYTES)[:-3])


async def _send_small_body(
    writer: asyncio.StreamWriter, identity: str
) -> None:
    writer.write(_announced(identity, SMALL_BODY_BYTES))
    writer.write(bytes(SMALL_BODY_BYTES - 1))


KINDS = {
    'nothing': _send_nothing,
    'one request, then nothing': _send_one_request,
    'a head over the limit': _send_long_head,
    'a head that ends short of the limit': _send_part_of_head,
    'empty lines without end': _send_empty_lines,
    'a body at once but for its last byte': _send_body,
    'a body in pieces but for its last byte': _send_pieces,
    'large chunks but for the last byte': _send_large_chunks,
    'small chunks but for the last byte': _send_small_chunks,
    'a small body but for its last byte': _send_small_body,
}


@behave.given(
    'two VMs whose nodes may use {megabytes:d} MB and {descriptors:d} '
    'descriptors'
)
def given_nodes(context: typing.Any, megabytes: int, descriptors: int) -> None:
    limit = functools.partial(
        resource.setrlimit, resource.RLIMIT_NOFILE, (descriptors, descriptors)
    )
    configuration = mesh.configuration(2)
    if megabytes < 200:
        configuration['limits']['max_body_bytes'] = BODY_BYTES
    for rule in configuration['listeners'][0]['rules']:
        rule['action']['timeout_ms'] = DEADLINE_MS

    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet, memory_mb=megabytes)
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', configuration)
        for name, service in (('vik-t', 'tonabok'), (NAME, 'steypudagar')):
            context.mesh.add_vm(name, 'vik', service, preexec_fn=limit)
        for path in (path_steps.LOOKUP, OWN):
            await context.mesh.wait_until_serving(
                context.mesh.vms, path, path_steps.START_S
            )

    context.descriptors = descriptors
    context.clients = []
    context.run(start())


@behave.when('{count:d} clients connect to a node: {kind}')
def when_clients(context: typing.Any, count: int, kind: str) -> None:
    context.run(_connect(context, count, kind, 'outbound'))


@behave.when('{count:d} clients connect to the {port} port of a node: {kind}')
def when_clients_of_port(
    context: typing.Any, count: int, port: str, kind: str
) -> None:
    context.run(_connect(context, count, kind, port))


async def _connect(
    context: typing.Any, count: int, kind: str, port: str
) -> None:
    """Open connections, send what the kind says, and leave them open."""
    address = context.mesh.vms[NAME].addresses[port]
    gate = asyncio.Semaphore(CONNECTS_AT_ONCE)

    async def act(number: int) -> None:
        async with gate:
            with contextlib.suppress(OSError):
                reader, writer = await _open(address)
                context.clients.append((reader, writer))
                await KINDS[kind](writer, f'c-{number}')

    await asyncio.gather(*map(act, range(count)))
    await asyncio.sleep(SETTLE_S)


async def _open(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.partition(':')
    return await asyncio.open_connection(host, int(port))


@behave.when(
    '{rounds:d} rounds of {count:d} clients and of {answers:d} answers '
    'without end alternate'
)
def when_alternate(
    context: typing.Any, rounds: int, count: int, answers: int
) -> None:
    kinds = (
        'a body at once but for its last byte',
        'a body in pieces but for its last byte',
        'small chunks but for the last byte',
    )

    async def act() -> None:
        for number in range(rounds):
            kind = kinds[number % len(kinds)]
            endless = asyncio.gather(
                *(
                    context.mesh.call(
                        NAME,
                        path_steps.LOOKUP,
                        f'e-{number}-{answer}',
                        **{'x-answer-endless': 'chunks of 64 KiB'},
                    )
                    for answer in range(answers)
                )
            )
            await _connect(context, count, kind, 'outbound')
            await endless

    context.run(act())


@behave.then(
    'both nodes live, within their memory and 7/8 of their descriptors'
)
def then_within(context: typing.Any) -> None:
    most_kb = context.mesh.memory_mb * KB
    for name, vm in context.mesh.vms.items():
        assert vm.node.popen.poll() is None, name
        peak_kb = endless_steps.peak_kb(vm)
        opened = len(os.listdir(f'/proc/{vm.node.popen.pid}/fd'))
        print(f'{name}: peak {peak_kb} KiB, {opened} descriptors')
        assert peak_kb <= most_kb, (name, peak_kb)
        assert opened <= context.descriptors * 7 / 8, (name, opened)


@behave.then(
    'a new ordinary request is answered with 200 while the clients stay'
)
def then_answered(context: typing.Any) -> None:
    address = context.mesh.vms[NAME].addresses['outbound']
    request = _get('ordinary', more='Connection: close\r\n')
    context.run(_until_answered(address, request))


@behave.then('the ready port answers a new request while the clients stay')
def then_ready(context: typing.Any) -> None:
    address = context.mesh.vms[NAME].addresses['ready']
    request = _get('ready', '/ready', address, 'Connection: close\r\n')
    context.run(_until_answered(address, request))


async def _until_answered(address: str, request: bytes) -> None:
    """Send a request, each time on a new connection, until it gets 200."""
    lines = []
    ends_at = asyncio.get_running_loop().time() + ANSWER_S
    while asyncio.get_running_loop().time() < ends_at:
        lines.append(await _first_line(address, request))
        if lines[-1].startswith(b'HTTP/1.1 200 '):
            return
        await asyncio.sleep(0.05)
    raise AssertionError(lines)


async def _first_line(address: str, request: bytes) -> bytes:
    """Return the status line of the answer, or empty without one."""
    try:
        async with asyncio.timeout(ATTEMPT_S):
            reader, writer = await _open(address)
            try:
                writer.write(request)
                return await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError) as error:
        return repr(error).encode()


@behave.when('one body of {size:d} KiB is sent {how} to the {where} target')
def when_one_body(
    context: typing.Any, size: int, how: str, where: str
) -> None:
    path = OWN if where == 'own' else path_steps.LOOKUP
    length = size * KB
    data = (
        _post('single', f'Content-Length: {length}', path) + bytes(length)
        if how == 'in one piece'
        else _chunked('single', path) + _small_chunks(length) + b'0\r\n\r\n'
    )

    async def act() -> bytes:
        async with asyncio.timeout(SINGLE_S):
            reader, writer = await _open(
                context.mesh.vms[NAME].addresses['outbound']
            )
            with contextlib.suppress(ConnectionError):
                writer.write(data)
                await writer.drain()
            try:
                return await reader.readline()
            finally:
                writer.transport.abort()

    context.first_line = context.run(act())


@behave.then('that one request is answered with {status:d}')
def then_status(context: typing.Any, status: int) -> None:
    expected = b'HTTP/1.1 %d ' % status
    assert context.first_line.startswith(expected), context.first_line
