"""Steps for requests of a grammar, through two nodes, with real processes."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import typing

import attrs
import behave
import hypothesis
from hypothesis import strategies

from standins import fleet
from standins import mesh

CALLERS_NODE = 'vik-s'
TARGET_NODE = 'hella-t'
PREFIX = b'/lookup/'
START_S = 20.0
ANSWER_S = 5.0
EXAMPLES = 120
SLOTS = 40

CONNECTION_HEADERS = (
    b'',
    b'Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n',
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n',
    b'Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n'
    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n',
    b'Upgrade: h2c\r\n',
    b'Connection: upgrade\r\n',
    b'TE: trailers, deflate;q=0.5\r\nConnection: TE\r\n',
    b'Proxy-Connection: keep-alive\r\n',
    b'Proxy-Authorization: Basic eDp5\r\n',
    b'Proxy-Authenticate: Basic\r\n',
    b'Connection: X-Own\r\nX-Own: only here\r\n',
    b'Connection: Content-Length, Transfer-Encoding, Host\r\n',
    b'Expect: 100-continue\r\n',
    b'Expect: 100-continue\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n',
    b'Trailer: X-Last\r\n',
)
"""Headers that concern one connection, and offers that may be ignored."""

BODIES = (
    b'GET /lookup/inner HTTP/1.1\r\nHost: bells.example\r\n'
    b'X-Attempt-Id: inner\r\n\r\n',
    b'0\r\n\r\nGET /lookup/inner HTTP/1.1\r\nHost: bells.example\r\n'
    b'X-Attempt-Id: inner\r\n\r\n',
    b'\r\n\r\n',
)
"""Bodies that would be requests, or the ends of bodies, if read as such."""


@attrs.frozen
class Sent:
    """A request as it is sent; its body has a length without chunks."""

    method: bytes
    path: bytes
    body: bytes
    connection: bytes
    chunk_bytes: int
    extension: bytes
    trailer: bytes

    def encode(self, identity: str) -> bytes:
        """Return the bytes of the request."""
        head = (
            b'%b %b HTTP/1.1\r\nHost: bells.example\r\nX-Attempt-Id: %b\r\n'
            b'X-Deadline-Ms: 4000\r\nX-Work-S: 0\r\n%b'
        ) % (self.method, self.path, identity.encode(), self.connection)
        if not self.chunk_bytes:
            length = b'Content-Length: %d\r\n\r\n' % len(self.body)
            return head + length + self.body
        parts = [
            self.body[start : start + self.chunk_bytes]
            for start in range(0, len(self.body), self.chunk_bytes)
        ]
        chunks = b''.join(
            b'%x%b\r\n%b\r\n' % (len(part), self.extension, part)
            for part in parts
        )
        coding = b'Transfer-Encoding: chunked\r\n\r\n'
        return head + coding + chunks + b'0\r\n' + self.trailer + b'\r\n'


segments = strategies.text('abcXYZ019-._~!$&()*+,;=:@', max_size=8).map(
    str.encode
)
escapes = strategies.sampled_from([b'%20', b'%2F', b'%3f', b'%C3%A9', b'%00'])
paths = strategies.lists(segments | escapes | strategies.just(b'/')).map(
    lambda parts: PREFIX + b'p' + b''.join(parts)
)
queries = strategies.lists(
    segments | escapes | strategies.sampled_from([b'?', b'/', b'=', b'&'])
).map(b''.join)
targets = paths | strategies.tuples(paths, queries).map(
    lambda pair: pair[0] + b'?q' + pair[1]
)
requests = strategies.builds(
    Sent,
    strategies.sampled_from(
        [b'GET', b'POST', b'PUT', b'DELETE', b'PATCH', b'OPTIONS']
    ),
    targets,
    strategies.binary(max_size=60) | strategies.sampled_from(BODIES),
    strategies.sampled_from(CONNECTION_HEADERS),
    strategies.sampled_from([0, 0, 1, 7, 64]),
    strategies.sampled_from([b'', b';a', b';a="b"']),
    strategies.sampled_from([b'', b'X-Last: 1\r\n']),
)


@behave.given('a mesh of a node for callers and one beside a target')
def given_mesh(context: typing.Any) -> None:
    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet, slots=SLOTS)
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', mesh.configuration(2))
        context.mesh.add_vm(CALLERS_NODE, 'vik', 'steypudagar')
        context.mesh.add_vm(TARGET_NODE, 'hella', 'tonabok')
        await context.mesh.wait_until_serving(
            [CALLERS_NODE], '/lookup/a', START_S
        )

    context.run(start())


async def _send_cut(
    writer: asyncio.StreamWriter, data: bytes, sizes: list[int]
) -> None:
    """Send bytes in parts of the given sizes, in turn."""
    for size in itertools.cycle(sizes):
        writer.write(data[:size])
        await writer.drain()
        await asyncio.sleep(0)
        data = data[size:]
        if not data:
            return


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """Return status, headers and body of an answer, interim ones skipped."""
    while True:
        head = await reader.readuntil(b'\r\n\r\n')
        status = head.split()[1]
        if status != b'100':
            break
    lines = [line for line in head.split(b'\r\n')[1:] if line]
    headers = dict(line.lower().split(b': ', 1) for line in lines)
    length = int(headers[b'content-length'])
    return status, headers, await reader.readexactly(length)


async def _exchange(
    context: typing.Any, address: str, data: bytes, count: int, sizes: list
) -> list[tuple[bytes, dict[bytes, bytes], bytes]]:
    """Send requests on one connection; return the answers."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(ANSWER_S):
            sending = asyncio.create_task(_send_cut(writer, data, sizes))
            answers = [await _read_answer(reader) for _ in range(count)]
            await sending
    finally:
        writer.close()
    return answers


@behave.then(
    'requests of the grammar run once at the target, with their method, path,'
    ' query and body'
)
def then_unchanged(context: typing.Any) -> None:
    numbers = itertools.count()
    sent_identities = collections.Counter(['warm-up'])
    address = context.mesh.vms[CALLERS_NODE].addresses['outbound']

    @hypothesis.settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @hypothesis.given(
        strategies.lists(requests, min_size=1, max_size=3),
        strategies.lists(strategies.integers(1, 90), min_size=1, max_size=4),
    )
    def check(sent: list[Sent], sizes: list[int]) -> None:
        identities = [f'grammar-{next(numbers)}' for _ in sent]
        sent_identities.update(identities)
        data = b''.join(
            item.encode(identity)
            for item, identity in zip(sent, identities, strict=True)
        )
        answers = context.run(
            _exchange(context, address, data, len(sent), sizes)
        )
        for item, identity, answer in zip(
            sent, identities, answers, strict=True
        ):
            status, headers, body = answer
            assert status == b'200', (status, headers, item)
            assert headers[b'x-attempt-id'] == identity.encode(), headers
            assert _ran(body) == (item.method, item.path, item.body), body

    check()
    report = context.run(context.mesh.report(TARGET_NODE))
    ran = collections.Counter(report['runs'])
    del ran['warm-up'], sent_identities['warm-up']
    print(f'{len(ran)} requests ran')
    assert ran == sent_identities, ran - sent_identities


def _ran(body: bytes) -> tuple[bytes, bytes, bytes]:
    """Return method, path with query, and body of what a target has run."""
    _, method, path, _, _, _, rest = body.split(b' ', 6)
    return method, path, rest


@behave.then(
    'heartbeats with any headers of their connection are answered with 200'
)
def then_heartbeats(context: typing.Any) -> None:
    vm = context.mesh.vms[TARGET_NODE]
    report = context.run(context.mesh.report(TARGET_NODE))
    for connection, size in itertools.product(CONNECTION_HEADERS, (9, 1000)):
        body = json.dumps(_heartbeat(report)).encode()
        data = (
            b'PUT /backends/%b HTTP/1.1\r\nHost: control\r\n%b'
            b'Content-Length: %d\r\n\r\n%b'
        ) % (report['target'].encode(), connection, len(body), body)
        answers = context.run(
            _exchange(context, vm.addresses['control'], data, 1, [size])
        )
        assert answers[0][0] == b'200', (connection, answers)


def _heartbeat(report: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a heartbeat of a target as its report tells."""
    return {
        'address': report['address'],
        'born': report['born'],
        'info': {
            'service': report['service'],
            'version': report['version'],
            'zone': report['domain'],
            'capacity_slots': report['slots'],
        },
        'status': {
            'state': report['state'],
            'sequence': report['sequence'],
            'cold_remaining_ms': 0,
        },
    }
