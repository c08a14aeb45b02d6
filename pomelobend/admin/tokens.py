"""Authentication of teams by token, and their rights to documents."""

from __future__ import annotations

import hashlib
import hmac
import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import config
    from pomelobend.documents import model

BEARER = 'Bearer '


class UnauthorizedError(errors.PomelobendError):
    """The request carries no token of a known team."""

    code = 'PB600'


class ForbiddenError(errors.PomelobendError):
    """The team has no right to make this change."""

    code = 'PB601'


@attrs.define
class Tokens:
    """Teams, identified by the digests of their tokens."""

    teams: tuple[config.Team, ...]

    def team(self, authorization: str) -> config.Team:
        """Return the team that a request authenticates as.

        Every digest is compared, each in constant time, so that the response
        time tells nothing about the known digests.

        Raises
        ------
        UnauthorizedError
        """
        token = authorization.removeprefix(BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        matches = [
            team
            for team in self.teams
            if hmac.compare_digest(team.token_sha256, digest)
        ]
        if not authorization.startswith(BEARER) or not matches:
            raise UnauthorizedError(
                'the request carries no token of a known team'
            )
        return matches[0]


def require_document_right(
    team: config.Team,
    document: model.Document,
    before: abc.Collection[model.DomainDecision],
) -> None:
    """Check that a team may replace a document.

    Parameters
    ----------
    team : config.Team
    document : model.Document
    before : collection of model.DomainDecision
        Decisions about failure domains in the document to be replaced.

    Raises
    ------
    ForbiddenError
    """
    if document.team != team.name:
        raise ForbiddenError(
            f'{team.name} may not change the document of {document.team}'
        )
    is_changed = set(document.domains) != set(before)
    if is_changed and 'domains' not in team.rights:
        raise ForbiddenError(
            f'{team.name} may not change decisions about failure domains'
        )
