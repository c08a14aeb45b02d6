"""Nodes of other failure domains that did not answer a short time ago."""

from __future__ import annotations

import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.membership import member as members

SUSPICION_S = 2.0
"""Time for which calls avoid a node that did not answer."""

DOMAIN_SUSPECTS = 2
"""Number of suspected nodes of a domain from which all of it is avoided."""


@attrs.define(eq=False)
class Suspects:
    """Nodes that calls avoid for some time, as do their domains.

    Parameters
    ----------
    now : callable
        Returns the monotonic time.
    until : dict
        By node, the time until which calls avoid it, and its domain.
    """

    now: abc.Callable[[], float]
    until: dict[str, tuple[float, str]] = attrs.field(factory=dict)

    def note(self, node: str, domain: str) -> None:
        """Avoid a node for some time."""
        self.until[node] = (self.now() + SUSPICION_S, domain)

    def clear(self, node: str) -> None:
        """Stop to avoid a node, as it has answered."""
        self.until.pop(node, None)

    def without(self, records: list[members.Member]) -> list[members.Member]:
        """Return the records of nodes and domains that are not avoided."""
        if not self.until:
            return records
        now = self.now()
        self.until = {
            node: (until, domain)
            for node, (until, domain) in self.until.items()
            if until > now
        }
        counts = collections.Counter(
            domain for _, domain in self.until.values()
        )
        return [
            record
            for record in records
            if record.node not in self.until
            and counts[record.domain] < DOMAIN_SUSPECTS
        ]
