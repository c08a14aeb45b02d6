"""A large reply that its caller has not taken yet."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend.memory import budget as budgets


@attrs.define(eq=False)
class Unsent:
    """A large reply in the write buffer of a connection.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection.
    holding : Holding
        The bytes of the reply.
    taken_at : float
        Monotonic time at which some of it was last seen to be taken.
    unsent_bytes : int
        What was left then.
    """

    transport: typing.Any
    holding: budgets.Holding
    taken_at: float
    unsent_bytes: int

    def pause_s(self, now: float) -> float:
        """Return for how long the caller has taken nothing, in s."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            self.taken_at, self.unsent_bytes = now, unsent_bytes
        return now - self.taken_at
