"""Calls to the targets of other nodes."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs

from pomelobend import calls
from pomelobend import errors
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.membership import member as members
    from pomelobend.peers import connection as connections
    from pomelobend.peers import pool as pools
    from pomelobend.peers import stream as streams
    from pomelobend.routing import choice

MARGIN_S = 0.25
"""Time past the deadline within which the other node's word may arrive."""


@attrs.define(eq=False)
class Caller:
    """Sends calls over the connections to other nodes."""

    pool: pools.Pool
    clock: clocks.Clock

    async def call(
        self, call: calls.Call, item: members.Member, view: choice.View
    ) -> calls.Answer:
        """Return the answer of another node's target.

        Raises
        ------
        errors.CallRefusedError
            ``NOT_RUN`` where the call did not leave this node, or where the
            other node says so.
        """
        try:
            connection = await self.pool.get(item.address)
            stream = connection.open_stream()
        except errors.PeerError as error:
            raise errors.CallRefusedError(
                errors.Reason.PEER_UNREACHABLE, detail=str(error)
            ) from error
        try:
            return await self._exchange(connection, stream, call, view)
        except BaseException:
            _abandon(connection, stream)
            raise

    async def _exchange(
        self,
        connection: connections.Connection,
        stream: streams.Stream,
        call: calls.Call,
        view: choice.View,
    ) -> calls.Answer:
        self._start(stream, call)
        sending = self._send_rest(stream, call)
        try:
            async with asyncio.timeout(self._left(call) + MARGIN_S):
                message = await stream.receive()
        except errors.LinkClosedError as error:
            raise errors.CallRefusedError(
                errors.Reason.PEER_LOST, errors.Run.UNKNOWN, str(error)
            ) from error
        except TimeoutError as error:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_TIMEOUT, errors.Run.UNKNOWN
            ) from error
        finally:
            if sending is not None:
                sending.cancel()
        return _settle(connection, stream, message, view)

    def _start(self, stream: streams.Stream, call: calls.Call) -> None:
        start = messages.CallStart(
            stream.call,
            call.route.rule.name,
            call.route.service.name,
            call.method,
            call.path,
            call.headers,
            max(0, round(self._left(call) * 1000)),
            call.attempt,
            call.key,
            call.body,
            call.rest is None,
        )
        stream.room -= len(call.body)
        try:
            stream.connection.send(start)
        except errors.LinkClosedError as error:
            raise errors.CallRefusedError(
                errors.Reason.PEER_UNREACHABLE, detail=str(error)
            ) from error

    def _send_rest(
        self, stream: streams.Stream, call: calls.Call
    ) -> asyncio.Task | None:
        if call.rest is None:
            return None
        return asyncio.create_task(_send_body(stream, call.rest))

    def _left(self, call: calls.Call) -> float:
        return max(0.0, call.deadline - self.clock.monotonic())


async def _send_body(
    stream: streams.Stream, rest: abc.AsyncIterator[bytes]
) -> None:
    """Send the rest of a body, or say that it ends too early."""
    try:
        await stream.send_body(rest)
    except errors.LinkClosedError:
        return
    except errors.CallRefusedError as refusal:
        with contextlib.suppress(errors.LinkClosedError):
            stream.connection.send(
                messages.Broken(stream.call, str(refusal.reason))
            )


def _settle(
    connection: connections.Connection,
    stream: streams.Stream,
    message: messages.Message,
    view: choice.View,
) -> calls.Answer:
    if type(message) is messages.Refused:
        view.free = message.free
        raise refusal_from(message)
    if type(message) is not messages.AnswerStart:
        raise errors.CallRefusedError(
            errors.Reason.PEER_LOST,
            errors.Run.UNKNOWN,
            f'{type(message).__name__} in place of an answer',
        )
    view.free = message.free
    if message.is_complete:
        connection.close_stream(stream)
        return calls.Answer(message.status, message.headers, message.body)
    return calls.Answer(
        message.status,
        message.headers,
        b'',
        _rest(connection, stream, message.body),
    )


async def _rest(
    connection: connections.Connection, stream: streams.Stream, first: bytes
) -> abc.AsyncIterator[bytes]:
    """Yield the body of an answer and end the call with it."""
    is_whole = False
    try:
        async for part in stream.body(first):
            yield part
        is_whole = True
    finally:
        if is_whole:
            connection.close_stream(stream)
        else:
            _abandon(connection, stream)


def _abandon(
    connection: connections.Connection, stream: streams.Stream
) -> None:
    """Forget a call and tell the other node so."""
    if stream.call in connection.streams:
        connection.close_stream(stream)
        with contextlib.suppress(errors.LinkClosedError):
            connection.send(messages.Cancel(stream.call))


def refusal_from(message: messages.Refused) -> errors.CallRefusedError:
    """Return the refusal that a node has sent.

    What this node does not know counts as unknown, never as not run.
    """
    try:
        return errors.CallRefusedError(
            errors.Reason(message.reason),
            errors.Run(message.run),
            message.detail,
        )
    except ValueError:
        return errors.CallRefusedError(
            errors.Reason.PEER_LOST, errors.Run.UNKNOWN, message.reason
        )
