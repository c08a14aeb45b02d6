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
