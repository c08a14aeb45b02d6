"""Measures how late the event loop of a node usually is.

A loop that gets its processor time late, again and again, reads and replies
late. Who waits for it needs to be replied to earlier by that.
"""

from __future__ import annotations

import collections
import random
import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks

INTERVALS_S = (0.07, 0.13)
"""Range of the time between two looks at the loop. At even intervals they
would always meet the same part of the period of a processor quota."""

LOOKS = 64
"""Number of last looks that count."""

RANK = 4
"""Rank of the usual delay among those of the last looks, the longest first.
So a few long delays don't count as usual, and one look in twenty was later."""


@attrs.define(eq=False)
class Lateness:
    """Measures how late a task runs that is due again and again.

    A look is late as anything is that becomes due at a random moment.

    Parameters
    ----------
    usual_s : float
        Delay that the loop seldom exceeds.
    looks : deque of float
        Delays of the last looks.
    """

    clock: clocks.Clock
    usual_s: float = 0.0
    looks: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=LOOKS)
    )
    random: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Look at the loop until cancelled."""
        while True:
            interval_s = self.random.uniform(*INTERVALS_S)
            due = self.clock.monotonic() + interval_s
            await self.clock.sleep(interval_s)
            self.note(self.clock.monotonic() - due)

    def note(self, late_s: float) -> None:
        """Note the delay of a look in s."""
        self.looks.append(late_s)
        if len(self.looks) >= RANK:
            self.usual_s = sorted(self.looks)[-RANK]
