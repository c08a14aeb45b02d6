"""Limit on the calls that a version may get before it is accepted."""

from __future__ import annotations

import attrs

RESERVED_SHARE = 0.05
"""Share of the limit that is left for calls that have not been reported."""


@attrs.frozen
class Limit:
    """Number of calls of a service that may go to a bad version.

    Parameters
    ----------
    share : float
        Share of all calls of the service during the rollout.
    calls : int
        Calls allowed in addition.
    """

    share: float
    calls: int

    def calls_left(
        self, used: int, calls_per_s: float, duration_s: float
    ) -> float:
        """Return how many calls the new version may still get.

        Parameters
        ----------
        used : int
            Calls that it has answered.
        calls_per_s : float
            Mean rate of the calls of the service.
        duration_s : float
            Duration of the whole rollout.
        """
        allowed = self.share * calls_per_s * duration_s + self.calls
        return (1.0 - RESERVED_SHARE) * allowed - used
