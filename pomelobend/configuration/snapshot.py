"""An immutable configuration in which every reference is resolved."""

from __future__ import annotations

import itertools
import operator
import typing

import attrs

from pomelobend.configuration import manifest as manifests
from pomelobend.documents import validate
from pomelobend import errors
from pomelobend.findings import source as sources

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.documents import model


@attrs.frozen
class BoundRoute:
    """A route together with the service that it leads to."""

    rule: model.Route
    service: model.Service
    prefix: bytes


@attrs.frozen
class Snapshot:
    """Configuration ``number``, complete and never changed."""

    number: int
    manifest: manifests.Manifest
    documents: dict[str, typing.Any]
    services: dict[str, model.Service]
    routes: dict[str, tuple[BoundRoute, ...]]
    withdrawn: frozenset[str]

    @classmethod
    def empty(cls) -> Snapshot:
        """Return the configuration before the first change."""
        return cls(0, manifests.Manifest(), {}, {}, {}, frozenset())

    @classmethod
    def from_documents(
        cls,
        manifest: manifests.Manifest,
        documents: abc.Mapping[str, typing.Any],
    ) -> Snapshot:
        """Build a configuration out of the documents of a manifest.

        Parameters
        ----------
        manifest : manifests.Manifest
        documents : mapping of str to object
            Plain documents by digest; more than needed may be there.

        Raises
        ------
        errors.ConfigurationIncompleteError
            A document is missing or is not what its digest says.
        errors.FindingsError
            The documents break a rule.
        """
        chosen = {
            ref.digest: _take(documents, ref.digest)
            for ref in manifest.documents.values()
        }
        named = [
            sources.Source.from_value(chosen[ref.digest], f'{team}.json')
            for team, ref in sorted(manifest.documents.items())
        ]
        parsed = [(validate.parse(source), source) for source in named]
        validate.check_all(parsed)
        whole = [document for document, _ in parsed]
        services = {
            service.name: service
            for document in whole
            for service in document.services
        }
        return cls(
            manifest.number,
            manifest,
            chosen,
            services,
            _bind(whole, services),
            frozenset(
                decision.name
                for document in whole
                for decision in document.domains
                if decision.state == 'withdrawn'
            ),
        )

    def find_route(self, method: str, path: bytes) -> BoundRoute | None:
        """Return the route with the longest prefix of the path."""
        return next(
            (
                route
                for route in self.routes.get(method, ())
                if path.startswith(route.prefix)
            ),
            None,
        )


def _take(documents: abc.Mapping, digest: str) -> typing.Any:
    if digest not in documents:
        raise errors.ConfigurationIncompleteError(
            f'the document {digest} is missing'
        )
    value = documents[digest]
    if manifests.digest(value) != digest:
        raise errors.ConfigurationIncompleteError(
            f'the document {digest} has another content'
        )
    return value


def _bind(
    documents: list[model.Document], services: dict[str, model.Service]
) -> dict[str, tuple[BoundRoute, ...]]:
    """Return the routes of each method, longest prefix first."""
    pairs = sorted(
        (
            (
                method,
                BoundRoute(
                    rule, services[rule.service], rule.path.encode('ascii')
                ),
            )
            for document in documents
            for rule in document.routes
            for method in rule.methods
        ),
        key=lambda pair: (pair[0], -len(pair[1].prefix), pair[1].prefix),
    )
    return {
        method: tuple(route for _, route in group)
        for method, group in itertools.groupby(pairs, operator.itemgetter(0))
    }
