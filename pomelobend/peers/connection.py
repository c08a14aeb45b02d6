"""One websocket between two nodes, shared by all calls of the pair."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.peers import stream as streams

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.peers import link as links

logger = structlog.get_logger('peers')

_OF_A_CALL = (
    messages.AnswerStart,
    messages.BodyPart,
    messages.Window,
    messages.Refused,
    messages.Broken,
)


class Handler(typing.Protocol):
    """What a connection hands incoming messages to."""

    async def serve(
        self,
        connection: Connection,
        start: messages.CallStart,
        stream: streams.Stream,
    ) -> None:
        """Answer a call."""

    def control(
        self, connection: Connection, message: messages.Message
    ) -> None:
        """Take a message that belongs to no call."""


@attrs.define(eq=False)
class Connection:
    """A connection after the exchange of greetings.

    Parameters
    ----------
    link : links.Link
    hello : messages.Hello
        Greeting of the other node.
    is_dialler : bool
        Whether this node opened the connection; its calls have odd numbers.
    late : int
        Messages dropped because their call had ended.
    """

    link: links.Link
    hello: messages.Hello
    is_dialler: bool
    handler: Handler
    settings: config.Settings
    clock: clocks.Clock
    streams: dict[int, streams.Stream] = attrs.field(factory=dict)
    serving: dict[int, asyncio.Task] = attrs.field(factory=dict)
    next_call: int = 0
    heard_at: float = 0.0
    free: int = 0
    late: int = 0
    is_closed: bool = False
    is_leaving: bool = False

    @property
    def node(self) -> str:
        """Return the name of the other node."""
        return self.hello.node

    def open_stream(self) -> streams.Stream:
        """Begin a call to the other node.

        Raises
        ------
        errors.LinkClosedError
            The connection has ended or the other node is stopping.
        """
        if self.is_closed or self.is_leaving:
            raise errors.LinkClosedError(f'no connection to {self.node}')
        self.next_call += 2
        call = self.next_call - (1 if self.is_dialler else 0)
        stream = streams.Stream(self, call, self.settings.limits.window_bytes)
        self.streams[call] = stream
        return stream

    def close_stream(self, stream: streams.Stream) -> None:
        """Forget a call; what still arrives for it is dropped."""
        self.streams.pop(stream.call, None)

    def send(self, message: messages.Message) -> None:
        """Hand a message for the other node to the socket.

        It is written at once or, where the socket is full, buffered; the
        windows of the calls bound how much that can be.

        Raises
        ------
        errors.LinkClosedError
        """
        if self.is_closed:
            raise errors.LinkClosedError(f'connection to {self.node} ended')
        self.link.send(codec.encode(message))

    def tell(self, message: messages.Message) -> None:
        """Send a message that matters only while the connection stands."""
        if not self.is_closed:
            with contextlib.suppress(errors.LinkClosedError):
                self.send(message)

    async def run(self) -> None:
        """Serve the connection until it ends, then fail what is left."""
        self.heard_at = self.clock.monotonic()
        beat = asyncio.create_task(self._beat())
        detail = 'closed'
        try:
            await self._read()
        except errors.ProtocolError as error:
            detail = str(error)
            logger.warning('peers: bad message', node=self.node, why=detail)
        except errors.LinkClosedError as error:
            detail = str(error)
        finally:
            self._end(detail)
            beat.cancel()
            await self.link.close()

    async def close(self) -> None:
        """End the connection."""
        self._end('closed here')
        await self.link.close()

    async def _read(self) -> None:
        while not self.is_closed:
            data = await self.link.receive()
            self.heard_at = self.clock.monotonic()
            self._dispatch(codec.decode(data))

    async def _beat(self) -> None:
        """Send heartbeats and give up a connection that fell silent."""
        interval = self.settings.peers.heartbeat.total_seconds()
        silence = self.settings.peers.silence.total_seconds()
        while not self.is_closed:
            self.tell(messages.Heartbeat(0))
            await self.clock.sleep(interval)
            quiet = self.clock.monotonic() - self.heard_at
            if quiet > silence:
                logger.warning('peers: silent connection', node=self.node)
                self._end(f'silent for {quiet:.1f} s')
                self.link.abort()

    def _dispatch(self, message: messages.Message) -> None:
        kind = type(message)
        if kind in _OF_A_CALL:
            stream = self.streams.get(message.call)
            if stream is None:
                self.late += 1
            else:
                stream.deliver(message)
        elif kind is messages.CallStart:
            self._start_serving(message)
        elif kind is messages.Cancel:
            task = self.serving.get(message.call)
            if task is not None:
                task.cancel()
        elif kind is messages.Goodbye:
            self.is_leaving = True
        elif kind is messages.Heartbeat:
            self.free = message.free
        else:
            self.handler.control(self, message)

    def _start_serving(self, start: messages.CallStart) -> None:
        if start.call in self.streams or (start.call % 2) == self.is_dialler:
            raise errors.ProtocolError('the number of a call is in use')
        stream = streams.Stream(
            self, start.call, self.settings.limits.window_bytes
        )
        self.streams[start.call] = stream
        task = asyncio.create_task(self.handler.serve(self, start, stream))
        self.serving[start.call] = task
        task.add_done_callback(lambda _: self._end_serving(stream))

    def _end_serving(self, stream: streams.Stream) -> None:
        self.serving.pop(stream.call, None)
        self.close_stream(stream)

    def _end(self, detail: str) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        error = errors.LinkClosedError(
            f'connection to {self.node} ended: {detail}'
        )
        for stream in list(self.streams.values()):
            stream.fail(error)
        for task in list(self.serving.values()):
            task.cancel()


async def greet(
    link: links.Link, own: messages.Hello, timeout_s: float
) -> messages.Hello:
    """Exchange greetings on a new link.

    Raises
    ------
    errors.ProtocolVersionError
    errors.ProtocolError
    errors.LinkClosedError
    """
    try:
        link.send(codec.encode(own))
        async with asyncio.timeout(timeout_s):
            data = await link.receive()
    except TimeoutError as error:
        raise errors.LinkClosedError('no greeting in time') from error
    hello = codec.decode(data)
    if type(hello) is not messages.Hello:
        raise errors.ProtocolError('the first message is not a greeting')
    if hello.protocol != own.protocol:
        raise errors.ProtocolVersionError(
            f'{hello.node} speaks version {hello.protocol}, '
            f'this node {own.protocol}'
        )
    return hello
