"""Reads of the accepted configuration from the platform."""

from __future__ import annotations

import asyncio
import typing

import attrs

from pomelobend.configuration import manifest as manifests
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.platform import queries as platform_queries


@attrs.define
class Queries:
    """Queries of the accepted configuration."""

    platform: platform_queries.Queries

    async def manifest(self) -> tuple[manifests.Manifest, int]:
        """Return the current manifest and its version in the platform.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        try:
            stored = await self.platform.get(manifests.KIND, manifests.NAME)
        except errors.PlatformNotFoundError:
            return manifests.Manifest(), 0
        return manifests.Manifest.from_value(stored.value), stored.version

    async def document(self, team: str) -> tuple[int, typing.Any]:
        """Return the accepted document of a team and its configuration.

        Returns
        -------
        tuple of int and object
            0 and none where the team has no document.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        manifest, _ = await self.manifest()
        ref = manifest.documents.get(team)
        if ref is None:
            return 0, None
        return ref.number, (await self.documents([ref.digest]))[ref.digest]

    async def document_at(self, team: str, number: int) -> typing.Any:
        """Return the document of a team as it was in a configuration.

        Raises
        ------
        errors.PlatformNotFoundError
            The history does not reach back to it.
        errors.PlatformUnavailableError
        """
        manifest, _ = await self.manifest()
        changes = [c for c in manifest.history if c.team == team]
        earlier = [c.digest for c in changes if c.number <= number]
        later = [c.previous for c in changes if c.number > number]
        digest = next(iter([*earlier[-1:], *later[:1]]), '')
        if number < 1 or not digest:
            raise errors.PlatformNotFoundError(
                f'the history holds no document of {team} at {number}'
            )
        return (await self.documents([digest]))[digest]

    async def documents(
        self, digests: abc.Iterable[str]
    ) -> dict[str, typing.Any]:
        """Return documents by their digests.

        Raises
        ------
        errors.PlatformUnavailableError
        errors.PlatformNotFoundError
        """
        wanted = sorted(digests)
        found = await asyncio.gather(
            *(self.platform.get(manifests.DOCUMENT_KIND, d) for d in wanted)
        )
        return {
            digest: stored.value
            for digest, stored in zip(wanted, found, strict=True)
        }
