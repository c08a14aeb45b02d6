"""Headers between a node and a target of the platform."""

from __future__ import annotations

from pomelobend import calls
from pomelobend import errors
from pomelobend.platform import headers
from pomelobend.targets import client as target_clients
from pomelobend.targets import probe as probes

HEALTH = probes.HealthHeaders(
    target='x-instance-id', not_run=headers.NOT_EXECUTED, cold_ms='x-cold-ms'
)
"""Headers that a target sends in its response to a health check."""

_NEVER_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which callers conclude that a request is never executed.

A target may send them without the header ``NOT_EXECUTED`` for a request
that it has executed, so such a response is not passed on.
"""


class TargetDialect(target_clients.Dialect):
    """Headers of requests to targets of the platform and of responses."""

    def headers(self, call: calls.Call, left_s: float) -> calls.Headers:
        """Return the headers that a node adds to a request."""
        return [
            (headers.DEADLINE, str(max(1, int(left_s * 1000)))),
            (headers.TARGET, self.target),
        ]

    def correlation_header(self, call: calls.Call) -> tuple[str, str] | None:
        """Return the header that must match if a response contains it."""
        return (headers.ATTEMPT_ID, headers.attempt_id(call.headers))

    def check_answer(self, answer: calls.Answer, *, is_kept: bool) -> None:
        """Raise an error if a response is not the result of the call.

        A refusal without the attempt id, on a connection that carried other
        calls, may be one of theirs that the target sent once more.

        Raises
        ------
        errors.CallRefusedError
            The target reports that it did not execute the call.
        errors.AnswerBrokenError
            The response is invalid, or leaves it open whether the call was
            executed.
        """
        names = {name for name, _ in answer.headers}
        is_refusal = answer.status == 421 or headers.NOT_EXECUTED in names
        if is_refusal and is_kept and headers.ATTEMPT_ID not in names:
            raise errors.AnswerBrokenError('a refusal that names no call')
        if answer.status == 421:
            raise errors.CallRefusedError(errors.Reason.TARGET_REPLACED)
        if headers.NOT_EXECUTED in names:
            raise errors.CallRefusedError(errors.Reason.TARGET_REFUSED)
        if answer.status in _NEVER_EXECUTED_STATUSES:
            raise errors.AnswerBrokenError(
                f'status {answer.status} of a request that may have run'
            )
        if answer.status < 300 and headers.SIGNATURE not in names:
            raise errors.AnswerBrokenError('success without a signature')
        if 'content-encoding' in names:
            raise errors.AnswerBrokenError('an encoded body was not asked for')
