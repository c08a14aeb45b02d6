"""Steps for the settings and the client of the usage API."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import tempfile
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.platform import settings as platform_settings
from pomelobend.platform import usage_api
from pomelobend.usage import duty as duties
from standins import fleet
from standins import mesh

LEASE_S = 3.0
REPORT = duties.Report(7, {'pulo780': 412})


@behave.given('settings of a node')
def given_settings(context: typing.Any) -> None:
    listen = ('outbound', 'inbound', 'ready', 'control')
    context.wire = {
        'self': {
            'node': 'vik-1',
            'zone': 'vik',
            'service': 'tonabok',
            'app_addr': '127.0.0.1:1',
        },
        'network': {'listen': dict.fromkeys(listen, '127.0.0.1:2')},
        'platform': {
            'beat_interval_ms': 300,
            'platform': {'address': '127.0.0.1:3'},
        },
        'terms': {'bounds': mesh.BOUNDS},
    }


@behave.when('the settings of the cloud are {text}')
def when_hold(context: typing.Any, text: str) -> None:
    if text != 'nothing':
        context.wire['platform']['cloud'] = json.loads(text)


@behave.then('the usage reports of the node are {found}')
def then_usage(context: typing.Any, found: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(context.wire))
        try:
            settings = platform_settings.Settings.from_file(path)
        except errors.FindingsError:
            assert found == 'refused'
            return
    is_held = 'usage reports' in settings.optional_parts
    assert is_held == (settings.usage is not None)
    if settings.usage is None:
        assert found == 'off'
        return
    usage = settings.usage
    times = (usage.lease, usage.window, usage.latest)
    seconds = [f'{item.total_seconds():g}' for item in times]
    text = ' '.join([usage.address, str(usage.calls_per_s), *seconds])
    assert text == found, text


@attrs.define(eq=False)
class Api:
    """An API that keeps what it receives."""

    does: str
    received: bytes = b''
    was_reset: bool = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Receive a report; answer it, end the connection or stay silent."""
        try:
            self.received += await reader.readuntil(b'\r\n\r\n')
            if self.does == 'ends connections':
                return
            if self.does == 'stays silent':
                while await reader.read(1024):
                    pass
                return
            self.received += await reader.read(1024)
            status = self.does.split()[-1]
            writer.write(
                f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        except ConnectionResetError:
            self.was_reset = True
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


@behave.given('a usage API that {does}')
def given_api(context: typing.Any, does: str) -> None:
    (port,) = fleet.free_ports(1)
    address = f'127.0.0.1:{port}'
    context.api = Api(does)

    async def start() -> None:
        if does != 'does not listen':
            server = await asyncio.start_server(
                context.api.serve, '127.0.0.1', port
            )
            context.stack.callback(server.close)
        context.client = usage_api.UsageApi.from_config(
            address, LEASE_S, clocks.SystemClock()
        )

    context.run(start())


async def _send(context: typing.Any, *, is_held: bool = True) -> None:
    context.outcome = await context.client.send(
        REPORT, 'vik-1', 12, lambda: is_held
    )
    await asyncio.sleep(0.05)


@behave.when('a report is sent')
def when_sent(context: typing.Any) -> None:
    context.run(_send(context))


@behave.when('a report is sent whose lease has ended')
def when_late(context: typing.Any) -> None:
    context.run(_send(context, is_held=False))


@behave.when('a report is sent and given up after {seconds:g} s')
def when_given_up(context: typing.Any, seconds: float) -> None:
    async def act() -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(_send(context), seconds)
        await asyncio.sleep(0.2)

    context.run(act())


@behave.then('its connection was reset')
def then_reset(context: typing.Any) -> None:
    assert context.api.was_reset


@behave.then('the outcome of the report is {outcome}')
def then_outcome(context: typing.Any, outcome: str) -> None:
    assert context.outcome.value == outcome, context.outcome


@behave.then(
    'the API received POST /usage of {node} with token {token:d}, window '
    '{window:d} and {count:d} calls of {team}'
)
def then_received(
    context: typing.Any,
    node: str,
    token: int,
    window: int,
    count: int,
    team: str,
) -> None:
    head, _, body = context.api.received.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    assert lines[0] == 'POST /usage HTTP/1.1', lines
    assert f'X-Duty-Holder: {node}' in lines, lines
    assert f'X-Fence-Token: {token}' in lines, lines
    assert json.loads(body) == {
        'window_no': window,
        'instance_counts': {team: count},
    }


@behave.then('the API received nothing')
def then_nothing(context: typing.Any) -> None:
    assert not context.api.received
