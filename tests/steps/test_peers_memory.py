"""Steps for the memory that the connections between nodes take."""

from __future__ import annotations

import tracemalloc
import typing

import behave

from pomelobend.peers import messages
from pomelobend.peers import stream as streams

MIB = 1024 * 1024
CALL = 1


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
