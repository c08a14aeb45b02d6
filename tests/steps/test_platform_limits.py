"""Steps for requests to the store from a node that is held up."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.mesh import store_probe as store_probes
from pomelobend.mesh import watch as watches
from pomelobend.platform import dialect
from pomelobend.platform import kinds
from pomelobend.platform import objects
from pomelobend.targets import probe as probes

DELAY_S = 0.05
HELD_S = objects.REQUEST_TIMEOUT_S + 0.3
WAIT_S = 5.0
REVISION = 1
ITEM = {'metadata': {'name': 'a', 'revision': 2}, 'spec': {}}
BODY = json.dumps(
    {
        'items': [ITEM],
        'events': [{'object': ITEM, 'deleted': False}],
        'current_rev': 2,
    }
).encode()
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)


@behave.given('a store whose first answer arrives while this node is held up')
def given_store(context: typing.Any) -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    host, port = listener.getsockname()
    context.address = f'{host}:{port}'
    context.clock = clocks.SystemClock()
    context.store = objects.ObjectStore.from_address(
        context.address, context.clock
    )

    def serve() -> None:
        with listener:
            connection, _ = listener.accept()
        with connection:
            connection.settimeout(WAIT_S)
            connection.recv(65536)
            context.loop.call_soon_threadsafe(time.sleep, HELD_S)
            time.sleep(DELAY_S)
            connection.sendall(ANSWER)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    context.stack.callback(thread.join, WAIT_S)
    context.stack.callback(context.store.close)


async def list_objects(context: typing.Any) -> bool:
    """Return whether a listing is answered."""
    try:
        await context.store.list(kinds.NODES)
    except errors.PlatformError:
        return False
    return True


async def watch(context: typing.Any) -> bool:
    """Return whether the first request of a watch is answered."""
    changed = asyncio.Event()
    failed = watches.Watch(
        kinds.NODES,
        context.store,
        context.clock,
        0.0,
        lambda _: changed.set(),
        revision=REVISION,
        failures=1,
    )
    task = asyncio.create_task(failed.run())
    await asyncio.sleep(HELD_S + DELAY_S)
    task.cancel()
    return changed.is_set()


async def probe_store(context: typing.Any) -> bool:
    """Return whether a probe of the store is answered."""
    losses = []
    probe = store_probes.StoreProbe(
        context.store,
        context.clock,
        lambda: context.store.request_count == 0,
        lambda: losses.append(True),
    )
    task = asyncio.create_task(probe.run())
    await asyncio.sleep(store_probes.PROBE_INTERVAL_S + HELD_S + DELAY_S)
    task.cancel()
    assert context.store.request_count == 1
    return not losses


async def probe_target(context: typing.Any) -> bool:
    """Return whether a probe of a target is answered."""
    probe = probes.Probe(context.clock, dialect.HEALTH)
    result = await probe.check(context.address, '/health')
    return result.health is probes.Health.SERVING


REQUESTS = {
    'a listing': list_objects,
    'a watch after a failure': watch,
    'a probe of the store': probe_store,
    'a probe of a target': probe_target,
}


@behave.when('this node waits for the answer to {what}')
def when_waits(context: typing.Any, what: str) -> None:
    context.is_read = context.run(REQUESTS[what](context))


@behave.then('the answer is read')
def then_read(context: typing.Any) -> None:
    assert context.is_read
