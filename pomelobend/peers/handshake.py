"""The handshake on a new link between two nodes."""

from __future__ import annotations

import typing

from pomelobend import errors
from pomelobend import limits
from pomelobend.peers import codec
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from pomelobend.peers import link as links


async def greet(
    link: links.Link, own: messages.Hello, timeout_s: float
) -> messages.Hello:
    """Perform the handshake on a new link.

    Raises
    ------
    errors.ProtocolVersionError
    errors.ProtocolError
    errors.LinkClosedError
        The link has ended, or the handshake timed out.
    """
    try:
        link.send(codec.encode(own))
        async with limits.Limit(timeout_s):
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
