"""A call on its way and the answer to it."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.configuration import snapshot as snapshots

Headers = list[tuple[str, str]]

DEADLINE_HEADER = 'pomelobend-deadline-ms'
"""Milliseconds that remain for a call, on requests of callers and nodes."""

ATTEMPT_HEADER = 'pomelobend-attempt'
"""Above 0 where some node has already sent a call above this one again."""

KEY_HEADER = 'idempotency-key'
"""Names a call that must run at most once, however often it is sent."""

REPLAYED_HEADER = 'pomelobend-replayed'
"""On an answer that was kept from an earlier run of the same call."""

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
"""Headers that hold for one connection only (RFC 9110, 7.6.1)."""


@attrs.define(eq=False)
class Call:
    """A call that a node is to bring to a target.

    Parameters
    ----------
    route : snapshots.BoundRoute
    method : str
    path : bytes
        Path and query as the caller sent them.
    headers : list of tuple of str
    deadline : float
        Reading of the monotonic clock at which the call is no longer wanted.
    attempt : int
        How often a call above this one, or this one, was sent again.
    key : str
        Idempotency key, or empty.
    body : bytes
        The whole body, or what has arrived of it where ``rest`` is there.
    rest : async iterator of bytes or None
    """

    route: snapshots.BoundRoute
    method: str
    path: bytes
    headers: Headers
    deadline: float
    attempt: int = 0
    key: str = ''
    body: bytes = b''
    rest: abc.AsyncIterator[bytes] | None = None


@attrs.define(eq=False)
class Answer:
    """The answer of a target.

    Parameters
    ----------
    status : int
    headers : list of tuple of str
    body : bytes
        The whole body, or its first part where ``rest`` is there.
    rest : async iterator of bytes or None
        Raises ``AnswerBrokenError`` where the body ends too early.
    """

    status: int
    headers: Headers
    body: bytes
    rest: abc.AsyncIterator[bytes] | None = None


def end_to_end(headers: abc.Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that travel beyond one connection."""
    pairs = [(name.lower(), value) for name, value in headers]
    named = {
        word.strip().lower()
        for name, value in pairs
        if name == 'connection'
        for word in value.split(',')
    }
    dropped = HOP_BY_HOP | named if named else HOP_BY_HOP
    return [pair for pair in pairs if pair[0] not in dropped]
