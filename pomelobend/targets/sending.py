"""The request of a call: its head, and a body that is sent in parts."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import calls
    from pomelobend.targets import channel as channels


CHUNKED = [('transfer-encoding', 'chunked')]

REPLACED_HEADERS = frozenset(('content-length', 'expect'))
"""Headers of a call that are not sent as they came: its length is that of the
body which is sent, and the node itself has answered an expectation."""


@attrs.frozen
class RequestHead:
    """The head of a request.

    Parameters
    ----------
    data : bytes
    is_chunked : bool
        Whether the body follows in chunks, as its length is not known.
    """

    data: bytes
    is_chunked: bool


async def while_sending(
    sending: abc.Coroutine[None, None, None],
    receiving: abc.Coroutine[None, None, calls.Answer],
) -> calls.Answer:
    """Return the answer to a call while the body of its request is sent.

    The answer may begin, or end, before the body has been sent to its end. A
    target that has ended its answer gets no more of it.

    Raises
    ------
    errors.CallRefusedError
        The caller truncated the body.
    """
    send_task = asyncio.create_task(sending)
    answer_task = asyncio.create_task(receiving)
    try:
        await asyncio.wait(
            (send_task, answer_task), return_when=asyncio.FIRST_COMPLETED
        )
        if send_task.done():
            send_task.result()
        return await answer_task
    finally:
        for task in (send_task, answer_task):
            task.cancel()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                await task
        # A task with an error would refer to this frame by its traceback.
        del send_task, answer_task, task


async def send_parts(
    channel: channels.Channel,
    remaining_body: abc.AsyncIterator[bytes],
    is_chunked: bool,
) -> None:
    """Send the body of a request, unless its connection ends.

    Raises
    ------
    errors.CallRefusedError
        The caller truncated the body.
    """
    async for part in remaining_body:
        await channel.wait_writable()
        if not channel.is_open:
            return
        if is_chunked:
            part = b'%x\r\n%b\r\n' % (len(part), part)
        channel.write(part)
    if is_chunked:
        channel.write(b'0\r\n\r\n')
    channel.end_request()


def encode_head(
    call: calls.Call, added_headers: calls.Headers, host: str
) -> RequestHead:
    """Serialize the head of a request.

    Parameters
    ----------
    call : calls.Call
    added_headers : list of tuple of str
        Headers that the node adds to those of the call.
    host : str
        Name of the host if the call has none.
    """
    kept = [pair for pair in call.headers if pair[0] not in REPLACED_HEADERS]
    if not any(name == 'host' for name, _ in kept):
        kept.append(('host', host))
    framing = _framing(call)
    headers = [*kept, *framing, *added_headers]
    lines = [
        f'{call.method} {call.path.decode("ascii")} HTTP/1.1',
        *(f'{name}: {value}' for name, value in headers),
    ]
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return RequestHead(text.encode('latin-1', 'replace'), framing == CHUNKED)


def _framing(call: calls.Call) -> calls.Headers:
    """Return the headers that tell where the body of a request ends."""
    lengths = [v for name, v in call.headers if name == 'content-length']
    if call.remaining_body is not None:
        return [('content-length', lengths[-1])] if lengths else CHUNKED
    if call.body or lengths:
        return [('content-length', str(len(call.body)))]
    return []
