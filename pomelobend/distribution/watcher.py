"""A relay's watch on the accepted configuration."""

from __future__ import annotations

import random
import typing

import attrs
import structlog

from pomelobend.configuration import manifest as manifests
from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend import clock as clocks
    from pomelobend.configuration import queries as configuration_queries
    from pomelobend.configuration import store as stores
    from pomelobend.platform import queries as platform_queries

logger = structlog.get_logger('distribution')

RETRY_S = 0.25
"""Longest wait after the first failure of the platform."""

RETRY_LONGEST_S = 4.0
"""Longest wait after further failures of the platform."""


@attrs.define
class Watcher:
    """Brings each accepted configuration from the platform to the store."""

    store: stores.Store
    platform: platform_queries.Queries
    queries: configuration_queries.Queries
    clock: clocks.Clock
    revision: int = 0
    random: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Follow the manifest until cancelled."""
        delay = RETRY_S
        while True:
            try:
                await self.refresh()
                changes = await self.platform.watch(
                    (manifests.KIND,), self.revision
                )
                self.revision = changes.revision
                delay = RETRY_S
            except errors.PlatformError as error:
                logger.warning(
                    'distribution: platform not reached', why=str(error)
                )
                await self.clock.sleep(self.random.uniform(0, delay))
                delay = min(delay * 2, RETRY_LONGEST_S)
            except errors.PomelobendError as error:
                logger.error(
                    'distribution: configuration refused', why=str(error)
                )
                await self.clock.sleep(RETRY_LONGEST_S)

    async def refresh(self) -> bool:
        """Read the manifest and apply it if it is newer.

        Raises
        ------
        errors.PlatformError
        errors.ConfigurationError
        errors.FindingsError
        """
        manifest, version = await self.queries.manifest()
        self.revision = max(self.revision, version)
        if manifest.number <= self.store.snapshot.number:
            return False
        documents = await self.queries.documents(self.store.missing(manifest))
        return self.store.apply(manifest, documents)
