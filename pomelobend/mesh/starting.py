"""The start of a node: callers are answered while its modules are loaded.

Most of a start is spent on imports, which take seconds beside other work. A
caller whose request nobody reads until then may have left, or has too little
time for another attempt. So the program reads requests with the few modules
that this takes, and loads the others in a thread beside the event loop.
"""

from __future__ import annotations

import asyncio
from concurrent import futures
import importlib
import random
import typing

import attrs
import structlog

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.http import message
from pomelobend.http import server as servers
from pomelobend import limits
from pomelobend.platform import headers as wire
from pomelobend.routing import deadlines
from pomelobend.routing import retry_after

if typing.TYPE_CHECKING:
    from collections import abc
    import socket
    import types

    from pomelobend.platform import settings as platform_settings

    Answer = abc.Callable[[message.Request], abc.Awaitable[message.Reply]]

logger = structlog.get_logger('node')

NODE_MODULE = 'pomelobend.mesh.node'

WAIT_SHARE = 1 / 3
"""Longest wait for the end of the start, as a share of the time of a caller.
The rest suffices for its next attempt."""


@attrs.define(eq=False)
class StartingFront:
    """Handles requests of callers until the node can.

    Parameters
    ----------
    successor : asyncio.Future
        Handler of the node, once there is one.
    refused : int
        Requests that were refused as the start took too long.
    """

    clock: clocks.Clock
    successor: asyncio.Future[Answer]
    random: random.Random = attrs.field(factory=random.Random)
    refused: int = 0

    async def answer(self, request: message.Request) -> message.Reply:
        """Pass a request on to the node, or refuse it in time."""
        began = request.began_at
        if began is None:
            began = self.clock.monotonic()
        ends = _ends(request, began)
        wait_s = min(
            began + (ends.reply - began) * WAIT_SHARE - self.clock.monotonic(),
            ends.reply - self.clock.monotonic(),
        )
        try:
            async with limits.Limit(wait_s):
                answer = await asyncio.shield(self.successor)
        except TimeoutError:
            return self._refuse(ends)
        return await answer(request)

    def _refuse(self, ends: deadlines.Deadlines) -> message.Reply:
        """Return a refusal of a request, which has not run and never will."""
        self.refused += 1
        left_s = ends.reply - self.clock.monotonic()
        seconds = retry_after.retry_after_s(0.0, left_s, self.random)
        return message.Reply(503, [wire.retry_after(seconds)])


def _ends(request: message.Request, began: float) -> deadlines.Deadlines:
    """Return the ends of a request whose route is not known.

    One that states no valid time is refused by the node; it waits for that.
    """
    try:
        requested_s = wire.deadline_s(request)
    except errors.MalformedError:
        requested_s = None
    if requested_s is None:
        requested_s = deadlines.DEFAULT_S
    return deadlines.of(began, requested_s, requested_s)


async def run(
    settings: platform_settings.Settings,
    sockets: dict[str, socket.socket],
    listening_since: float,
) -> None:
    """Answer callers, load the modules of the node, and run it.

    Parameters
    ----------
    settings : Settings
    sockets : dict of str to socket.socket
        The sockets of its addresses.
    listening_since : float
        Monotonic time from which on some of them have listened.
    """
    clock = clocks.SystemClock()
    front = StartingFront(clock, asyncio.get_running_loop().create_future())
    server = servers.Server(
        settings.callers_address,
        clock,
        front.answer,
        socket=sockets[settings.callers_address],
        listening_since=listening_since,
    )
    await server.listen()
    nodes = await load(NODE_MODULE)
    node = nodes.Node.from_config(
        settings, clock, sockets, listening_since, server
    )
    front.successor.set_result(node.front.answer)
    logger.info(
        'node: modules loaded',
        after_ms=round((clock.monotonic() - listening_since) * 1000),
        refused=front.refused,
    )
    await node.run()


async def load(name: str) -> types.ModuleType:
    """Return a module that a thread has loaded, which ends with that.

    Without threads the module is loaded all the same, and callers wait.
    """
    loop = asyncio.get_running_loop()
    with futures.ThreadPoolExecutor(1) as executor:
        try:
            loading = loop.run_in_executor(
                executor, importlib.import_module, name
            )
        except RuntimeError as error:
            logger.warning('node: no thread for the start', why=str(error))
            return importlib.import_module(name)
        return await loading
