"""How often a team may change configuration."""

from __future__ import annotations

import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

CHANGES_PER_S = 2.0
"""Lasting rate of changes that one team may send through one node."""

BURST = 10.0
"""Changes that a team may send at once."""


class RateLimitedError(errors.PomelobendError):
    """The team has sent too many changes in a short time."""

    code = 'PB602'


@attrs.define
class Rates:
    """A token bucket for each team."""

    clock: clocks.Clock
    buckets: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def take(self, team: str) -> None:
        """Count a change of a team.

        Raises
        ------
        RateLimitedError
        """
        now = self.clock.monotonic()
        saved, since = self.buckets.get(team, (BURST, now))
        saved = min(BURST, saved + (now - since) * CHANGES_PER_S)
        if saved < 1.0:
            self.buckets[team] = (saved, now)
            raise RateLimitedError(f'{team} sends too many changes')
        self.buckets[team] = (saved - 1.0, now)
