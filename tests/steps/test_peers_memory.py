"""Steps for the memory that the connections between nodes take."""

from __future__ import annotations

import asyncio
import tracemalloc
import typing

import behave

from pomelobend.peers import link as links
from pomelobend.peers import messages
from pomelobend.peers import options
from pomelobend.peers import stream as streams
from standins import fleet
from tests.steps import test_peers_pool as pool_steps

KIB = 1024
MIB = 1024 * 1024
CALL = 1
SETTLE_S = 0.5
DEADLINE_S = 10.0


class CountingConnection:
    """A connection that counts the body bytes sent on it."""

    def __init__(self) -> None:
        self.sent_bytes = 0

    def send(self, message: messages.BodyPart) -> None:
        """Count the body of a message."""
        self.sent_bytes += len(message.body)


@behave.when('a body of {size:d} MiB is split into parts and these are sent')
def when_split(context: typing.Any, size: int) -> None:
    context.body = bytes(size * MIB)
    connection = CountingConnection()
    stream = streams.Stream(connection, CALL, len(context.body))

    async def act() -> None:
        first, rest = streams.split_body(context.body, None)
        connection.sent_bytes += len(first)
        await stream.send_body(rest)

    tracemalloc.start()
    try:
        context.run(act())
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    context.sent_bytes = connection.sent_bytes


@behave.then('all of it is sent, with at most {most:d} MiB besides the body')
def then_no_copy(context: typing.Any, most: int) -> None:
    assert context.sent_bytes == len(context.body), context.sent_bytes
    assert context.peak_bytes <= most * MIB, context.peak_bytes


@behave.given('a link whose other end does not handle its messages yet')
def given_link(context: typing.Any) -> None:
    accepted: list[links.Link] = []

    async def accept(link: links.Link) -> None:
        accepted.append(link)

    async def start() -> None:
        address = f'127.0.0.1:{fleet.free_ports(1)[0]}'
        server = await links.listen(
            address, options.MESSAGE_BYTES, accept, links.Traffic()
        )
        context.stack.callback(server.close)
        context.link = await links.Link.connect(
            address, options.MESSAGE_BYTES, DEADLINE_S
        )
        context.stack.callback(context.link.abort)
        await pool_steps.until(lambda: accepted)

    context.run(start())
    context.other = accepted[0]


@behave.when('{count:d} messages of {size:d} KiB are sent on it')
def when_sent(context: typing.Any, count: int, size: int) -> None:
    context.sent = [
        number.to_bytes(2, 'big') * (size * KIB // 2)
        for number in range(count)
    ]

    async def act() -> None:
        for data in context.sent:
            context.link.send(data)
        await asyncio.sleep(SETTLE_S)

    context.run(act())


@behave.then('at most {most:d} MiB of them are queued at the other end')
def then_queued(context: typing.Any, most: int) -> None:
    queued = sum(map(len, context.other.inbox))
    assert 0 < queued <= most * MIB, queued


@behave.then('all of them are handled in their order once it goes on')
def then_handled(context: typing.Any) -> None:
    async def act() -> list[bytes]:
        async with asyncio.timeout(DEADLINE_S):
            return [await context.other.receive() for _ in context.sent]

    found = context.run(act())
    assert found == context.sent, len(found)
