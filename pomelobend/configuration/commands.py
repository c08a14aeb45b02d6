"""Acceptance of changes: one conditional update of the manifest."""

from __future__ import annotations

import random
import typing

import attrs
import structlog

from pomelobend.configuration import manifest as manifests
from pomelobend.configuration import snapshot as snapshots
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.configuration import queries as configuration_queries
    from pomelobend.platform import commands as platform_commands

logger = structlog.get_logger('configuration')

ATTEMPTS = 12
"""Tries of one change before its outcome is reported as unsettled."""

RETRY_DELAY_S = 0.05
"""Upper bound of the first delay between two tries."""


@attrs.frozen
class Request:
    """A change that an operator asks for.

    Parameters
    ----------
    identity : str
        Unique name of the change; the same change sent again has the same.
    team : str
    document : object
        Plain form of the new document.
    expected : int
        Configuration that brought the document the operator has seen;
        0 where the team has none.
    author : str
    """

    identity: str
    team: str
    document: typing.Any
    expected: int
    author: str


@attrs.define
class Commands:
    """Commands that change the accepted configuration.

    Parameters
    ----------
    listeners : list of callable
        Called with each configuration that was accepted through this node.
    """

    platform: platform_commands.Commands
    queries: configuration_queries.Queries
    clock: clocks.Clock
    listeners: list[abc.Callable[[snapshots.Snapshot], None]] = attrs.field(
        factory=list
    )
    random: random.Random = attrs.field(factory=random.Random)

    async def accept(self, request: Request) -> manifests.Change:
        """Accept a change exactly once.

        The same conditional write is repeated while its outcome is unknown:
        at most one of the repetitions can take effect, and the history of
        the manifest tells whether one did.

        Raises
        ------
        errors.FindingsError
            The change breaks a rule.
        errors.ConfigurationConflictError
            The document has changed since the operator saw it.
        errors.PlatformUnavailableError
            Nothing was written.
        errors.ConfigurationUnsettledError
            A write was sent and its effect could not be read back.
        """
        is_unsettled = False
        for attempt in range(ATTEMPTS):
            try:
                return await self._accept_once(request)
            except errors.PlatformConflictError:
                pass
            except errors.PlatformOutcomeUnknownError:
                is_unsettled = True
            except errors.PlatformUnavailableError:
                if not is_unsettled:
                    raise
            await self._back_off(attempt)
        raise errors.ConfigurationUnsettledError(
            f'change {request.identity}: the platform gave no clear answer; '
            'sending the same change again is safe'
        )

    async def check(self, request: Request) -> snapshots.Snapshot:
        """Return what the configuration would be, and write nothing.

        Raises
        ------
        errors.FindingsError
        errors.ConfigurationConflictError
        errors.PlatformUnavailableError
        """
        manifest, _ = await self.queries.manifest()
        return await self._build(request, manifest)

    async def _accept_once(self, request: Request) -> manifests.Change:
        manifest, version = await self.queries.manifest()
        accepted = manifest.find(request.identity)
        if accepted is not None:
            return accepted
        built = await self._build(request, manifest)
        await self._store_document(request.document)
        await self.platform.put(
            manifests.KIND,
            manifests.NAME,
            built.manifest.to_value(),
            version,
        )
        logger.info(
            'configuration: accepted', number=built.number, team=request.team
        )
        for listener in self.listeners:
            listener(built)
        return built.manifest.history[-1]

    async def _build(
        self, request: Request, manifest: manifests.Manifest
    ) -> snapshots.Snapshot:
        ref = manifest.documents.get(request.team)
        current = ref.number if ref else 0
        if current != request.expected:
            raise errors.ConfigurationConflictError(
                f'the document of {request.team} was changed by '
                f'configuration {current}, not {request.expected}',
                current,
            )
        digest = manifests.digest(request.document)
        following = manifest.with_change(
            request.identity,
            request.team,
            digest,
            request.author,
            self.clock.now().isoformat(timespec='milliseconds'),
        )
        others = {r.digest for r in following.documents.values()} - {digest}
        documents = await self.queries.documents(others)
        return snapshots.Snapshot.from_documents(
            following, {**documents, digest: request.document}
        )

    async def _store_document(self, document: typing.Any) -> None:
        """Store a document under its digest; a second time changes nothing."""
        try:
            await self.platform.put(
                manifests.DOCUMENT_KIND,
                manifests.digest(document),
                document,
                0,
            )
        except errors.PlatformConflictError:
            pass

    async def _back_off(self, attempt: int) -> None:
        longest = RETRY_DELAY_S * 2 ** min(attempt, 5)
        await self.clock.sleep(self.random.uniform(0, longest))
