"""Steps of connections to a target that are used again, or are not."""

from __future__ import annotations

import asyncio
import re
import typing

import attrs
import behave

from pomelobend import errors
from pomelobend.routing import call as call_module
from standins import fleet
from tests.steps import test_targets_channel as channel_steps

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.targets import client as target_clients

MIB = 1024 * 1024
PART = b'u' * 64 * 1024
PARTS = 4
READ_BYTES = 1024
DEADLINE_S = 3.0
NEXT_DEADLINE_S = 1.0
PAUSE_S = 0.02
READS_ON_S = 0.2
LAST_CHUNK = b'0\r\n\r\n'
FIRST_ID, NEXT_ID = 'upload', 'next'
BODY = b'bells of a target'
LENGTH = b'Content-Length: %d' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked'

_HEAD = channel_steps.complete_answer(FIRST_ID.encode(), LENGTH, body=b'')
_CHUNKED_HEAD = channel_steps.complete_answer(
    FIRST_ID.encode(), CHUNKED, body=b''
)
SHAPES = {
    'in one read': [_HEAD + BODY],
    'in two reads': [_HEAD, BODY],
    'in many reads': [_HEAD[:9], _HEAD[9:], BODY[:3], BODY[3:9], BODY[9:]],
    'in chunks': [
        _CHUNKED_HEAD,
        b'%x\r\n%b\r\n' % (len(BODY), BODY),
        LAST_CHUNK,
    ],
    'without a body': [
        channel_steps.complete_answer(FIRST_ID.encode(), body=b'').replace(
            b'200 OK', b'204 No Content'
        )
    ],
    'in two reads after a 100': [
        b'HTTP/1.1 100 Continue\r\n\r\n',
        _HEAD,
        BODY,
    ],
    'in two reads with a close': [
        _HEAD[:-2] + b'Connection: close\r\n\r\n',
        BODY,
    ],
    'in two reads by HTTP/1.0': [
        _HEAD.replace(b'HTTP/1.1', b'HTTP/1.0'),
        BODY,
    ],
}
"""Pieces in which a target sends its answer to an upload."""


@attrs.define(eq=False)
class Target:
    """A target that answers uploads early or late, and reads on.

    Parameters
    ----------
    pieces : list of bytes
        Its answer to an upload.
    is_early : bool
        Whether it answers before it has read the body.
    ends_late : bool
        Whether it ends the answer only once it has read the body.
    connections : list of list of str
        The requests on each connection, by their ids.
    foreign : list of bytes
        What came in the body of an upload and is no part of it.
    """

    pieces: list[bytes]
    is_early: bool
    ends_late: bool = False
    connections: list[list[str]] = attrs.field(factory=list)
    foreign: list[bytes] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection in sequence."""
        requests: list[str] = []
        self.connections.append(requests)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                identity = re.search(rb'x-attempt-id: (\S+)', head)[1]
                requests.append(identity.decode())
                if identity.decode() == FIRST_ID:
                    await self._serve_upload(head, reader, writer)
                else:
                    writer.write(
                        channel_steps.complete_answer(
                            identity, LENGTH, body=BODY
                        )
                    )
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _serve_upload(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not self.is_early:
            await self._read_body(head, reader)
        else:
            await reader.readexactly(READ_BYTES)
        for piece in self.pieces:
            writer.write(piece)
            await asyncio.sleep(PAUSE_S)
            if self.ends_late and piece is self.pieces[0]:
                await self._read_body(head, reader, READ_BYTES)
        if self.is_early and not self.ends_late:
            await asyncio.sleep(READS_ON_S)
            await self._read_body(head, reader, READ_BYTES)

    async def _read_body(
        self, head: bytes, reader: asyncio.StreamReader, size: int = 0
    ) -> None:
        """Read a body to its end, of which some has been read."""
        length = re.search(rb'content-length: (\d+)', head)
        last = b''
        while length is None or size < int(length[1]):
            part = await reader.read(len(PART))
            if not part:
                raise asyncio.IncompleteReadError(part, None)
            size += len(part)
            if NEXT_ID.encode() in part:
                self.foreign.append(part)
            last = (last + part)[-len(LAST_CHUNK) :]
            if length is None and last == LAST_CHUNK:
                return


@behave.given(
    'an answer to uploads that begins after their first bytes and ends after'
    ' their last'
)
def given_answer_ends_late(context: typing.Any) -> None:
    given_target(context, 'in two reads', 'first')
    context.target.ends_late = True


@behave.given('uploads are answered {shape} after their {when} bytes')
def given_target(context: typing.Any, shape: str, when: str) -> None:
    context.target = Target(SHAPES[shape], is_early=when == 'first')
    (port,) = fleet.free_ports(1)
    context.run(
        channel_steps.start_server(context, context.target.serve, port)
    )
    context.client = channel_steps.new_client(port)
    context.stack.push_async_callback(_close, context.client)


async def _close(client: target_clients.Client) -> None:
    """Close the connections to the target, which sees it."""
    client.close()
    await asyncio.sleep(PAUSE_S)


async def _parts(extent: str) -> abc.AsyncIterator[bytes]:
    """Yield the parts of a body that is sent whole, in part or slowly."""
    for _ in range(PARTS - 1):
        yield PART
        if extent == 'slowly':
            await asyncio.sleep(PAUSE_S)
    if extent == 'in part':
        await asyncio.get_running_loop().create_future()
    yield PART


def _new_call(
    context: typing.Any, identity: str, method: str, timeout_s: float
) -> call_module.Call:
    now = context.client.clock.monotonic()
    return call_module.Call(
        route_name='order',
        service='tonabok',
        method=method,
        path=b'/a/',
        headers=[('host', 'a.example'), ('x-attempt-id', identity)],
        started=now,
        deadline=now + timeout_s,
        is_idempotent=False,
        priority=1,
        objective_ms=500,
    )


async def _outcome(
    context: typing.Any, call: call_module.Call
) -> int | errors.Reason:
    """Return the status of the answer to a call, or why it was refused."""
    try:
        answer = await context.client.call(call)
    except errors.CallRefusedError as refusal:
        return refusal.reason
    assert answer.body in (b'', BODY), answer.body
    return answer.status


def _send_both(context: typing.Any, upload: call_module.Call) -> None:
    async def act() -> list[int | errors.Reason]:
        first = await _outcome(context, upload)
        following = _new_call(context, NEXT_ID, 'GET', NEXT_DEADLINE_S)
        outcomes = [first, await _outcome(context, following)]
        await asyncio.sleep(2 * READS_ON_S)
        return outcomes

    context.outcomes = context.run(act())


@behave.when(
    'an upload {framing}, sent {extent}, and a call follow each other'
)
def when_parts(context: typing.Any, framing: str, extent: str) -> None:
    upload = _new_call(context, FIRST_ID, 'POST', DEADLINE_S)
    upload.remaining_body = _parts(extent)
    if framing == 'with a length':
        size = PARTS * len(PART)
        upload.headers.append(('content-length', str(size)))
    _send_both(context, upload)


@behave.when(
    'an upload of {size:d} MiB in one piece and a call follow each other'
)
def when_whole(context: typing.Any, size: int) -> None:
    upload = _new_call(context, FIRST_ID, 'POST', DEADLINE_S)
    upload.body = b'u' * size * MIB
    _send_both(context, upload)


@behave.then('both are answered')
def then_answered(context: typing.Any) -> None:
    first, following = context.outcomes
    assert first in (200, 204), context.outcomes
    assert following == 200, context.outcomes


@behave.then(
    'the target has received nothing of the call in the body of the upload'
)
def then_none_foreign(context: typing.Any) -> None:
    assert not context.target.foreign, context.target.foreign
    assert context.target.connections == [[FIRST_ID], [NEXT_ID]]


@behave.then('the call was sent on {which} connection')
def then_connection(context: typing.Any, which: str) -> None:
    expected = {
        'a new': [[FIRST_ID], [NEXT_ID]],
        'the same': [[FIRST_ID, NEXT_ID]],
    }
    assert context.target.connections == expected[which], (
        context.target.connections
    )
