"""Client of a gate whose target has no address and no connections."""

from __future__ import annotations

import functools
import types
import typing


class UnconnectedClient:
    """Takes the place of a client and of its connections.

    Subclasses answer the calls.
    """

    @functools.cached_property
    def dialect(self) -> types.SimpleNamespace:
        """Return the holder of the identifier of the target."""
        return types.SimpleNamespace(target='')

    @property
    def channels(self) -> typing.Self:
        """Return the connections, for which this object stands in."""
        return self

    def use(self, address: str) -> None:
        """Accept the address of the target and ignore it."""

    def close(self) -> None:
        """Close all connections, of which there are none."""
