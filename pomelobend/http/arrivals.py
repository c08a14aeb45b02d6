"""When bytes came that are read from a connection now.

A loop that was held up, and one that has just started, reads late. Whoever
sends a request counts its time from then on, so the node does as well.
"""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend import sockets

if typing.TYPE_CHECKING:
    from collections import abc

logger = structlog.get_logger('http')

RESOLUTION_S = 0.01
"""Largest error of the time that the kernel tells, which it counts in ticks
of its timer."""


@attrs.define(eq=False)
class Arrivals:
    """Tells when bytes came, or when they were read if that is not known.

    The kernel knows the last bytes only. Those of a request in several parts
    that were all read late may have come before.

    Parameters
    ----------
    waited_s : callable
        Returns how long ago a transport received its last bytes in s. It
        raises ``OSError`` if that cannot be known, and is not called again.
    is_known : bool
        Whether no such error has occurred.
    """

    waited_s: abc.Callable[[typing.Any], float] = sockets.since_input_s
    is_known: bool = True

    def came_at(
        self, transport: typing.Any, read_at: float, not_before: float
    ) -> float:
        """Return the monotonic time at which the last bytes came.

        Parameters
        ----------
        transport : asyncio.Transport
        read_at : float
            Time at which the bytes were read, which is returned instead of a
            time that is not known or not possible.
        not_before : float
            Time before which the bytes cannot have come.
        """
        if not self.is_known:
            return read_at
        try:
            came_at = read_at - self.waited_s(transport)
        except OSError as error:
            self.is_known = False
            logger.warning(
                'http: requests count from when they are read',
                why=str(error),
            )
            return read_at
        if not not_before - RESOLUTION_S <= came_at <= read_at:
            return read_at
        return max(came_at, not_before)
