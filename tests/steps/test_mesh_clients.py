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
from tests.steps import client_kinds
from tests.steps import test_mesh_endless as endless_steps
from tests.steps import test_mesh_path as path_steps

if typing.TYPE_CHECKING:
    from collections import abc

KB = 1024
MB = 1024 * 1024

NAME = 'vik-s'
"""VM of the node to which the clients connect. Its target is of another
service than their requests, which go on to the other node."""

OWN = '/booking/a'
"""Path of the requests to the target in that VM."""

ANSWER_S = 4.0
"""Time in which one of the ordinary requests, sent one after the other, is
answered. It is shorter than the limits after which clients are disconnected:
5 s without a byte of a body, 15 s for an idle connection."""

ATTEMPT_S = 1.5
SETTLE_S = 0.5
SINGLE_S = 30.0
CONNECTS_AT_ONCE = 40


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
        configuration['limits']['max_body_bytes'] = client_kinds.BODY_BYTES
    for rule in configuration['listeners'][0]['rules']:
        rule['action']['timeout_ms'] = client_kinds.DEADLINE_MS

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
    context.stack.callback(disconnect, context)


def disconnect(context: typing.Any) -> None:
    """Abort the connections of the clients."""
    for _, writer in context.clients:
        writer.transport.abort()
    context.clients.clear()


@behave.when('{count:d} clients connect to a node: {kind}')
def when_clients(context: typing.Any, count: int, kind: str) -> None:
    context.run(connect(context, count, kind))


@behave.when('{count:d} clients connect to the {port} port of a node: {kind}')
def when_clients_of_port(
    context: typing.Any, count: int, port: str, kind: str
) -> None:
    context.run(connect(context, count, kind, port))


async def connect(
    context: typing.Any,
    count: int,
    kind: str,
    port: str = 'outbound',
    name: str = NAME,
    build: abc.Callable[[int], client_kinds.Request] | None = None,
) -> None:
    """Open connections, send what the kind says, and leave them open.

    Parameters
    ----------
    context : behave context
    count : int
    kind : str
        A name in ``client_kinds.SENDERS``.
    port : str
    name : str
        The VM of the node to which the clients connect.
    build : callable or None
        Returns the request of a client from its number.
    """
    address = context.mesh.vms[name].addresses[port]
    gate = asyncio.Semaphore(CONNECTS_AT_ONCE)
    build = build or (lambda number: client_kinds.Request(f'c-{number}'))

    async def act(number: int) -> None:
        async with gate:
            with contextlib.suppress(OSError):
                reader, writer = await _open(address)
                context.clients.append((reader, writer))
                await client_kinds.SENDERS[kind](writer, build(number))

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
            await connect(context, count, kind)
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
    request = client_kinds.get('ordinary', more='Connection: close\r\n')
    context.run(until_answered(address, request))


@behave.then('the ready port answers a new request while the clients stay')
def then_ready(context: typing.Any) -> None:
    address = context.mesh.vms[NAME].addresses['ready']
    request = client_kinds.get(
        'ready', '/ready', address, 'Connection: close\r\n'
    )
    context.run(until_answered(address, request))


async def until_answered(address: str, request: bytes) -> None:
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
    request = client_kinds.Request('single', path)
    data = (
        client_kinds.announced(request, length) + bytes(length)
        if how == 'in one piece'
        else client_kinds.chunked(request)
        + client_kinds.small_chunks(length)
        + b'0\r\n\r\n'
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
