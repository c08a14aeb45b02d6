"""A request that is being received."""

from __future__ import annotations

import collections
import io
import typing

import attrs

from pomelobend import errors
from pomelobend.http import message

if typing.TYPE_CHECKING:
    from pomelobend.memory import budget as budgets


@attrs.define(eq=False)
class Incoming:
    """A request that is being received.

    Parameters
    ----------
    began_at, byte_at : float
        When its first bytes came, and when its last ones were read.
    size : int
        Size of its head.
    unparsed_size : int
        Size of the parts that came before the end of its head.
    body_size : int
    holding : Holding or None
        The bytes of its body, if it has one.
    is_overdue : bool
        Whether its time has ended, and what waits in the kernel is read.
    """

    began_at: float
    byte_at: float = 0.0
    target: bytes = b''
    headers: message.Headers = attrs.field(factory=list)
    size: int = 0
    unparsed_size: int = 0
    has_head: bool = False
    body: io.BytesIO = attrs.field(factory=io.BytesIO)
    body_size: int = 0
    holding: budgets.Holding | None = None
    is_overdue: bool = False

    def add(self, part: bytes) -> None:
        """Store a part of the body, whose bytes are held.

        Raises
        ------
        errors.RequestMalformedError
            The body was given up, as its memory is needed for others.
        """
        try:
            self.holding.grow(len(part))
        except errors.MemoryFullError as error:
            raise errors.RequestMalformedError(503, str(error)) from error
        self.body.write(part)
        self.body_size += len(part)

    def drop(self) -> None:
        """Free the bytes of a body that is not needed."""
        self.body.close()
        if self.holding is not None:
            self.holding.release()

    def check_framing(self) -> None:
        """Reject a head that two HTTP parsers could interpret differently.

        Raises
        ------
        errors.RequestMalformedError
        """
        values = collections.defaultdict(list)
        for name, value in self.headers:
            values[name].append(value)
        if len(values['host']) != 1:
            raise errors.RequestMalformedError(
                400, 'expected exactly one Host header'
            )
        if len(values['content-length']) > 1:
            raise errors.RequestMalformedError(
                400, 'multiple Content-Length headers'
            )
        transfer_codings = [
            value.lower() for value in values['transfer-encoding']
        ]
        if transfer_codings and (
            transfer_codings != ['chunked'] or values['content-length']
        ):
            raise errors.RequestMalformedError(
                400, 'unsupported or ambiguous Transfer-Encoding'
            )
        if not self.target.startswith(b'/') or not self.target.isascii():
            raise errors.RequestMalformedError(
                400, 'request target is not an ASCII path'
            )
