"""The manifest: the accepted document of each team in configuration N."""

from __future__ import annotations

import hashlib
import json
import typing

import attrs

KIND = 'manifest'
NAME = 'current'
DOCUMENT_KIND = 'document'
HISTORY_KIND = 'history'
HISTORY_LENGTH = 128
"""Number of latest changes that the manifest holds."""


@attrs.frozen
class DocumentRef:
    """The accepted document of one team.

    Parameters
    ----------
    digest : str
    number : int
        Number of the configuration that introduced this document.
    """

    digest: str
    number: int


@attrs.frozen
class Change:
    """One accepted change."""

    number: int
    identity: str
    team: str
    digest: str
    previous: str
    author: str
    at: str


@attrs.frozen
class Manifest:
    """The documents of configuration ``number``, and its latest changes."""

    number: int = 0
    documents: dict[str, DocumentRef] = attrs.field(factory=dict)
    history: tuple[Change, ...] = ()

    @classmethod
    def from_value(cls, value: typing.Any) -> Manifest:
        """Build a manifest from its JSON form."""
        return cls(
            value['number'],
            {
                team: DocumentRef(digest, number)
                for team, (digest, number) in value['documents'].items()
            },
            tuple(Change(*change) for change in value['history']),
        )

    def to_value(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {
            'number': self.number,
            'documents': {
                team: [ref.digest, ref.number]
                for team, ref in sorted(self.documents.items())
            },
            'history': [
                list(attrs.astuple(change)) for change in self.history
            ],
        }

    def without_history(self) -> dict[str, typing.Any]:
        """Return the JSON form sent between nodes, without the history."""
        return {**self.to_value(), 'history': []}

    def find(self, identity: str) -> Change | None:
        """Return the accepted change with an identity, if in the history."""
        return next((c for c in self.history if c.identity == identity), None)

    def with_change(
        self, identity: str, team: str, digest: str, author: str, at: str
    ) -> Manifest:
        """Return the next manifest, with one change applied."""
        previous = self.documents.get(team)
        change = Change(
            self.number + 1,
            identity,
            team,
            digest,
            previous.digest if previous else '',
            author,
            at,
        )
        documents = {
            **self.documents,
            team: DocumentRef(digest, change.number),
        }
        history = (*self.history, change)[-HISTORY_LENGTH:]
        return Manifest(change.number, documents, history)


def digest(value: typing.Any) -> str:
    """Return the digest of the JSON form of a document."""
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()[:32]
