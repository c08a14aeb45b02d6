"""Calls in flight at the local target, as parents of the calls it makes.

While a target runs a call it may send requests to its own node. Their attempt
id is ``PARENT.OWN``, where PARENT is the attempt id of the call that it runs.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend.routing import call as call_module

SEPARATOR = '.'
"""Separates the id of the parent from the own part of an attempt id."""


@attrs.define(eq=False)
class Parents:
    """Finds the running call that a request of the target belongs to.

    Adding, removing and finding take constant time. An id is known only while
    its call is at the target; requests with any other id are ordinary ones.

    Parameters
    ----------
    by_id : dict of str to list of Call
        The calls at the target by attempt id, the latest last. One attempt
        is there twice only if its node has sent it again.
    """

    by_id: dict[str, list[call_module.Call]] = attrs.field(factory=dict)

    def add(self, call: call_module.Call) -> None:
        """Add a call that is sent to the target."""
        if call.key:
            self.by_id.setdefault(call.key, []).append(call)

    def remove(self, call: call_module.Call) -> None:
        """Remove a call whose run has ended."""
        if not call.key:
            return
        same = self.by_id[call.key]
        same.remove(call)
        if not same:
            del self.by_id[call.key]

    def find(self, attempt_id: str) -> call_module.Call | None:
        """Return the running call that a request belongs to, if any."""
        parent_id, separator, own = attempt_id.rpartition(SEPARATOR)
        if not separator or not own:
            return None
        same = self.by_id.get(parent_id)
        return same[-1] if same else None
