"""Calls of other nodes for the target of this node."""

from __future__ import annotations

import contextlib
import itertools
import typing

import attrs

from pomelobend import calls
from pomelobend import errors
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.admission import guard as guards
    from pomelobend import clock as clocks
    from pomelobend.configuration import store as stores
    from pomelobend.peers import connection as connections
    from pomelobend.peers import stream as streams

SPACE = 0x20
"""Highest byte that must not stand in a path."""


@attrs.define(eq=False)
class Callee:
    """Answers calls that arrive over connections."""

    store: stores.Store
    guard: guards.Guard
    clock: clocks.Clock

    async def serve(
        self,
        connection: connections.Connection,
        start: messages.CallStart,
        stream: streams.Stream,
    ) -> None:
        """Run a call and send its answer or its refusal."""
        try:
            call = self._call(start, stream)
            answer = await self.guard.run(call)
        except errors.CallRefusedError as refusal:
            self._refuse(connection, start.call, refusal)
            return
        with contextlib.suppress(errors.LinkClosedError):
            await self._answer(connection, stream, answer)

    def _call(
        self, start: messages.CallStart, stream: streams.Stream
    ) -> calls.Call:
        if start.service != self.guard.service:
            raise errors.CallRefusedError(
                errors.Reason.NO_TARGET, detail=start.service
            )
        if not _is_plain(start):
            raise errors.CallRefusedError(errors.Reason.BAD_REQUEST)
        route = self.store.snapshot.find_route(start.method, start.path)
        if route is None or route.rule.name != start.route:
            raise errors.CallRefusedError(
                errors.Reason.NO_ROUTE, detail=start.route
            )
        return calls.Call(
            route,
            start.method,
            start.path,
            [(name, value) for name, value in start.headers],
            self.clock.monotonic() + start.deadline_ms / 1000,
            start.attempt,
            start.key,
            start.body if start.is_complete else b'',
            None if start.is_complete else _body(stream, start.body),
        )

    def _refuse(
        self,
        connection: connections.Connection,
        call: int,
        refusal: errors.CallRefusedError,
    ) -> None:
        with contextlib.suppress(errors.LinkClosedError):
            connection.send(
                messages.Refused(
                    call,
                    str(refusal.reason),
                    str(refusal.run),
                    refusal.detail[:200],
                    self.guard.free,
                )
            )

    async def _answer(
        self,
        connection: connections.Connection,
        stream: streams.Stream,
        answer: calls.Answer,
    ) -> None:
        connection.send(
            messages.AnswerStart(
                stream.call,
                answer.status,
                answer.headers,
                answer.body,
                answer.rest is None,
                self.guard.free,
            )
        )
        if answer.rest is None:
            return
        stream.room -= len(answer.body)
        try:
            await stream.send_body(answer.rest)
        except errors.AnswerBrokenError as error:
            connection.send(messages.Broken(stream.call, str(error)[:200]))


def _is_plain(start: messages.CallStart) -> bool:
    """Tell whether a call can be written as the head of a request."""
    fields = itertools.chain.from_iterable(start.headers)
    return (
        start.path.isascii()
        and not any(byte <= SPACE for byte in start.path)
        and not any('\r' in text or '\n' in text for text in fields)
    )


async def _body(
    stream: streams.Stream, first: bytes
) -> abc.AsyncIterator[bytes]:
    """Yield the body of a call, which its caller may break off."""
    try:
        async for part in stream.body(first):
            yield part
    except errors.AnswerBrokenError as error:
        raise errors.CallRefusedError(
            errors.Reason.BODY_INCOMPLETE, errors.Run.UNKNOWN, str(error)
        ) from error
