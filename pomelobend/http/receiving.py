"""Requests of a connection, from its bytes."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import weakref

import httptools

from pomelobend import errors
from pomelobend.http import incoming as incoming_module
from pomelobend.http import message
from pomelobend.http import replying
from pomelobend.memory import budget as budgets
from pomelobend.memory import eviction
from pomelobend import turns

if typing.TYPE_CHECKING:
    from collections import abc

MAX_PIPELINED = 8
"""Queued requests of a connection above which reading from it pauses."""

MAX_QUEUED_BYTES = budgets.SMALL_BYTES
"""Memory of the heads of queued requests above which it pauses as well."""

MAX_HEADERS = 1000
"""Largest number of headers of a request. The limit of the configuration
counts their text, but each takes some 200 bytes besides."""

MAX_FRAMING_BYTES = 64 * 1024
"""Size of what may come in a row behind a head without a byte of a body, such
as the extension of a chunk."""

READ_LATE_S = 0.2
"""Time in a socket from which on a request counts as read late."""


class Receiving:
    """The part of a connection that parses requests.

    It uses the state of ``connection.Connection``.
    """

    def data_received(self, data: bytes) -> None:
        """Parse received request bytes."""
        self.has_waiting_input = False
        if self.linger is not None:
            self.linger.drop(data)
        if self.is_closing or self.refused is not None:
            return
        if self.backlog:
            self._set_back(bytes(self.backlog) + data)
            self._hold_input()
            return
        read_at = self.server.clock.monotonic()
        if not self.intake.is_waiting:
            self.came_at = None
        self.intake.receive(data)
        if self.intake.is_waiting:
            self._note_arrival(read_at)
        self.read_at = read_at
        self._update_reading()

    def _note_arrival(self, read_at: float) -> None:
        """Note when the bytes came of requests that begin in them."""
        if self.came_at is None:
            self.came_at = self.server.arrivals.came_at(
                self.transport, read_at, self.read_at
            )

    def _parse(self, data: memoryview) -> int:
        """Parse a slice of the input; return the number of its parts."""
        if self.is_closing or self.refused is not None:
            self.intake.drop()
            return 0
        parts, previous = self.parts, self.incoming
        try:
            self._feed(data)
            self._add_body()
            self._note_progress(previous, len(data))
        except errors.RequestMalformedError as error:
            self._refuse(error)
        except httptools.HttpParserError as error:
            cause = error.__context__
            is_own_error = isinstance(cause, errors.RequestMalformedError)
            self._refuse(
                cause
                if is_own_error
                else errors.RequestMalformedError(400, str(error))
            )
        if self.intake.is_waiting and self._must_wait():
            self._set_back(self.intake.rest)
            self.intake.drop()
        return self.parts - parts

    def _must_wait(self) -> bool:
        """Return whether too many requests wait to parse another one."""
        if len(self.queue) > MAX_PIPELINED:
            return True
        if not self.queue or not self.is_running:
            return False
        queued_bytes = sum(request.head_bytes for request in self.queue)
        return queued_bytes > MAX_QUEUED_BYTES or self.server.budget.is_short

    def _set_back(self, data: bytes | memoryview) -> None:
        """Keep input that is parsed once fewer requests wait."""
        self.backlog = memoryview(data)

    def _go_on(self) -> None:
        """Parse and read on if fewer requests wait now."""
        if self.backlog and not self._must_wait():
            data, self.backlog = self.backlog, memoryview(b'')
            self.intake.receive(data)
            if self.half_close is not None:
                self.intake.finish()
        self._update_reading()

    @property
    def _has_unparsed(self) -> bool:
        return self.intake.is_waiting or len(self.backlog) > 0

    def _update_reading(self) -> None:
        """Pause reading while input or too many requests wait."""
        if self._has_unparsed or self.input_holding is not None:
            self._hold_input()
        if self.is_closing:
            return
        if self._has_unparsed or self._must_wait():
            if not self.is_paused:
                self.is_paused = True
                self.transport.pause_reading()
        elif len(self.queue) < MAX_PIPELINED // 2:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self.is_paused and not self._has_unparsed:
            self.is_paused = False
            self.transport.resume_reading()

    def _hold_input(self) -> None:
        """Hold the input that waits; it is refused if there is no room."""
        size = max(len(self.intake.rest), len(self.backlog))
        if not size:
            self._drop_input()
            return
        if self.input_holding is None:
            self.input_holding = self.server.budget.open_input(
                self._give_up_incoming, self.group
            )
        holding = self.input_holding
        if size > holding.size:
            # It was refused by _give_up_incoming if there is no room.
            with contextlib.suppress(errors.MemoryFullError):
                holding.grow(size - holding.size)

    def _drop_input(self) -> None:
        """Drop the input that waits, and free its bytes."""
        self.intake.drop()
        self.backlog = memoryview(b'')
        if self.input_holding is not None:
            self.input_holding.release()
            self.input_holding = None

    def _note_progress(
        self, previous: incoming_module.Incoming | None, size: int
    ) -> None:
        """Note that a part of a request came; limit what has no end.

        The parser passes on a header only when it is complete, and nothing of
        what stands between the parts of a body.

        Raises
        ------
        errors.RequestMalformedError
        """
        if self.incoming is None:
            return
        self.incoming.byte_at = self.server.clock.monotonic()
        if self.incoming is not previous:
            if not self.incoming.has_head:
                self.incoming.first_size = min(size, turns.SLICE_BYTES)
                self._hold_head()
            return
        previous.unparsed_size += size
        if not previous.has_head:
            self._hold_head()
        if previous.unparsed_size <= self.bounds.header_bytes:
            return
        if not previous.has_head:
            raise errors.RequestMalformedError(
                431, 'request head exceeds the size limit'
            )
        if previous.unparsed_size > MAX_FRAMING_BYTES:
            raise errors.RequestMalformedError(
                400, 'too many bytes without a part of a body'
            )

    def _take_incoming(self) -> incoming_module.Incoming | None:
        """Return the request that is being received, which ends here."""
        incoming, self.incoming = self.incoming, None
        return incoming

    def _drop_incoming(self) -> None:
        self.pieces.clear()
        incoming = self._take_incoming()
        if incoming is not None:
            incoming.drop()

    def _feed(self, data: bytes | memoryview) -> None:
        """Parse bytes; go on with HTTP/1.1 where an upgrade is offered.

        The parser ends such a request with its head. So the head is parsed
        again without the offer, and what follows it is its body.

        Raises
        ------
        httptools.HttpParserError
        """
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                head = self._head_without_upgrade()
                self.parser = httptools.HttpRequestParser(self)
                data = head + data[upgrade.args[0] :]
            else:
                return

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the request that offers another protocol.

        Raises
        ------
        httptools.HttpParserError
            The request asks for a tunnel.
        """
        incoming, self.incoming = self.incoming, None
        method = self.parser.get_method()
        if incoming is None or method == b'CONNECT':
            raise httptools.HttpParserError('no request of HTTP/1.1')
        version = self.parser.get_http_version()
        return message.encode_head(
            method,
            incoming.target,
            version,
            message.without_upgrade(incoming.headers),
        )

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.is_used = True
        self.parts += 1
        self._begin_period()
        self._note_arrival(self.last_activity_at)
        if self.last_activity_at - self.came_at >= READ_LATE_S:
            self.server.counters.add('requests_read_late')
        self.incoming = incoming_module.Incoming(self.came_at)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.incoming.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or one that comes behind a body."""
        count = len(self.incoming.headers)
        if count >= MAX_HEADERS:
            raise errors.RequestMalformedError(
                431, 'a request has too many headers'
            )
        self.parts += 1
        text = name.decode('latin-1').lower()
        self.incoming.headers.append((text, value.decode('latin-1').strip()))
        self._count_head_bytes(len(name) + len(value) + 4)
        if (count + 1) % incoming_module.HEADERS_STEP == 0:
            self._hold_head()

    def on_headers_complete(self) -> None:
        """Validate the head; send 100 Continue if the client expects it."""
        if self.parser.should_upgrade():
            return
        self.incoming.check_framing()
        self.incoming.has_head = True
        refusal = self.server.check_head(self._head())
        if refusal is not None:
            self._answer_early(refusal)
            return
        self._hold_head()
        for name, value in self.incoming.headers:
            if name == 'content-length':
                self._check_content_length(value)
            elif name == 'expect' and value.lower() == '100-continue':
                self.transport.write(message.CONTINUE)

    def _head(self) -> message.Request:
        """Return the request that is being received, without its body."""
        return message.Request(
            self.parser.get_method().decode('ascii'),
            self.incoming.target,
            self.incoming.headers,
        )

    def _answer_early(self, refusal: message.Reply) -> None:
        """Reply to a request by its head; its body is read and dropped.

        A client that asks to go on may leave out the body after a refusal, so
        what follows could be a body or a request. The connection ends then.
        """
        self.incoming.is_answered = True
        if self.incoming.holding is not None:
            self.incoming.holding.release()
            self.incoming.holding = None
        is_keep_alive = (
            self.parser.should_keep_alive()
            and not self.incoming.has_optional_body
        )
        self._enqueue(
            message.Request(
                self.parser.get_method().decode('ascii'),
                b'',
                [],
                is_keep_alive=is_keep_alive,
                refusal=refusal,
            )
        )

    def _enqueue(self, request: message.Request) -> None:
        self.queue.append(request)
        if self.task is None:
            self.task = asyncio.create_task(self._serve())
        elif request.holding is not None:
            self.server.budget.queued.add(
                request.holding, _refuse_if_alive(request)
            )

    def on_body(self, body: bytes) -> None:
        """Store a part of the body until its slice is parsed."""
        self.parts += 1
        if self.incoming.is_answered:
            self._check_body_limit(self.incoming.body_size + len(body))
            self.incoming.skip(len(body))
            return
        self.pieces.append(body)

    def _add_body(self) -> None:
        """Add what has come of a body in a slice.

        Very small chunks are added together, as each addition takes far more
        time than parsing a chunk.

        Raises
        ------
        errors.RequestMalformedError
        """
        if not self.pieces:
            return
        body = b''.join(self.pieces)
        self.pieces.clear()
        self._check_body_size(self.incoming.body_size + len(body))
        if self.incoming.holding is None:
            self._open_holding()
        self.incoming.add(body)

    def _hold_head(self) -> None:
        """Hold what the head takes, unless it is part of the connection.

        Raises
        ------
        errors.RequestMalformedError
            There was no room for it.
        """
        if self.incoming.holding is not None:
            self.incoming.hold_head()
        elif self.task is not None or not self.incoming.is_ordinary:
            self._open_holding()
            self.incoming.hold_head()

    def _open_holding(self) -> None:
        self.incoming.holding = self.server.budget.open_request(
            self._give_up_incoming, self.group
        )

    def _give_up_incoming(self) -> None:
        """Refuse what comes, as others need its memory."""
        holding = self.incoming.holding if self.incoming is not None else None
        is_stalled = holding is not None and eviction.is_stalled(
            holding, self.server.budget.clock()
        )
        self._refuse(
            errors.RequestMalformedError(
                408 if is_stalled else 503, 'no memory for a request'
            )
        )

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self.parser.should_upgrade():
            return
        self._add_body()
        incoming = self._take_incoming()
        if incoming.is_answered:
            self._begin_period()
            return
        if incoming.holding is not None:
            incoming.holding.complete()
        self._begin_period()
        self._enqueue(
            message.Request(
                self.parser.get_method().decode('ascii'),
                incoming.target,
                incoming.headers,
                incoming.body.join(),
                self.parser.should_keep_alive(),
                incoming.began_at,
                incoming.holding,
                incoming.head_bytes,
            )
        )

    def _check_content_length(self, value: str) -> None:
        if not value.isdigit():
            raise errors.RequestMalformedError(
                400, 'Content-Length is not a number'
            )
        self._check_body_size(int(value))

    def _check_body_size(self, size: int) -> None:
        """Reject a body for which there is never room.

        Raises
        ------
        errors.RequestMalformedError
        """
        self._check_body_limit(size)
        try:
            self.server.budget.check_length(size)
        except errors.MemoryFullError as error:
            raise errors.RequestMalformedError(413, str(error)) from error

    def _check_body_limit(self, size: int) -> None:
        if size > self.bounds.body_bytes:
            raise errors.RequestMalformedError(
                413, 'request body exceeds the size limit'
            )

    def _count_head_bytes(self, size: int) -> None:
        self.incoming.size += size
        if self.incoming.size > self.bounds.header_bytes:
            raise errors.RequestMalformedError(
                431, 'request head exceeds the size limit'
            )


def _refuse_if_alive(request: message.Request) -> abc.Callable[[], None]:
    """Return what refuses a request, without a reference to it."""
    reference = weakref.ref(request)

    def refuse() -> None:
        request = reference()
        if request is not None:
            request.refuse(replying.refusal(503))

    return refuse
