"""Tallies of call outcomes as they are sent between nodes.

Each route maps to its number of good and of bad outcomes and the sum of the
run times in ms. Timeouts follow as a route of their own, which has no
outcomes: nodes that do not know of them ignore such a route.
"""

from __future__ import annotations

import typing

from pomelobend import errors
from pomelobend.peers import messages
from pomelobend.rollouts import evidence as evidences

TIMEOUTS_PREFIX = '\0timeouts '
"""Prefix of a route whose last number is the number of timeouts."""

MS = 1000


def encode(tallies: evidences.Tallies) -> dict[str, list[int]]:
    """Return the tallies of a message, by route."""
    counts = {
        route: [tally.good, tally.bad, round(tally.total_s * MS)]
        for route, tally in tallies.items()
    }
    timeouts = {
        TIMEOUTS_PREFIX + route: [0, 0, tally.timeouts]
        for route, tally in tallies.items()
        if tally.timeouts
    }
    return counts | timeouts


def decode(routes: dict[str, typing.Any]) -> evidences.Tallies:
    """Parse the tallies of a message, by route.

    Raises
    ------
    errors.ProtocolError
    """
    if not all(map(_is_tally, routes.values())):
        raise errors.ProtocolError('Evidence: a tally is wrong')
    return {
        route: evidences.Tally(
            good, bad, total_ms / MS, _timeouts(routes, route, bad)
        )
        for route, (good, bad, total_ms) in routes.items()
        if not route.startswith(TIMEOUTS_PREFIX)
    }


def _is_tally(values: object) -> bool:
    return (
        type(values) is list
        and len(values) == 3
        and all(messages.is_non_negative_int(value) for value in values)
    )


def _timeouts(routes: dict[str, list[int]], route: str, bad: int) -> int:
    """Return the number of timeouts, at most that of bad outcomes."""
    return min(routes.get(TIMEOUTS_PREFIX + route, (0, 0, 0))[2], bad)
