"""The HTTP server that takes calls from callers and the local target."""

from __future__ import annotations

import asyncio
import json
import typing

import attrs
import sanic
from sanic import compat
from sanic import exceptions
from sanic import response as responses
from sanic.server.protocols import http_protocol

from pomelobend import calls
from pomelobend import config
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from sanic import request as requests

    from pomelobend import clock as clocks
    from pomelobend.configuration import snapshot as snapshots
    from pomelobend.configuration import store as stores
    from pomelobend.metrics import counters as counter_module
    from pomelobend.routing import dispatcher as dispatchers

WHOLE_BYTES = 64 * 1024
"""Largest body of a request that is read as a whole before it is sent."""

KEY_LENGTH = 256
"""Largest number of characters in an idempotency key."""

STATUS = {
    errors.Reason.NO_ROUTE: 404,
    errors.Reason.BAD_REQUEST: 400,
    errors.Reason.BODY_INCOMPLETE: 400,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.HEADERS_TOO_LARGE: 431,
    errors.Reason.DEADLINE_PASSED: 504,
    errors.Reason.TARGET_TIMEOUT: 504,
    errors.Reason.TARGET_LOST: 502,
    errors.Reason.PEER_LOST: 502,
    errors.Reason.ALREADY_CLAIMED: 409,
    errors.Reason.ALREADY_RUN: 409,
    errors.Reason.KEY_REUSED: 422,
}
"""Status of refusals; any other reason is answered with 503."""

_STATUS_REASONS = {
    404: errors.Reason.NO_ROUTE,
    413: errors.Reason.BODY_TOO_LARGE,
    431: errors.Reason.HEADERS_TOO_LARGE,
}


class Protocol(http_protocol.HttpProtocol):
    """A connection that hands every request straight to the front.

    Routes come from the configuration, so the router, the middleware and
    the signals of the library are not run for calls.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.request_handler = self.app.ctx.front.serve


class Response(responses.HTTPResponse):
    """An answer without the empty header that the library adds."""

    @property
    def processed_headers(self) -> typing.Any:
        """Return the headers as they are sent."""
        self.headers.pop('alt-svc', None)
        return super().processed_headers


@attrs.define(eq=False)
class Front:
    """Takes calls, dispatches them, and gives back their answers."""

    settings: config.Settings
    clock: clocks.Clock
    store: stores.Store
    dispatcher: dispatchers.Dispatcher
    counters: counter_module.Counters
    is_stopping: bool = False
    in_flight: int = 0
    server: typing.Any = None

    async def listen(self) -> None:
        """Begin to take calls."""
        app = sanic.Sanic('callers', configure_logging=False)
        app.ctx.front = self
        app.config.update(
            ACCESS_LOG=False,
            TOUCHUP=True,
            KEEP_ALIVE_TIMEOUT=75,
            REQUEST_MAX_HEADER_SIZE=self.settings.limits.header_bytes,
            REQUEST_MAX_SIZE=self.settings.limits.body_bytes,
            RESPONSE_TIMEOUT=900,
            REQUEST_TIMEOUT=60,
        )
        app.add_route(_not_routed, '/')
        app.error_handler.add(Exception, self._answer_malformed)
        host, port = config.split_address(self.settings.listen.callers)
        self.server = await app.create_server(
            host, port, protocol=Protocol, access_log=False, backlog=1024
        )
        await self.server.startup()
        await self.server.start_serving()

    def stop_listening(self) -> None:
        """Take no new connection; calls in flight go on."""
        self.is_stopping = True
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Close the connections on which no call is in flight."""
        for connection in list(self.server.connections):
            connection.close_if_idle()

    async def serve(self, request: requests.Request) -> None:
        """Answer one request with an answer or with a typed refusal."""
        self.counters.add('calls_received')
        self.in_flight += 1
        if self.is_stopping:
            request.stream.keep_alive = False
        try:
            answer = await self._run(request)
        except errors.CallRefusedError as refusal:
            self._count_refusal(refusal)
            await _send_whole(request, _refusal_response(refusal))
        else:
            await self._send(request, answer)
        finally:
            self.in_flight -= 1

    async def _run(self, request: requests.Request) -> calls.Answer:
        if self.in_flight > self.settings.limits.calls:
            raise errors.CallRefusedError(errors.Reason.OVERLOADED)
        snapshot = self.store.snapshot
        if snapshot.number == 0:
            raise errors.CallRefusedError(errors.Reason.NOT_READY)
        route = snapshot.find_route(request.method, request.raw_url)
        if route is None:
            raise errors.CallRefusedError(errors.Reason.NO_ROUTE)
        call = self._call(request, route)
        await _take_body(request, call)
        return await self.dispatcher.dispatch(call)

    def _call(
        self, request: requests.Request, route: snapshots.BoundRoute
    ) -> calls.Call:
        headers = request.headers
        limit_s = route.rule.timeout.total_seconds()
        asked_ms = _whole(headers, calls.DEADLINE_HEADER, None)
        if asked_ms is not None:
            limit_s = min(limit_s, asked_ms / 1000)
        return calls.Call(
            route,
            request.method,
            request.raw_url,
            [
                pair
                for pair in calls.end_to_end(headers.items())
                if pair[0] not in _OWN_HEADERS
            ],
            self.clock.monotonic() + limit_s,
            _whole(headers, calls.ATTEMPT_HEADER, 0),
            _key(headers),
        )

    async def _send(
        self, request: requests.Request, answer: calls.Answer
    ) -> None:
        self.counters.add('calls_answered', f'{answer.status // 100}xx')
        if answer.rest is None:
            await _send_whole(
                request,
                Response(
                    answer.body,
                    answer.status,
                    compat.Header(answer.headers),
                    content_type=None,
                ),
            )
            return
        try:
            await self._send_parts(request, answer, answer.rest)
        except errors.AnswerBrokenError:
            self.counters.add('answers_broken')
            request.stream.keep_alive = False
            request.transport.abort()
            raise asyncio.CancelledError from None

    async def _send_parts(
        self,
        request: requests.Request,
        answer: calls.Answer,
        rest: abc.AsyncIterator[bytes],
    ) -> None:
        """Send an answer in parts, as fast as its caller takes them.

        Raises
        ------
        errors.AnswerBrokenError
            The answer ended too early, or its caller takes no more of it.
        """
        silence_s = self.settings.limits.body_silence.total_seconds()
        response = Response(
            None, answer.status, compat.Header(answer.headers), None
        )
        stream = request.stream
        stream.respond(response)
        try:
            async for part in rest:
                async with asyncio.timeout(silence_s):
                    await stream.send(part, False)
            if stream.response_func is not None:
                await stream.send(b'', True)
        except (exceptions.SanicException, TimeoutError) as error:
            raise errors.AnswerBrokenError(repr(error)) from error

    def _count_refusal(self, refusal: errors.CallRefusedError) -> None:
        self.counters.add('calls_refused', f'{refusal.reason}/{refusal.run}')

    async def _answer_malformed(
        self, request: requests.Request, error: Exception
    ) -> responses.HTTPResponse:
        """Answer what the HTTP library found to be no valid request."""
        status = getattr(error, 'status_code', 500)
        self.counters.add('requests_malformed', str(status))
        reason = _STATUS_REASONS.get(status, errors.Reason.BAD_REQUEST)
        if 'header' in str(error).lower() and status == 413:
            reason = errors.Reason.HEADERS_TOO_LARGE
        refusal = errors.CallRefusedError(reason, detail=str(error)[:200])
        self._count_refusal(refusal)
        return _refusal_response(refusal)


_OWN_HEADERS = frozenset((calls.DEADLINE_HEADER, calls.ATTEMPT_HEADER))


async def _not_routed(request: requests.Request) -> responses.HTTPResponse:
    """Stand for a route that the library wants to see."""
    raise exceptions.NotFound


def _whole(
    headers: abc.Mapping[str, str], name: str, absent: typing.Any
) -> typing.Any:
    text = headers.get(name)
    if text is None:
        return absent
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise errors.CallRefusedError(
            errors.Reason.BAD_REQUEST, detail=f'{name} is not a whole number'
        )
    return int(text)


def _key(headers: abc.Mapping[str, str]) -> str:
    key = headers.get(calls.KEY_HEADER, '')
    if len(key) > KEY_LENGTH:
        raise errors.CallRefusedError(
            errors.Reason.BAD_REQUEST, detail=f'{calls.KEY_HEADER} is too long'
        )
    return key


async def _take_body(request: requests.Request, call: calls.Call) -> None:
    """Read a small body as a whole; leave a large one to be streamed."""
    stream = request.stream
    if not stream.request_body:
        return
    length = _whole(request.headers, 'content-length', None)
    largest = call.route.rule.body_bytes
    if length is not None and length > largest:
        stream.keep_alive = False
        raise errors.CallRefusedError(errors.Reason.BODY_TOO_LARGE)
    if length is None or length > WHOLE_BYTES:
        call.rest = _parts(request, largest)
        return
    parts = [part async for part in _parts(request, largest)]
    call.body = b''.join(parts)


async def _parts(
    request: requests.Request, largest: int
) -> abc.AsyncIterator[bytes]:
    """Yield the body of a request as it arrives."""
    size = 0
    stream = request.stream
    try:
        while stream.request_body:
            part = await stream.read()
            if part:
                size += len(part)
                if size > largest:
                    raise errors.CallRefusedError(
                        errors.Reason.BODY_TOO_LARGE, errors.Run.UNKNOWN
                    )
                yield part
    except exceptions.SanicException as error:
        raise errors.CallRefusedError(
            errors.Reason.BODY_INCOMPLETE, errors.Run.UNKNOWN, str(error)
        ) from error


async def _send_whole(
    request: requests.Request, response: responses.HTTPResponse
) -> None:
    stream = request.stream
    stream.respond(response)
    await response.send(response.body, end_stream=True)


def _refusal_response(
    refusal: errors.CallRefusedError,
) -> responses.HTTPResponse:
    body = json.dumps(
        {
            'code': refusal.code,
            'reason': refusal.reason,
            'run': refusal.run,
            'detail': refusal.detail,
        }
    )
    return Response(
        body,
        STATUS.get(refusal.reason, 503),
        {
            'pomelobend-refused': str(refusal.reason),
            'pomelobend-run': str(refusal.run),
        },
        'application/json',
    )
