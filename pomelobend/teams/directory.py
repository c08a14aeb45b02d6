"""The teams of a configuration, found by the keys of their calls.

Keys are not kept: a lookup hashes the key that it is given, so its time does
not depend on how much of a wrong key matches a right one.
"""

from __future__ import annotations

import hashlib
import os
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

DIGEST_BYTES = 16
"""Size of a digest. Two of 20,000 keys have the same one with a probability
of less than 1 in 10^29."""

_SECRET = os.urandom(hashlib.blake2b.MAX_KEY_SIZE)
"""Key of the digests, different in each process, so that digests in the memory
of a node cannot be compared with those of known keys."""


@attrs.frozen
class Team:
    """A team of callers.

    Parameters
    ----------
    name : str
    priority : int or None
        Priority of its calls, 0 first; None for that of the route.
    """

    name: str
    priority: int | None = None


@attrs.frozen(eq=False)
class TeamDirectory:
    """Teams by the digests of their keys."""

    teams_by_digest: dict[bytes, Team] = attrs.field(repr=False)
    names: frozenset[str] = attrs.field(repr=False)

    @classmethod
    def build(
        cls, teams: abc.Iterable[tuple[Team, abc.Iterable[str]]]
    ) -> TeamDirectory:
        """Index teams by their keys.

        Parameters
        ----------
        teams : iterable of tuple
            Teams, each with its keys.

        Raises
        ------
        ValueError
            Two teams have the same name or the same key. The error names the
            teams by number, and no key.
        """
        found: dict[bytes, Team] = {}
        names: set[str] = set()
        for number, (team, keys) in enumerate(teams):
            if team.name in names:
                raise ValueError(f'team {number} has the name of another one')
            names.add(team.name)
            for key in keys:
                if found.setdefault(_digest(key), team) is not team:
                    raise ValueError(f'team {number} has a key of another one')
        return cls(found, frozenset(names))

    def find(self, key: str) -> Team | None:
        """Return the team of a key, or None if the key is unknown."""
        return self.teams_by_digest.get(_digest(key))


def _digest(key: str) -> bytes:
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogatepass'),
        digest_size=DIGEST_BYTES,
        key=_SECRET,
    ).digest()
