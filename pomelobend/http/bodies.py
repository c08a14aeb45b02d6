"""Memory of the bodies that a server is receiving."""

from __future__ import annotations

import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.http import incoming as incoming_module

MAX_BYTES = 128 * 1024 * 1024
"""Limit for all bodies that are being received; one body may always have the
size that the limits of the configuration allow."""

Refuse = typing.Callable[[errors.RequestMalformedError], None]


@attrs.define(eq=False)
class Bodies:
    """Bodies that are being received, and how to refuse their requests."""

    max_bytes: int = MAX_BYTES
    refusals: dict[incoming_module.Incoming, Refuse] = attrs.field(
        factory=dict
    )
    used_bytes: int = 0

    def add(
        self,
        incoming: incoming_module.Incoming,
        part: bytes,
        max_body_bytes: int,
        refuse: abc.Callable[[errors.RequestMalformedError], None],
    ) -> None:
        """Store a part; give up the largest bodies above the limit.

        Raises
        ------
        errors.RequestMalformedError
            The body is too large, or the largest one above the limit.
        """
        self.refusals[incoming] = refuse
        incoming.body += part
        self.used_bytes += len(part)
        if len(incoming.body) > max_body_bytes:
            raise errors.RequestMalformedError(
                413, 'request body exceeds the size limit'
            )
        while self.used_bytes > max(self.max_bytes, max_body_bytes):
            largest = max(self.refusals, key=lambda item: len(item.body))
            error = errors.RequestMalformedError(
                503, 'too many request bodies are being received'
            )
            if largest is incoming:
                raise error
            self.refusals[largest](error)

    def drop(self, incoming: incoming_module.Incoming) -> None:
        """Forget a body that was received or given up."""
        if self.refusals.pop(incoming, None) is not None:
            self.used_bytes -= len(incoming.body)
