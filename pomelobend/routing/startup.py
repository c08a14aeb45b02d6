"""Calls that arrive at a node before it knows the configuration or targets.

This concerns the load on a node that has just started, above all when many
nodes start at the same time: callers connect again at once, while the node
hears of targets some tenths of a second later. It cannot know yet whether a
call can be served, so the call waits for a short time. A refusal would cost
the caller one of its few retries.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.routing import call as call_module

DISCOVERY_S = 1.5
"""Time after the start within which calls may wait. Later, what a node does
not know is taken not to exist."""

OBJECTIVE_SHARE = 0.4
"""Longest wait as a share of the time to the objective. The rest suffices for
most calls to run in time."""

DEADLINE_SHARE = 0.15
"""The same as a share of the time to the deadline, for calls whose objective
is not known without a configuration, or is near or over when they are read."""

CHECK_INTERVAL_S = 0.02


def longest_wait_s(call: call_module.Call, now: float) -> float:
    """Return how long a call may wait from now on, in s.

    One that was read late has little time to its objective, or none. If it
    has waited for as long as others may, its deadline counts.
    """
    may_wait_s = (call.due - call.started) * OBJECTIVE_SHARE
    if now - call.started < may_wait_s:
        return (call.due - now) * OBJECTIVE_SHARE
    return (call.deadline - now) * DEADLINE_SHARE


@attrs.define(eq=False)
class StartupWait:
    """Lets calls wait until the node knows enough to deliver them.

    Parameters
    ----------
    started : float
        When the node started.
    """

    clock: clocks.Clock
    started: float

    @classmethod
    def from_clock(cls, clock: clocks.Clock) -> StartupWait:
        """Return the wait of a node that starts now."""
        return cls(clock, clock.monotonic())

    async def until_known(
        self, is_known: abc.Callable[[], bool], longest_s: float
    ) -> None:
        """Wait until something is known, at most for a time in s."""
        discovery_end = self.started + DISCOVERY_S
        now = self.clock.monotonic()
        if now >= discovery_end:
            return
        end = min(discovery_end, now + longest_s)
        while self.clock.monotonic() < end and not is_known():
            await self.clock.sleep(CHECK_INTERVAL_S)
