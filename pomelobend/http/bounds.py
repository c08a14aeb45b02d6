"""Limits on requests, replies and idle connections."""

from __future__ import annotations

import attrs

BODY_PAUSE_S = 5.0
"""Longest time without a byte of a body."""

REPLY_PAUSE_S = 10.0
"""Longest time in which a caller takes nothing of a reply. It holds memory
that others need."""


@attrs.define
class Bounds:
    """Limits on the size and duration of requests and on idle connections.

    Parameters
    ----------
    header_s : float
        Longest time in which the head of a request is received.
    body_pause_s : float
        Longest time without a byte of a body.
    reply_pause_s : float
        Longest time in which nothing is taken of a reply.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_s: float = 5.0
    idle_s: float = 75.0
    body_pause_s: float = BODY_PAUSE_S
    reply_pause_s: float = REPLY_PAUSE_S
