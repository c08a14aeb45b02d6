"""Steps for the bodies of calls between nodes."""

from __future__ import annotations

import typing

import behave

from pomelobend import errors
from pomelobend.peers import messages

PARTS = (b'first', b'second', b'third')


@behave.when('a body is read that has arrived just before the end of the link')
def when_read(context: typing.Any) -> None:
    """Read it in the turn of the loop in which the link ends."""
    stream = context.first.open_stream()
    for part in PARTS[1:]:
        stream.deliver(messages.BodyPart(stream.call, part, False))
    stream.deliver(messages.BodyPart(stream.call, b'', True))

    async def act() -> None:
        context.first.link.fail(errors.LinkClosedError('closed'))
        try:
            context.found = tuple([x async for x in stream.body(PARTS[0])])
        except errors.PeerError as error:
            context.found = error
        await context.dialling.close()
        await context.accepting.close()

    context.run(act())


@behave.then('the body is read to its end')
def then_whole(context: typing.Any) -> None:
    assert isinstance(context.found, tuple), repr(context.found)
    assert b''.join(context.found) == b''.join(PARTS), context.found
