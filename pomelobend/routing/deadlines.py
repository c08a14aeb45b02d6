"""When a call must end so that its caller still gets the reply.

A caller leaves at the end of the time that it has stated. What reaches it
later is lost: it saw a request without an answer.
"""

from __future__ import annotations

import attrs

from pomelobend import limits

DEFAULT_S = 60.0
"""Time of a caller that states none."""

REPLY_TRAVEL_S = 0.03
"""Time for a reply to reach its caller, short delays of the node included."""

ANSWER_TRAVEL_S = 0.04
"""Time for the last answer of a target to reach the node of the caller. The
node at the target counts the time of a call from when it reads it."""

MAX_SHARE = 0.3
"""Largest share of the time of a caller that either of them may take. A call
that is sent again has little time, and its reply travels for as long."""

LATE_SHARE = 0.15
"""Largest share of the time of a caller, or of a call that another node has
sent, that is kept back for the lateness of the event loop."""

SERVED_MARGIN_S = 0.5
"""Time past the end that a target was told in which its answer is waited for.
The node of the caller ends the call before: it alone knows when its caller
leaves. It covers what both nodes have taken off for their lateness."""

SENT_MARGIN_S = 0.6
"""The same at the node of the caller, for the answer of the other node."""

LIMIT_SLACK_S = 0.12
"""Time past the limit of a route in which an answer is still accepted."""


@attrs.frozen
class Deadlines:
    """The ends of a call, as monotonic times.

    Parameters
    ----------
    target : float
        Time at which targets stop to work on it.
    reply : float
        Time at which the node replies itself if no answer has come.
    last : float
        The same beside a stop of the node: its caller has left, or the limit
        of the route is over. A target at work is not cut short before.
    """

    target: float
    reply: float
    last: float


def of(
    started: float, requested_s: float, limit_s: float, late_s: float = 0.0
) -> Deadlines:
    """Return the ends of a call.

    An answer that comes while the event loop is late reaches its caller as
    late as the own reply does, so both end earlier by that.

    Parameters
    ----------
    started : float
        Monotonic time of its first byte.
    requested_s : float
        Time after which its caller leaves.
    limit_s : float
        Limit of its route, which the caller may outlast.
    late_s : float
        Time by which the event loop of this node is usually late.
    """
    leaves_at = started + requested_s
    most_s = requested_s * MAX_SHARE
    reply_s = min(REPLY_TRAVEL_S, most_s)
    reply = leaves_at - reply_s - min(late_s, requested_s * LATE_SHARE)
    target = min(reply - min(ANSWER_TRAVEL_S, most_s), started + limit_s)
    # A limit is over only when the loop has read what came before it.
    return Deadlines(
        target,
        min(reply - limits.READ_TIME_S, target + LIMIT_SLACK_S),
        min(leaves_at, started + limit_s + LIMIT_SLACK_S),
    )


def of_served(read_at: float, left_s: float, late_s: float) -> float:
    """Return when a target stops to work on a call of another node.

    Its node may have read the call late, and may read the answer late. An
    answer that comes later than the reply of the other node is lost.

    Parameters
    ----------
    read_at : float
        Monotonic time at which this node has read the call.
    left_s : float
        Time that was left to it when the other node sent it.
    late_s : float
        Time by which the event loop of this node is usually late.
    """
    return read_at + left_s - min(late_s, left_s * LATE_SHARE)
