"""Steps of bad input from callers and from other nodes."""

from __future__ import annotations

import asyncio
import typing

import behave
import hypothesis
from hypothesis import strategies

from pomelobend import config
from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import link as links
from pomelobend.peers import messages
from tests.steps import fleet

FUZZ_WAIT_S = 0.05
"""Time for which an answer to a piece of fuzz is waited for."""

HEAD = b'POST /tonabok/archive HTTP/1.1\r\nHost: a\r\n'

RAW = {
    'no HTTP at all': b'\x16\x03\x01 what is this\r\n\r\n',
    'a head that is too large': (
        b'GET /tonabok/ HTTP/1.1\r\nHost: a\r\nx: '
        + b'a' * 40_000
        + b'\r\n\r\n'
    ),
    'a body that is too large': HEAD + b'Content-Length: 99999999\r\n\r\n',
    'a bad chunk size': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n'
    ),
    'two content lengths': (
        HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab'
    ),
    'a deadline that is no number': (
        b'GET /tonabok/x HTTP/1.1\r\nHost: a\r\n'
        b'Pomelobend-Deadline-Ms: soon\r\n\r\n'
    ),
}


async def send_raw(address: str, data: bytes, timeout_s: float) -> bytes:
    """Send bytes and return what comes back until silence or the end."""
    host, port = config.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await reader.read(65536)
    except (TimeoutError, ConnectionError):
        return b''
    finally:
        writer.transport.abort()


@behave.when('a caller sends {fault} to {node}')
def when_raw(context: typing.Any, fault: str, node: str) -> None:
    address = context.fleet.nodes[node].callers
    context.raw = context.run(send_raw(address, RAW[fault], fleet.START_S))


@behave.then(
    'the raw status is {status:d} and {node} counts a refusal {reason}'
)
def then_raw(context: typing.Any, status: int, node: str, reason: str) -> None:
    assert context.raw.startswith(b'HTTP/1.1 %d' % status), context.raw
    found = context.run(fleet.metrics(context, node))
    counts = {
        name: value
        for name, value in found.items()
        if name.startswith('pomelobend_calls_refused_total')
        and f'"{reason}/' in name
    }
    assert sum(counts.values()) >= 1, (reason, counts)


_pieces = strategies.sampled_from([data[:2000] for data in RAW.values()])
_changes = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 1999),
        strategies.integers(0, 3),
        strategies.binary(max_size=4),
    ),
    min_size=1,
    max_size=8,
)


@behave.when('callers send {count:d} pieces of fuzz to {node}')
def when_fuzz(context: typing.Any, count: int, node: str) -> None:
    address = context.fleet.nodes[node].callers

    @hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(_pieces, _changes)
    def send(piece: bytes, changes: list[tuple[int, int, bytes]]) -> None:
        data = bytearray(piece)
        for place, removed, added in changes:
            data[place : place + removed] = added
        context.run(send_raw(address, bytes(data), FUZZ_WAIT_S))

    send()


HELLO = messages.Hello(messages.PROTOCOL, 'stranger', 1, 'hella', '')


@behave.when('a peer of {node} sends {fault}')
def when_peer_sends(context: typing.Any, node: str, fault: str) -> None:
    address = context.fleet.nodes[node].peers
    hello = codec.encode(HELLO)
    first, second = {
        'another protocol version': (
            codec.encode(messages.Hello(9, 'stranger', 1, 'hella', '')),
            None,
        ),
        'truncated CBOR': (hello, hello[:-3]),
        'wrong types': (hello, codec.encode(messages.Applied(1))[:-1] + b'a'),
        'a message too large': (hello, b'\x00' * (4 * 1024 * 1024)),
        'a text message': (hello, 'text'),
        'nothing at all': (None, None),
    }[fault]

    async def talk() -> None:
        link = await links.Link.connect(address, 2**24, 5)
        for data in (first, second):
            if isinstance(data, str):
                import picows

                link.transport.send(picows.WSMsgType.TEXT, data.encode())
            elif data is not None:
                link.send(data)
        context.ended = False
        try:
            async with asyncio.timeout(fleet.START_S):
                while True:
                    await link.receive()
        except errors.PeerError:
            context.ended = True
        finally:
            link.abort()

    context.run(talk())


@behave.then('{node} ends that connection')
def then_ended(context: typing.Any, node: str) -> None:
    assert context.ended
