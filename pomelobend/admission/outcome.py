"""Outcome of a call that a target has run."""

from __future__ import annotations

import enum
import http
import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend import calls


class Kind(enum.Enum):
    """How a call has ended."""

    GOOD = enum.auto()
    FAILED = enum.auto()
    TIMED_OUT = enum.auto()


@attrs.frozen
class Outcome:
    """Outcome of one call.

    Parameters
    ----------
    route : str
    kind : Kind
    seconds : float
        Run time of the call.
    """

    route: str
    kind: Kind
    seconds: float


def of_answer(answer: calls.Answer) -> Kind:
    """Return the outcome that an answer of a target stands for."""
    if answer.status == http.HTTPStatus.GATEWAY_TIMEOUT:
        return Kind.TIMED_OUT
    is_failure = answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    return Kind.FAILED if is_failure else Kind.GOOD


def of_refusal(refusal: errors.CallRefusedError) -> Kind:
    """Return the outcome of a call that may have run without an answer."""
    is_timeout = refusal.reason in (
        errors.Reason.TARGET_TIMEOUT,
        errors.Reason.DEADLINE_PASSED,
    )
    return Kind.TIMED_OUT if is_timeout else Kind.FAILED
