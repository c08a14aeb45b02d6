"""Access of callers to routes, by the keys of their teams."""

from __future__ import annotations

import enum
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend.http import message
from pomelobend.platform import headers as wire

if typing.TYPE_CHECKING:
    from pomelobend import calls
    from pomelobend.mesh import state as states
    from pomelobend.metrics import counters as counter_module
    from pomelobend.routing import table as tables
    from pomelobend.teams import directory as directories

logger = structlog.get_logger('access')

MAX_LABELS = 100
"""Maximum number of teams with a label of their own in the metrics."""

OTHER = 'other'
"""Label of the teams beyond these."""

TEAM_COUNTER = 'team_calls'


class Cause(enum.StrEnum):
    """Why a key is rejected."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'


@attrs.define(eq=False)
class Access:
    """Finds the team of a request; refuses it without a key where one is due.

    Parameters
    ----------
    labels : dict of str to str
        Labels in the metrics, by name of the team. The teams that call first
        get labels of their own.
    """

    state: states.State
    counters: counter_module.Counters
    labels: dict[str, str] = attrs.field(factory=dict)

    def check_head(self, head: message.Request) -> message.Reply | None:
        """Return the refusal of a request of which only the head has come.

        It is None if the request may go on, or if that is not known yet.
        """
        table = self.state.table
        if table is None or table.teams is None:
            return None
        route = table.find(head.header('host') or '', head.target)
        if route is None or route.is_public:
            return None
        try:
            self.team_of(table, route, head.headers)
        except errors.CallRefusedError as refusal:
            self.counters.add('calls_received')
            self.counters.add(
                'calls_refused', f'{refusal.reason}/{refusal.run}'
            )
            return message.Reply(401, [wire.CHALLENGE])
        return None

    def team_of(
        self,
        table: tables.RouteTable,
        route: tables.Route,
        headers: calls.Headers,
    ) -> directories.Team | None:
        """Return the team of a request, None without a known key.

        Raises
        ------
        errors.CallRefusedError
            The route is not public, and the request has no known key.
        """
        team, cause = _find_team(table.teams, headers)
        if cause is None or route.is_public:
            return team
        self.counters.add('keys_rejected', cause)
        logger.info(
            'access: key rejected',
            id=wire.attempt_id(headers),
            route=route.name,
            cause=str(cause),
            version=table.version,
        )
        raise errors.CallRefusedError(
            errors.Reason.UNAUTHORIZED, detail=f'{cause} key'
        )

    def count(self, team: str, outcome: str) -> None:
        """Count a call of a team by its outcome, answered or refused."""
        label = self.labels.get(team)
        if label is None:
            label = OTHER
            if len(self.labels) < MAX_LABELS:
                label = self.labels[team] = team
        self.counters.add(TEAM_COUNTER, f'{label}/{outcome}')

    def forget_removed_teams(self, table: tables.RouteTable) -> None:
        """Drop the counts of teams that are not in a configuration."""
        names = table.teams.names if table.teams is not None else frozenset()
        removed = self.labels.keys() - names
        for name in removed:
            del self.labels[name]
        self.counters.discard(
            TEAM_COUNTER, lambda label: label.rpartition('/')[0] in removed
        )


def _find_team(
    teams: directories.TeamDirectory, headers: calls.Headers
) -> tuple[directories.Team | None, Cause | None]:
    """Return the team of a request, or why there is none."""
    try:
        key = wire.bearer_key(headers)
    except errors.MalformedError:
        return None, Cause.MALFORMED
    if key is None:
        return None, Cause.MISSING
    team = teams.find(key)
    return team, None if team is not None else Cause.UNKNOWN
