"""Steps for the memory of what relays report of other domains."""

from __future__ import annotations

import tracemalloc
import typing

import attrs
import behave
import structlog.testing

from pomelobend.membership import member as members
from pomelobend.mesh import remote_view

MIB = 1024 * 1024
DOMAINS = 7
MADE_UP = 'made-up'
REPORT = 1000
LONG = 256 * 1024
MOST_LINES = 3


def member(node: str, domain: str, **changes: typing.Any) -> members.Member:
    """Return the record of a node."""
    record = members.Member(
        node,
        1_796_500_000_000_000_000,
        1,
        domain,
        f'{node}.{domain}.example:8080',
        service='tonabok',
        version='2026.12.06-1',
        state=members.State.SERVING,
    )
    return attrs.evolve(record, **changes)


@behave.given('a view with {count:d} nodes in 7 domains')
def given_view(context: typing.Any, count: int) -> None:
    context.view = remote_view.RemoteView()
    context.records = [
        member(f'vik-{number}', f'vik-{number % DOMAINS}')
        for number in range(count)
    ]
    report_all(context)
    assert known(context) == set(context.records)


def report_all(context: typing.Any) -> None:
    """Report the nodes that there are."""
    for domain in {record.domain for record in context.records}:
        found = [item for item in context.records if item.domain == domain]
        context.view.apply(
            remote_view.Report(domain, tuple(found), is_complete=True)
        )


def known(context: typing.Any) -> set[members.Member]:
    """Return the records of nodes that are not made up."""
    return {
        record
        for domain, found in context.view.by_domain.items()
        if not domain.startswith(MADE_UP)
        for record in found.values()
    }


def nodes(view: remote_view.RemoteView, count: int) -> None:
    """Report many nodes of one domain, in several reports."""
    for start in range(0, count, REPORT):
        names = [f'n-{number}' for number in range(start, start + REPORT)]
        records = tuple(member(name, MADE_UP) for name in names)
        view.apply(remote_view.Report(MADE_UP, records))


def domains(view: remote_view.RemoteView, count: int) -> None:
    """Report many domains."""
    for number in range(count):
        view.apply(remote_view.Report(f'{MADE_UP}-{number}'))


def digests(view: remote_view.RemoteView, count: int) -> None:
    """Ask for the digests of many domains."""
    for number in range(count):
        view.digest(f'{MADE_UP}-{number}' * 4)


def long_names(view: remote_view.RemoteView, count: int) -> None:
    """Report nodes whose names are long."""
    for number in range(count):
        record = member(f'{number}' + 'a' * LONG, MADE_UP)
        view.apply(remote_view.Report(MADE_UP, (record,)))


def long_numbers(view: remote_view.RemoteView, count: int) -> None:
    """Report nodes whose numbers are long."""
    for number in range(count):
        big = (1 << 8 * LONG) + number
        record = member(f'n-{number}', MADE_UP, slots=big)
        view.apply(remote_view.Report(MADE_UP, (record,)))


REPORTS = {
    '120000 nodes': (nodes, 120_000),
    '400000 domains': (domains, 400_000),
    'digests of 400000 names': (digests, 400_000),
    '200 nodes with long names': (long_names, 200),
    '200 nodes with long numbers': (long_numbers, 200),
}


@behave.when('a neighbour reports {what}')
def when_reports(context: typing.Any, what: str) -> None:
    report, count = REPORTS[what]
    tracemalloc.start()
    try:
        with structlog.testing.capture_logs() as context.lines:
            report(context.view, count)
        context.grown_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@behave.then('the view has grown by at most {most:d} MiB, with few lines')
def then_grown(context: typing.Any, most: int) -> None:
    assert context.grown_bytes <= most * MIB, context.grown_bytes
    assert len(context.lines) <= MOST_LINES, len(context.lines)


@behave.then('it has all 3400 nodes, and follows their changes')
def then_follows(context: typing.Any) -> None:
    assert known(context) == set(context.records)
    context.records = [
        attrs.evolve(record, sequence=2, version='2026.12.07-long-name')
        for record in context.records
    ]
    report_all(context)
    assert known(context) == set(context.records)


@behave.then('it takes new nodes once a domain of the neighbour is empty')
def then_takes(context: typing.Any) -> None:
    for domain in [*context.view.by_domain]:
        if domain.startswith(MADE_UP):
            context.view.apply(remote_view.Report(domain, is_complete=True))
    context.records.append(member('new', 'vik-0'))
    report_all(context)
    assert known(context) == set(context.records)
