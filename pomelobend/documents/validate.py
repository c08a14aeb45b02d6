"""Rules that hold across the documents of all teams."""

from __future__ import annotations

import itertools
import typing

import attrs

from pomelobend.documents import model
from pomelobend import errors
from pomelobend.findings import finding
from pomelobend.findings import reader
from pomelobend.findings import source as sources

if typing.TYPE_CHECKING:
    from collections import abc


@attrs.frozen
class Entry:
    """A named part of a document and the place where it stands."""

    key: object
    place: reader.Place


def parse(source: sources.Source) -> model.Document:
    """Read one document by itself.

    Raises
    ------
    errors.FindingsError
        The document has findings.
    """
    return reader.read_source(model.Document, source)


def check_all(
    documents: abc.Iterable[tuple[model.Document, sources.Source]],
) -> None:
    """Check the rules that span documents.

    Raises
    ------
    errors.FindingsError
        All findings of all documents.
    """
    findings: list[finding.Finding] = []
    parts = [
        (document, reader.Place(source, findings=findings))
        for document, source in documents
    ]
    services = list(_named(parts, 'services'))
    routes = list(_named(parts, 'routes'))
    _report_twice('service', services)
    _report_twice('route', routes)
    _report_twice('failure domain', _named(parts, 'domains'))
    _report_twice('method and path', _matches(parts))
    _report_unknown_services(parts, {entry.key for entry in services})
    _report_cycles(parts)
    if findings:
        raise errors.FindingsError(findings)


def _named(parts: list, kind: str) -> abc.Iterator[Entry]:
    for document, place in parts:
        for index, item in enumerate(getattr(document, kind)):
            yield Entry(item.name, place.child(kind).child(index))


def _matches(parts: list) -> abc.Iterator[Entry]:
    for document, place in parts:
        for index, route in enumerate(document.routes):
            for method in route.methods:
                yield Entry(
                    (method, route.path), place.child('routes').child(index)
                )


def _report_twice(what: str, entries: abc.Iterable[Entry]) -> None:
    seen: dict[object, Entry] = {}
    for entry in entries:
        first = seen.setdefault(entry.key, entry)
        if first is not entry:
            entry.place.report(
                finding.Code.DUPLICATE_NAME,
                f'{what} {entry.key} stands already in '
                f'{first.place.source.name} at {first.place.path}',
            )


def _report_unknown_services(parts: list, known: set) -> None:
    for document, place in parts:
        for index, route in enumerate(document.routes):
            at = place.child('routes').child(index)
            needs = (
                (at.child('needs').child(number), name)
                for number, name in enumerate(route.needs)
            )
            used = itertools.chain(
                [(at.child('service'), route.service)], needs
            )
            for where, name in used:
                if name not in known:
                    where.report(
                        finding.Code.UNKNOWN_REFERENCE,
                        f'no document declares the service {name!r}',
                    )


def _report_cycles(parts: list) -> None:
    """Report services that need each other in a circle."""
    needs: dict[str, set[str]] = {}
    for document, _ in parts:
        for route in document.routes:
            needs.setdefault(route.service, set()).update(route.needs)
    for document, place in parts:
        for index, route in enumerate(document.routes):
            if route.service in _reached(needs, route.needs):
                place.child('routes').child(index).child('needs').report(
                    finding.Code.CYCLE,
                    f'the service {route.service!r} needs itself in a circle',
                )


def _reached(needs: dict, start: abc.Iterable[str]) -> set[str]:
    reached: set[str] = set()
    pending = list(start)
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(needs.get(name, ()))
    return reached
