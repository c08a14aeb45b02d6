"""Which connection or unfinished request is dropped first.

Whatever has been incomplete the longest goes first. The decisions need no
network and no event loop.
"""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

STALLED_S = 2.0
"""Time without a byte from its sender after which a request has stalled. It
is dropped before others that still arrive. A sound sender may pause for about
a second when packets are lost."""

LONG_S = 5.0
"""Time after which a request counts as stalled although bytes still come. A
sender of single bytes would keep its memory otherwise."""

Item = typing.TypeVar('Item')
Body = typing.TypeVar('Body', bound='Receivable')


class Stage(enum.IntEnum):
    """How far a connection is, in the order in which connections go."""

    ENDED = 0
    INCOMPLETE = 1
    IDLE = 2


@attrs.frozen(eq=False)
class Candidate(typing.Generic[Item]):
    """A connection that can be dropped.

    Parameters
    ----------
    item : object
    stage : Stage
        ``ENDED`` after the last reply, ``INCOMPLETE`` while a request is
        being received or none has come, ``IDLE`` between two requests.
    since : float
        Monotonic time from which on it has been in that stage.
    """

    item: Item
    stage: Stage
    since: float


class Receivable(typing.Protocol):
    """A body that is being received.

    Parameters
    ----------
    began_at : float
        Monotonic time of its first byte.
    sender_at : float or None
        Monotonic time of its last byte; None if it does not wait for its
        sender.
    """

    began_at: float
    sender_at: float | None


def connections_to_drop(
    candidates: abc.Iterable[Candidate[Item]],
) -> list[Item]:
    """Return the connections in the order in which they are dropped."""
    ordered = sorted(candidates, key=lambda item: (item.stage, item.since))
    return [candidate.item for candidate in ordered]


def longest_stalled(bodies: abc.Iterable[Body], now: float) -> Body | None:
    """Return the stalled body that has been incomplete the longest."""
    return min(
        (body for body in bodies if is_stalled(body, now)),
        key=lambda body: body.began_at,
        default=None,
    )


def is_stalled(body: Receivable, now: float) -> bool:
    """Return whether the sender of a request takes too long."""
    if body.sender_at is None:
        return False
    return now - body.sender_at >= STALLED_S or now - body.began_at >= LONG_S
