"""A request that is being received."""

from __future__ import annotations

import collections
import typing

import attrs

from pomelobend import errors
from pomelobend.http import message
from pomelobend.memory import bodies

if typing.TYPE_CHECKING:
    from pomelobend.memory import budget as budgets


REQUEST_BYTES = 512
"""Memory of a request besides its text and headers."""

HEADER_BYTES = 200
"""Memory of a header besides its text: two strings, a pair, a reference."""

HEADERS_STEP = 16
"""Headers after which what has come of a head is counted before its end."""

ORDINARY_HEAD_BYTES = 4 * 1024
"""Memory of the head of a request that counts as part of its connection, if
the request has no body and does not wait for another one."""


@attrs.define(eq=False)
class Incoming:
    """A request that is being received.

    Parameters
    ----------
    began_at, byte_at : float
        When its first bytes came, and when its last ones were read.
    holding : Holding or None
        The bytes of its head and body; None while it is an ordinary head.
    size : int
        Size of the text of its head.
    unparsed_size : int
        Size of the parts that came before the end of its head, or after it in
        a row without a byte of its body.
    first_size : int
        Size of the part in which it began, which may hold others as well.
    body_size : int
    head_bytes : int
        The part of the holding that its head takes.
    is_overdue : bool
        Whether its time has ended, and what waits in the kernel is read.
    is_dropped : bool
        Whether it was refused, and what still comes of it is not kept.
    is_answered : bool
        Whether its reply follows from its head; its body is read and dropped.
    """

    began_at: float
    byte_at: float = 0.0
    target: bytes = b''
    headers: message.Headers = attrs.field(factory=list)
    size: int = 0
    unparsed_size: int = 0
    first_size: int = 0
    has_head: bool = False
    body: bodies.Blocks = attrs.field(factory=bodies.Blocks)
    body_size: int = 0
    holding: budgets.Holding | None = None
    head_bytes: int = 0
    is_overdue: bool = False
    is_dropped: bool = False
    is_answered: bool = False

    def skip(self, size: int) -> None:
        """Count a part of a body that is dropped."""
        self.unparsed_size = 0
        self.body_size += size

    def add(self, part: bytes) -> None:
        """Store a part of the body, whose bytes are held.

        Raises
        ------
        errors.RequestMalformedError
            The body was given up, as its memory is needed for others.
        """
        self._hold(len(part) + (0 if self.head_bytes else self._count_head()))
        self.body.add(part)
        self.unparsed_size = 0
        self.body_size += len(part)

    @property
    def has_optional_body(self) -> bool:
        """Return whether the client sends the body only if it may go on."""
        names = {name for name, _ in self.headers}
        return 'expect' in names and not names.isdisjoint(
            ('content-length', 'transfer-encoding')
        )

    @property
    def is_ordinary(self) -> bool:
        """Return whether the head takes no more than an ordinary one."""
        return self._memory_bytes <= ORDINARY_HEAD_BYTES

    @property
    def _memory_bytes(self) -> int:
        """Return what the head takes.

        The parser keeps a header until it is complete.
        """
        size = self.size
        if not self.has_head:
            size = max(size, self.first_size + self.unparsed_size)
        return REQUEST_BYTES + size + HEADER_BYTES * len(self.headers)

    def hold_head(self) -> None:
        """Hold what the head takes so far.

        Raises
        ------
        errors.RequestMalformedError
            The request was given up, as its memory is needed for others.
        """
        self._hold(self._count_head())

    def drop(self) -> None:
        """Free the bytes of a request that is not needed."""
        self.is_dropped = True
        self.body.clear()
        if self.holding is not None:
            self.holding.release()

    def _count_head(self) -> int:
        """Return what of the head was not counted before."""
        more = max(0, self._memory_bytes - self.head_bytes)
        self.head_bytes += more
        return more

    def _hold(self, size: int) -> None:
        try:
            self.holding.grow(size)
        except errors.MemoryFullError as error:
            raise errors.RequestMalformedError(503, str(error)) from error
        if self.is_dropped:
            raise errors.RequestMalformedError(503, 'no memory for the input')

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
