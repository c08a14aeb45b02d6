"""Whole requests that wait behind others of their connections.

None of them has been begun, so that they can be refused for the answers of
calls that have run.
"""

from __future__ import annotations

import typing
import weakref

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.memory import budget as budgets


@attrs.define(eq=False)
class QueuedRequests:
    """The holdings of queued requests, in the order in which they came.

    Parameters
    ----------
    refusals : WeakKeyDictionary of Holding to callable
        Frees the bytes of a request, which is refused then.
    """

    refusals: weakref.WeakKeyDictionary[
        budgets.Holding, abc.Callable[[], None]
    ] = attrs.field(factory=weakref.WeakKeyDictionary)

    def add(
        self, holding: budgets.Holding, refuse: abc.Callable[[], None]
    ) -> None:
        """Note a request that waits."""
        self.refusals[holding] = refuse

    def remove(self, holding: budgets.Holding) -> None:
        """Note that a request is begun."""
        self.refusals.pop(holding, None)

    def refuse_newest(self) -> budgets.Holding | None:
        """Refuse the request that came last; return its holding.

        Returns None if no request waits.
        """
        try:
            holding, refuse = self.refusals.popitem()
        except KeyError:
            return None
        refuse()
        return holding
