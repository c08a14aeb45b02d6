"""HTTP calls to the local target."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs

from pomelobend import calls
from pomelobend import errors
from pomelobend.targets import channel as channels

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend import config

WHOLE_BYTES = 64 * 1024
"""Largest answer that is read as a whole before it is passed on."""

NO_BODY_STATUS = frozenset((204, 304))


@attrs.define(eq=False)
class Client:
    """Calls the target over kept connections."""

    clock: clocks.Clock
    channels: channels.Channels
    silence_s: float

    @classmethod
    def from_config(
        cls, settings: config.Limits, clock: clocks.Clock
    ) -> Client:
        """Build a client that knows no target yet."""
        silence_s = settings.body_silence.total_seconds()
        return cls(clock, channels.Channels(clock), silence_s)

    def use(self, address: str) -> None:
        """Call the target at an address from now on."""
        self.channels.use(address)

    async def call(self, call: calls.Call) -> calls.Answer:
        """Run a call on the target.

        Raises
        ------
        errors.CallRefusedError
            ``NOT_RUN`` only where no byte of the call was sent.
        """
        left = call.deadline - self.clock.monotonic()
        if left <= 0:
            raise errors.CallRefusedError(errors.Reason.DEADLINE_PASSED)
        is_sent = False
        channel = None
        try:
            async with asyncio.timeout(left):
                channel = await self.channels.take(
                    is_idempotent=call.route.rule.is_idempotent
                )
                is_sent = True
                return await self._exchange(channel, call, left)
        except TimeoutError as error:
            _close(channel)
            run = errors.Run.UNKNOWN if is_sent else errors.Run.NOT_RUN
            raise errors.CallRefusedError(
                errors.Reason.TARGET_TIMEOUT, run
            ) from error
        except errors.AnswerBrokenError as error:
            _close(channel)
            raise errors.CallRefusedError(
                errors.Reason.TARGET_LOST, errors.Run.UNKNOWN, str(error)
            ) from error
        except OSError as error:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_UNREACHABLE, detail=str(error)
            ) from error
        except BaseException:
            _close(channel)
            raise

    def close(self) -> None:
        """Close all connections to the target."""
        self.channels.close()

    async def _exchange(
        self, channel: channels.Channel, call: calls.Call, left: float
    ) -> calls.Answer:
        channel.begin(is_without_body=call.method == 'HEAD')
        head_bytes, is_chunked = _request_head(call, left, self._host())
        channel.write(head_bytes + call.body)
        if call.rest is None:
            head = await channel.wait_for_head()
        else:
            head = await _send_rest(channel, call.rest, is_chunked)
        return await self._answer(channel, head)

    async def _answer(
        self, channel: channels.Channel, head: channels.Head
    ) -> calls.Answer:
        headers = calls.end_to_end(head.headers)
        is_small = (
            channel.is_ended
            or head.status in NO_BODY_STATUS
            or (head.length is not None and head.length <= WHOLE_BYTES)
        )
        if not is_small:
            return calls.Answer(
                head.status, headers, b'', self._parts(channel)
            )
        body = b''.join([part async for part in channel.body(self.silence_s)])
        self.channels.give_back(channel)
        return calls.Answer(head.status, headers, body)

    async def _parts(
        self, channel: channels.Channel
    ) -> abc.AsyncIterator[bytes]:
        """Yield the body of an answer as it arrives."""
        try:
            async for part in channel.body(self.silence_s):
                yield part
        finally:
            self.channels.give_back(channel)

    def _host(self) -> str:
        return self.channels.address


async def _send_rest(
    channel: channels.Channel,
    rest: abc.AsyncIterator[bytes],
    is_chunked: bool,
) -> channels.Head:
    """Send a body in parts; the answer may begin before its end.

    Raises
    ------
    errors.CallRefusedError
        The caller broke off the body.
    """
    sending = asyncio.create_task(_send_parts(channel, rest, is_chunked))
    waiting = asyncio.create_task(channel.wait_for_head())
    try:
        await asyncio.wait(
            (sending, waiting), return_when=asyncio.FIRST_COMPLETED
        )
        if sending.done() and sending.exception() is not None:
            raise sending.exception()
        head = await waiting
        if not sending.done():
            channel.is_kept = False
        return head
    finally:
        for task in (sending, waiting):
            task.cancel()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                await task


async def _send_parts(
    channel: channels.Channel,
    rest: abc.AsyncIterator[bytes],
    is_chunked: bool,
) -> None:
    async for part in rest:
        await channel.writable()
        if channel.error is not None:
            return
        if is_chunked:
            part = b'%x\r\n%b\r\n' % (len(part), part)
        channel.write(part)
    if is_chunked:
        channel.write(b'0\r\n\r\n')


def _request_head(
    call: calls.Call, left: float, host: str
) -> tuple[bytes, bool]:
    """Return the head of a request and whether its body is chunked."""
    length = None
    has_host = False
    lines = [f'{call.method} {call.path.decode("ascii")} HTTP/1.1']
    for name, value in call.headers:
        if name == 'content-length':
            length = value
        elif name != 'expect':
            has_host = has_host or name == 'host'
            lines.append(f'{name}: {value}')
    if not has_host:
        lines.append(f'host: {host}')
    is_chunked = call.rest is not None and length is None
    if is_chunked:
        lines.append('transfer-encoding: chunked')
    elif call.rest is not None:
        lines.append(f'content-length: {length}')
    elif call.body or length is not None:
        lines.append(f'content-length: {len(call.body)}')
    lines.append(f'{calls.DEADLINE_HEADER}: {int(left * 1000)}')
    lines.append(f'{calls.ATTEMPT_HEADER}: {call.attempt}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('latin-1', 'replace'), is_chunked


def _close(channel: channels.Channel | None) -> None:
    if channel is not None:
        channel.close()
