"""A connection of a client to the server."""

from __future__ import annotations

import asyncio
import collections
import enum
import typing

import httptools
import structlog

from pomelobend import errors
from pomelobend.http import half_close
from pomelobend.http import incoming as incoming_module
from pomelobend.http import lingering
from pomelobend.http import message
from pomelobend.http import receiving
from pomelobend.http import replying
from pomelobend.http import unsent as unsent_module
from pomelobend.memory import budget as budgets
from pomelobend.memory import eviction
from pomelobend import sockets
from pomelobend import turns as turn_module

if typing.TYPE_CHECKING:
    from pomelobend.http import server as servers

logger = structlog.get_logger('http')

FIRST_REQUEST_S = 0.3
"""Time for which a connection is kept open at a stop for its first request,
which is on its way once a client has connected."""


class Phase(enum.StrEnum):
    """How far a connection is with a request."""

    RECEIVING = 'receiving'
    PROCESSING = 'processing'
    REPLYING = 'replying'


class Connection(receiving.Receiving, replying.Replying, asyncio.Protocol):
    """A client connection; pipelined requests are answered in order."""

    def __init__(self, server: servers.Server) -> None:
        self.server = server
        self.transport: typing.Any = None
        self.opened_at = server.clock.monotonic()
        self.read_at = server.listening_since
        self.came_at: float | None = None
        self.is_used = False
        self.parser = httptools.HttpRequestParser(self)
        self.intake = turn_module.Intake(
            server.turns, self._parse, self._update_reading
        )
        self.parts = 0
        self.pieces: list[bytes] = []
        self.group = budgets.Group()
        self.address = ''
        self.is_counted = False
        self.incoming: incoming_module.Incoming | None = None
        self.queue: collections.deque = collections.deque()
        self.task: asyncio.Task | None = None
        self.is_running = False
        self.backlog = memoryview(b'')
        self.input_holding: budgets.Holding | None = None
        self.refused: message.Request | None = None
        self._begin_period()
        self.is_closing = False
        self.is_paused = False
        self.has_waiting_input = False
        self.linger: lingering.Linger | None = None
        self.half_close: half_close.HalfClose | None = None
        self.write_waiter: asyncio.Future | None = None
        self.unsent: unsent_module.Unsent | None = None

    def _begin_period(self) -> None:
        """Start to measure an idle time or a request, under limits of now."""
        self.last_activity_at = self.server.clock.monotonic()
        self.bounds = self.server.bounds

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or processed."""
        return (
            self.task is None
            and not self.queue
            and not self.is_receiving
            and not self.intake.is_waiting
        )

    @property
    def is_receiving(self) -> bool:
        """Return whether a request comes that is not answered yet."""
        return self.incoming is not None and not self.incoming.is_answered

    @property
    def is_new(self) -> bool:
        """Return whether the first request may be on its way."""
        age_s = self.server.clock.monotonic() - self.opened_at
        return not self.is_used and age_s < FIRST_REQUEST_S

    @property
    def is_done(self) -> bool:
        """Return whether a stop can close the connection without a loss.

        It cannot while a request is processed or may be on its way (input
        waits in the kernel, or the connection is new), or while a reply may
        not have reached the client (it is being written, or the client has
        sent a moment ago on a connection that lingers).
        """
        return (
            self.is_idle
            and not self.is_new
            and not (self.linger and self.linger.holds_stop)
            and not self.has_waiting_input
            and not self.transport.get_write_buffer_size()
        )

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport and register the connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        name = transport.get_extra_info('peername')
        self.address = str(name[0]) if name else ''
        self.server.connections.add(self)
        self.is_counted = True
        self.server.budget.connections += 1
        if not self.server.crowd.add(self, self.server.connections):
            self._refuse_connection()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as nobody will read its reply."""
        self.server.connections.discard(self)
        self.server.crowd.remove(self)
        self.server.budget.connections -= 1
        self._note_unanswered(exc)
        self._drop_input()
        self._drop_incoming()
        self.is_closing = True
        if self.linger is not None:
            self.linger.cancel()
        if self.half_close is not None:
            self.half_close.cancel()
        self._wake_writer()
        self._release_unsent()
        self.queue.clear()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Return whether to stay open, as replies are due.

        A client of HTTP/1.0 counts as gone: it may not know the interim
        response that would tell.
        """
        self.intake.finish()
        if self.input_holding is not None:
            self._hold_input()
        if self.task is None or self.parser.get_http_version() == '1.0':
            return False
        self._drop_incoming()
        self.half_close = half_close.HalfClose(self.transport)
        return True

    @property
    def phase(self) -> Phase | None:
        """Return how far its request or reply is, or None without one."""
        if self.task is not None or self.queue:
            return Phase.PROCESSING
        if self.is_receiving:
            return Phase.RECEIVING
        if self.transport.get_write_buffer_size():
            return Phase.REPLYING
        return None

    def _note_unanswered(self, error: Exception | None) -> None:
        """Count a request whose connection ends without a whole reply.

        It is logged where the node may have ended it: while it stops, or
        after it has closed the connection itself.
        """
        phase = self.phase
        if phase is None:
            return
        is_own = self.is_closing
        ended_by = 'node' if is_own else 'client'
        self.server.counters.add('requests_unanswered', f'{ended_by}/{phase}')
        if not is_own and not self.server.is_stopping:
            return
        logger.warning(
            'http: connection ended before its reply',
            address=self.server.address,
            ended_by=ended_by,
            phase=str(phase),
            unsent_bytes=self.transport.get_write_buffer_size(),
            error=repr(error) if error else '',
        )

    def sweep(self, now: float) -> None:
        """Close the connection if it is idle or too slow.

        The connection counts as too slow if a request is not received within
        its limits while no other one is being processed. An idle connection
        stays for the limit under which it fell idle, or a later one if that
        is longer, as callers may know either. It ends with a reply of
        which its caller has taken nothing for too long.
        """
        is_unread = self.unsent is not None and (
            self.unsent.pause_s(now) > self.bounds.reply_pause_s
        )
        if is_unread:
            self._give_up_reply()
        if self.is_closing:
            return
        elapsed_s = now - self.last_activity_at
        if self.incoming is not None:
            why = self.task is None and self._lateness(now)
            if why:
                self._give_up_request(why)
        elif self.is_idle and elapsed_s > max(
            self.bounds.idle_s, self.server.bounds.idle_s
        ):
            self.close_if_unused()

    def _lateness(self, now: float) -> str:
        """Return what has not come in time of a request, or ''."""
        incoming = self.incoming
        if not incoming.has_head:
            if now - self.last_activity_at <= self.bounds.header_s:
                return ''
            return 'the head of a request did not come in time'
        last_at = max(incoming.byte_at, self.last_activity_at)
        if now - last_at > self.bounds.body_pause_s:
            return 'no byte of a body came in time'
        if now - incoming.began_at > self.server.limit_s(self._head()):
            return 'a body was not received in the time of its call'
        return ''

    def _give_up_request(self, why: str) -> None:
        """Refuse a request, after one more read if input waits for it."""
        has_input = self.intake.is_waiting or sockets.has_input(self.transport)
        if not self.incoming.is_overdue and has_input:
            self.incoming.is_overdue = True
            return
        self._refuse(errors.RequestMalformedError(408, why))

    def close_if_unused(self) -> None:
        """Close the connection unless a request is on it or about to come.

        A request may wait in the kernel, as the loop reads no sockets while
        it is held up.
        """
        if not self.is_idle or self.is_new or self.is_closing:
            return
        self.has_waiting_input = sockets.has_input(self.transport)
        if not self.has_waiting_input:
            self.close()

    @property
    def stage(self) -> eviction.Stage | None:
        """Return how far the connection is, None if it is not dropped.

        It is not while a request is processed or a reply is written.
        """
        if self.phase not in (None, Phase.RECEIVING):
            return None
        if self.linger is not None:
            return eviction.Stage.ENDED
        if self.is_closing:
            return None
        if self.is_used and self.is_idle:
            return eviction.Stage.IDLE
        return eviction.Stage.INCOMPLETE

    @property
    def stage_since(self) -> float:
        """Return from when on it has been in its stage."""
        if self.incoming is not None:
            return self.incoming.began_at
        return self.last_activity_at

    def give_way(self) -> None:
        """End the connection at once, as others need its descriptor."""
        stage = self.stage.name.lower()
        self.server.counters.add('connections_dropped', stage)
        if self.incoming is not None:
            self._write_last(408)
        self._end_at_once()

    def _refuse_connection(self) -> None:
        """Refuse a new connection; no request on it has been read."""
        self.server.counters.add('connections_dropped', 'new')
        self._write_last(429)
        self._end_at_once()

    def _write_last(self, status: int) -> None:
        reply = replying.refusal(status)
        self.transport.write(message.encode(reply, is_keep_alive=False))

    def _end_at_once(self) -> None:
        self.is_closing = True
        self.server.crowd.remove(self)
        self._drop_input()
        self._drop_incoming()
        self.transport.close()

    def close(self) -> None:
        """Close the connection, on which no reply is due."""
        self.is_closing = True
        self.transport.close()

    def close_after_reply(self) -> None:
        """Close the connection once the client has its last reply."""
        self.is_closing = True
        self._drop_input()
        if self.incoming is not None and self.incoming.is_answered:
            self._drop_incoming()
        if self.half_close is not None:
            self.transport.close()
            return
        self.linger = lingering.Linger(self.transport)
        self._resume_reading()

    def _refuse(self, error: errors.RequestMalformedError) -> None:
        """Reject a malformed request and close the connection.

        If an earlier request is still being processed, the connection closes
        after its reply instead. A request for which there is no memory is
        answered after the earlier ones. One that was answered by its head
        gets no second reply.
        """
        is_answered = self.incoming is not None and self.incoming.is_answered
        self._drop_input()
        self._drop_incoming()
        if self.is_closing or self.refused is not None:
            return
        logger.warning(
            'http: rejecting a malformed request',
            status=error.status,
            why=str(error),
        )
        if is_answered:
            if self.task is None:
                self.close_after_reply()
        elif self.task is None:
            reply = replying.refusal(error.status)
            self.transport.write(message.encode(reply, is_keep_alive=False))
            self.close_after_reply()
        elif error.status == 503:
            self.refused = message.Request('', b'', [], is_keep_alive=False)
            self.queue.append(self.refused)
            return
        self.is_closing = True
