"""The configuration in force on a node; it only moves forward."""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.configuration import manifest as manifests
from pomelobend.configuration import snapshot as snapshots
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

logger = structlog.get_logger('configuration')


@attrs.define
class Store:
    """Holds one snapshot and swaps it for a newer one as a whole.

    Parameters
    ----------
    snapshot : snapshots.Snapshot
    listeners : list of callable
        Called with each new snapshot after the swap.
    refused : int
        Configurations refused because they could not be built.
    stale : int
        Configurations refused because they were not newer.
    """

    snapshot: snapshots.Snapshot = attrs.field(
        factory=snapshots.Snapshot.empty
    )
    listeners: list[abc.Callable[[snapshots.Snapshot], None]] = attrs.field(
        factory=list
    )
    refused: int = 0
    stale: int = 0

    def missing(self, manifest: manifests.Manifest) -> set[str]:
        """Return the digests that a manifest names and this node lacks."""
        return {
            ref.digest
            for ref in manifest.documents.values()
            if ref.digest not in self.snapshot.documents
        }

    def apply(
        self,
        manifest: manifests.Manifest,
        documents: abc.Mapping[str, typing.Any],
    ) -> bool:
        """Put a configuration in force if it is newer and complete.

        Returns
        -------
        bool
            Whether the configuration is in force now by this call.

        Raises
        ------
        errors.ConfigurationIncompleteError
        errors.FindingsError
            The configuration cannot be built; the old one stays.
        """
        if manifest.number <= self.snapshot.number:
            self.stale += 1
            return False
        try:
            built = snapshots.Snapshot.from_documents(
                manifest, {**self.snapshot.documents, **documents}
            )
        except errors.PomelobendError as error:
            self.refused += 1
            logger.error(
                'configuration: refused',
                number=manifest.number,
                code=error.code,
            )
            raise
        self.snapshot = built
        logger.info('configuration: in force', number=built.number)
        for listener in self.listeners:
            listener(built)
        return True
