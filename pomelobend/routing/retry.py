"""How often calls may be sent again."""

from __future__ import annotations

import attrs

from pomelobend import errors

RESERVE = 10.0
"""Retries that a route may save up."""

ATTEMPTS = 3
"""Tries of one call, the first included."""


@attrs.define
class Budget:
    """Retries of one route as a share of its fresh calls."""

    share: float
    saved: float = RESERVE

    def note_fresh(self) -> None:
        """Earn a part of a retry with a fresh call."""
        self.saved = min(RESERVE, self.saved + self.share)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


@attrs.define
class Budgets:
    """The budget of every route."""

    routes: dict[str, Budget] = attrs.field(factory=dict)

    def of(self, route: str, share: float) -> Budget:
        """Return the budget of a route."""
        budget = self.routes.get(route)
        if budget is None or budget.share != share:
            budget = self.routes[route] = Budget(share)
        return budget


def may_repeat(
    refusal: errors.CallRefusedError, *, is_idempotent: bool
) -> bool:
    """Tell whether a refused call may be sent again at all.

    A call that is not idempotent is sent again only where it has not run.
    """
    if refusal.reason in _FINAL:
        return False
    return refusal.run is errors.Run.NOT_RUN or is_idempotent


_FINAL = frozenset(
    (
        errors.Reason.NO_ROUTE,
        errors.Reason.DEADLINE_PASSED,
        errors.Reason.BAD_REQUEST,
        errors.Reason.BODY_TOO_LARGE,
        errors.Reason.HEADERS_TOO_LARGE,
        errors.Reason.BODY_INCOMPLETE,
        errors.Reason.CANCELLED,
        errors.Reason.TARGET_TIMEOUT,
        errors.Reason.PLATFORM_AWAY,
        errors.Reason.ALREADY_CLAIMED,
        errors.Reason.ALREADY_RUN,
        errors.Reason.KEY_REUSED,
    )
)
