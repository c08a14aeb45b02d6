"""Steps of targets and stores that answer with odd statuses."""

from __future__ import annotations

import asyncio
import contextlib
import re
import typing

import behave

from pomelobend import calls
from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.platform import dialect
from pomelobend.platform import kinds
from pomelobend.platform import objects
from pomelobend.routing import call as call_module
from pomelobend.targets import probe as probes
from standins import fleet
from tests.steps import test_targets_channel as channel_steps

LIMIT_S = 10.0
AT_ONCE_S = 5.0
"""Half of the limit of the call, so that its end is told from a failure."""

PAUSE_S = 0.02
INFORMATIONAL = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'


def _answer(status: str, attempt_id: bytes, *extra: str) -> bytes:
    lines = [
        f'HTTP/1.1 {status} Odd',
        f'X-Attempt-Id: {attempt_id.decode()}',
        'X-Response-Signature: s',
        *extra,
        'Content-Length: 5',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\nbells'


def _text(what: str, attempt_id: bytes) -> bytes:
    """Return the answer that a description stands for."""
    if found := re.fullmatch(r'with status (\d+)', what):
        return _answer(found[1], attempt_id)
    if what == 'with status 101 and nothing more':
        return b'HTTP/1.1 101 Switching Protocols\r\n\r\n'
    if what == 'with status 101 that names a protocol':
        extra = ('Connection: upgrade', 'Upgrade: bells')
        return _answer('101', attempt_id, *extra)
    if what == 'with status 042 after an informational':
        return INFORMATIONAL + _answer('042', attempt_id)
    count = int(re.fullmatch(r'after (\d+) informational ones', what)[1])
    return INFORMATIONAL * count + _answer('200', attempt_id)


@behave.given('an HTTP target on a kept connection that answers {what}')
def given_target(context: typing.Any, what: str) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b'\r\n\r\n')
            if what == 'with informational ones without end':
                while not writer.transport.is_closing():
                    writer.write(INFORMATIONAL)
                    await asyncio.sleep(PAUSE_S)
                return
            found = re.search(rb'x-attempt-id: (\S+)', head)
            writer.write(_text(what, found[1] if found else b''))
            await reader.read()
        writer.close()

    (port,) = fleet.free_ports(1)
    context.run(channel_steps.start_server(context, serve, port))
    context.address = f'127.0.0.1:{port}'
    context.client = channel_steps.new_client(port)
    context.stack.callback(context.client.close)


@behave.when('the target gets a call that may take 10 s')
def when_called(context: typing.Any) -> None:
    now = context.client.clock.monotonic()
    call = call_module.Call(
        route_name='lookup',
        service='tonabok',
        method='GET',
        path=b'/a/',
        headers=[('host', 'a.example'), ('x-attempt-id', 'one')],
        started=now,
        deadline=now + LIMIT_S,
        is_idempotent=True,
        priority=1,
        objective_ms=500,
    )

    async def act() -> calls.Answer | errors.CallRefusedError:
        try:
            return await context.client.call(call)
        except errors.CallRefusedError as refusal:
            return refusal

    context.result = context.run(act())
    context.took_s = context.client.clock.monotonic() - now


@behave.then('the call fails as one of a lost target, before its limit')
def then_lost(context: typing.Any) -> None:
    result = context.result
    assert isinstance(result, errors.CallRefusedError), result
    assert result.reason is errors.Reason.TARGET_LOST, result
    assert result.run is errors.Run.UNKNOWN, result
    assert context.took_s < AT_ONCE_S, context.took_s


@behave.then('the connection to the target is not kept')
def then_not_kept(context: typing.Any) -> None:
    assert not context.client.channels.idle


@behave.then('the answer has status {status:d}')
def then_status(context: typing.Any, status: int) -> None:
    assert getattr(context.result, 'status', None) == status, context.result
    assert context.result.body == b'bells', context.result.body


@behave.when('the target is probed')
def when_probed(context: typing.Any) -> None:
    probe = probes.Probe(clocks.SystemClock(), dialect.HEALTH)
    context.result = context.run(probe.check(context.address, '/healthz'))


@behave.then('the probe has not reached it')
def then_unreachable(context: typing.Any) -> None:
    assert context.result.health is probes.Health.UNREACHABLE, context.result


@behave.when('an object is written to it as to a store')
def when_written(context: typing.Any) -> None:
    store = objects.ObjectStore.from_address(
        context.address, clocks.SystemClock()
    )
    context.stack.callback(store.close)

    async def act() -> Exception | None:
        try:
            await store.write(kinds.NODES, 'a', {}, None)
        except errors.PlatformError as error:
            return error
        return None

    context.result = context.run(act())


@behave.then('the outcome of the write is unknown, and no time limit ended it')
def then_unknown(context: typing.Any) -> None:
    error = context.result
    assert type(error) is errors.PlatformOutcomeUnknownError, error
    assert 'Timeout' not in str(error), error
