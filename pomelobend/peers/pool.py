"""The connections of a node: one for each other node."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.peers import connection as connections
from pomelobend.peers import link as links
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.metrics import counters as counter_module

logger = structlog.get_logger('peers')


@attrs.define(eq=False)
class Pool:
    """Opens, accepts and keeps connections to other nodes.

    Parameters
    ----------
    hello : messages.Hello
        Greeting of this node.
    on_open, on_close : list of callable
        Called with each connection when it begins and when it has ended.
    """

    settings: config.Settings
    clock: clocks.Clock
    hello: messages.Hello
    counters: counter_module.Counters
    handler: connections.Handler | None = None
    by_address: dict[str, connections.Connection] = attrs.field(factory=dict)
    accepted: set[connections.Connection] = attrs.field(factory=set)
    dialling: dict[str, asyncio.Task] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    on_open: list[abc.Callable] = attrs.field(factory=list)
    on_close: list[abc.Callable] = attrs.field(factory=list)
    traffic: links.Traffic = attrs.field(factory=links.Traffic)
    server: typing.Any = None

    async def listen(self) -> None:
        """Accept connections of other nodes."""
        self.server = await links.listen(
            self.settings.listen.peers,
            self.settings.limits.message_bytes,
            self._accept,
            self.traffic,
        )

    async def get(self, address: str) -> connections.Connection:
        """Return the connection to a node, opening it where needed.

        Raises
        ------
        errors.PeerError
        """
        known = self.by_address.get(address)
        if known is not None and not known.is_closed:
            return known
        task = self.dialling.get(address)
        if task is None:
            task = asyncio.create_task(self._dial(address))
            self.dialling[address] = task
            task.add_done_callback(lambda done: self._dialled(address, done))
        return await asyncio.shield(task)

    def all(self) -> list[connections.Connection]:
        """Return every open connection."""
        return list({*self.by_address.values(), *self.accepted})

    def say_goodbye(self) -> None:
        """Ask all other nodes to begin no new call here."""
        for connection in self.all():
            connection.tell(messages.Goodbye())

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        await asyncio.gather(*(c.close() for c in self.all()))

    async def _dial(self, address: str) -> connections.Connection:
        timeout_s = self.settings.peers.connect.total_seconds()
        link = await links.Link.connect(
            address,
            self.settings.limits.message_bytes,
            timeout_s,
            self.traffic,
        )
        hello = await self._greet(link)
        connection = self._build(link, hello, is_dialler=True)
        self.by_address[address] = connection
        self._start(connection)
        return connection

    def _dialled(self, address: str, task: asyncio.Task) -> None:
        del self.dialling[address]
        if not task.cancelled():
            task.exception()

    async def _accept(self, link: links.Link) -> None:
        try:
            hello = await self._greet(link)
        except errors.PeerError as error:
            logger.warning('peers: greeting failed', why=str(error))
            return
        connection = self._build(link, hello, is_dialler=False)
        self.accepted.add(connection)
        self._reuse(connection)
        await self._serve(connection)

    async def _greet(self, link: links.Link) -> messages.Hello:
        """Exchange greetings, or end the link."""
        timeout_s = self.settings.peers.connect.total_seconds()
        try:
            return await connections.greet(link, self.hello, timeout_s)
        except errors.PeerError as error:
            self.counters.add('peer_greeting_failed', error.code)
            await link.close()
            raise

    def _build(
        self, link: links.Link, hello: messages.Hello, *, is_dialler: bool
    ) -> connections.Connection:
        return connections.Connection(
            link, hello, is_dialler, self.handler, self.settings, self.clock
        )

    def _reuse(self, connection: connections.Connection) -> None:
        """Use a connection that the other node has opened for own calls."""
        address = connection.hello.address
        known = self.by_address.get(address)
        if address and (known is None or known.is_closed):
            self.by_address[address] = connection

    def _start(self, connection: connections.Connection) -> None:
        task = asyncio.create_task(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: connections.Connection) -> None:
        for listener in self.on_open:
            listener(connection)
        try:
            await connection.run()
        finally:
            self.accepted.discard(connection)
            address = connection.hello.address
            if self.by_address.get(address) is connection:
                del self.by_address[address]
            self.counters.add('peer_late_messages', '', connection.late)
            for listener in self.on_close:
                listener(connection)
