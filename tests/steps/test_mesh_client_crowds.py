"""Steps of crowds of clients, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import time
import typing

import behave

from tests.steps import client_kinds
from tests.steps import test_mesh_clients as client_steps
from tests.steps import test_mesh_path as path_steps

OTHER_NAME = 'vik-t'
"""VM of the node to which no clients connect, unless both are meant."""

WHOLE_EVERY = 4
WAVE_PAUSE_S = 0.3
STOP_S = 12.0
"""Time in which a node ends after SIGTERM, twice its grace period: whether it
ends by itself counts here, not when."""

LISTEN_S = 10.0
POLL_S = 0.01
ORDINARY = 'Connection: close\r\n'


def _mixed(path: str) -> typing.Callable[[int], client_kinds.Request]:
    """Return what builds requests of which every fourth is whole."""

    def build(number: int) -> client_kinds.Request:
        is_whole = number % WHOLE_EVERY == 0
        return client_kinds.Request(f'{path[1]}-{number}', path, is_whole)

    return build


@behave.when(
    '{count:d} clients send bodies to the {where} target, every fourth '
    'whole: {kind}'
)
def when_mixed(context: typing.Any, count: int, where: str, kind: str) -> None:
    path = client_steps.OWN if where == 'own' else path_steps.LOOKUP
    context.run(client_steps.connect(context, count, kind, build=_mixed(path)))


@behave.when(
    '{count:d} clients of each node send bodies to the target of the other, '
    'every fourth whole'
)
def when_crossing(context: typing.Any, count: int) -> None:
    kind = 'a body at once but for its last byte'

    async def act() -> None:
        await asyncio.gather(
            *(
                client_steps.connect(
                    context, count, kind, name=name, build=_mixed(path)
                )
                for name, path in (
                    (client_steps.NAME, path_steps.LOOKUP),
                    (OTHER_NAME, client_steps.OWN),
                )
            )
        )

    context.run(act())


@behave.when('{waves:d} waves of {count:d} clients come and go: {kind}')
def when_waves(context: typing.Any, waves: int, count: int, kind: str) -> None:
    context.failures = []

    async def act() -> None:
        for wave in range(waves):
            await client_steps.connect(context, count, kind)
            client_steps.disconnect(context)
            await asyncio.sleep(WAVE_PAUSE_S)
            try:
                await _until_ordinary(context, client_steps.NAME, f'w-{wave}')
            except AssertionError as error:
                context.failures.append((wave, error))

    context.run(act())


@behave.then('an ordinary request after each wave was answered with 200')
def then_after_waves(context: typing.Any) -> None:
    assert not context.failures, context.failures


@behave.then(
    'each node answers a new ordinary request with 200 while the clients stay'
)
def then_each_answers(context: typing.Any) -> None:
    for name in (client_steps.NAME, OTHER_NAME):
        context.run(_until_ordinary(context, name, f'ordinary-{name}'))


async def _until_ordinary(
    context: typing.Any, name: str, identity: str
) -> None:
    """Send an ordinary request to a node until it is answered with 200."""
    address = context.mesh.vms[name].addresses['outbound']
    request = client_kinds.get(identity, client_steps.OWN, more=ORDINARY)
    await client_steps.until_answered(address, request)


@behave.when('a node starts beside {count:d} clients: {kind}')
def when_starts(context: typing.Any, count: int, kind: str) -> None:
    async def act() -> None:
        await _stop(context)
        context.mesh.start_node(client_steps.NAME)
        await _until_listening(context)
        await client_steps.connect(context, count, kind)

    context.run(act())


@behave.when('a node stops and starts beside {count:d} clients: {kind}')
def when_stops(context: typing.Any, count: int, kind: str) -> None:
    async def act() -> None:
        await client_steps.connect(context, count, kind)
        await _stop(context)
        context.mesh.start_node(client_steps.NAME)
        await _until_listening(context)
        await client_steps.connect(context, count, kind)

    context.run(act())


@behave.when('a node runs without a store beside {count:d} clients: {kind}')
def when_without_store(context: typing.Any, count: int, kind: str) -> None:
    (store,) = (
        process
        for process in context.fleet.processes
        if process.name == 'store'
    )
    store.signal(signal.SIGSTOP)
    context.run(client_steps.connect(context, count, kind))


async def _stop(context: typing.Any) -> None:
    """Send SIGTERM to the node of the clients; it has to end by itself."""
    node = context.mesh.vms[client_steps.NAME].node
    node.signal(signal.SIGTERM)
    code = await node.wait(STOP_S)
    assert code == 0, code


async def _until_listening(context: typing.Any) -> None:
    """Wait until the node of the clients takes connections."""
    address = context.mesh.vms[client_steps.NAME].addresses['outbound']
    host, _, port = address.partition(':')
    ends_at = time.monotonic() + LISTEN_S
    for _ in itertools.takewhile(
        lambda _: time.monotonic() < ends_at, itertools.count()
    ):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.abort()
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError('the node does not listen')
