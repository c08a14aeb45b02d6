"""The claim of a key, as the platform holds it."""

from __future__ import annotations

import base64
import enum
import hashlib
import typing

import attrs

from pomelobend import calls

KIND = 'claim'

KEPT_BYTES = 16 * 1024
"""Largest body of an answer that is kept for the same call sent again."""


class State(enum.StrEnum):
    """What is known of the call that holds a claim."""

    RUNNING = 'running'
    DONE = 'done'
    RELEASED = 'released'


@attrs.frozen
class Claim:
    """A claim of a key.

    Parameters
    ----------
    state : State
    nonce : str
        Unique name of the attempt that holds the claim.
    fingerprint : str
        Digest of the call; another call under the same key is refused.
    status : int
    content_type : str
    body : str
        Base64 of the body of the answer, where it is kept.
    is_kept : bool
    """

    state: State
    nonce: str
    fingerprint: str
    status: int = 0
    content_type: str = ''
    body: str = ''
    is_kept: bool = False

    @classmethod
    def from_value(cls, value: typing.Any) -> Claim:
        """Build a claim from its plain form."""
        return cls(**{**value, 'state': State(value['state'])})

    def to_value(self) -> dict[str, typing.Any]:
        """Return the plain form."""
        return {**attrs.asdict(self), 'state': str(self.state)}

    def with_answer(self, answer: calls.Answer) -> Claim:
        """Return the claim of a call that has been answered."""
        is_kept = answer.rest is None and len(answer.body) <= KEPT_BYTES
        return attrs.evolve(
            self,
            state=State.DONE,
            status=answer.status,
            content_type=dict(answer.headers).get('content-type', ''),
            body=base64.b64encode(answer.body).decode() if is_kept else '',
            is_kept=is_kept,
        )

    def answer(self) -> calls.Answer:
        """Return the answer that was kept."""
        headers = [(calls.REPLAYED_HEADER, 'true')]
        if self.content_type:
            headers.append(('content-type', self.content_type))
        return calls.Answer(self.status, headers, base64.b64decode(self.body))


def name_of(call: calls.Call) -> str:
    """Return the name of the claim of a call in the platform."""
    text = f'{call.route.rule.name}\0{call.key}'
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def fingerprint_of(call: calls.Call) -> str:
    """Return the digest by which a call is told from another."""
    digest = hashlib.sha256(call.method.encode())
    for part in (call.path, call.body):
        digest.update(b'\0' + part)
    return digest.hexdigest()[:32]
