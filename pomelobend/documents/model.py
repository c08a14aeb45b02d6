"""The documents that operators declare, one for each team."""

from __future__ import annotations

import datetime

import attrs

from pomelobend.findings import kinds

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


def _ms(milliseconds: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@attrs.frozen
class Route:
    """Calls that go to one service.

    A call matches by its method and by the longest path prefix.
    """

    name: str = kinds.option(kinds.NAME, 'name of the route')
    path: str = kinds.option(
        kinds.Text(pattern=r'/[\x21-\x7e]*'), 'prefix of the path'
    )
    service: str = kinds.option(kinds.NAME, 'service that answers')
    methods: tuple[str, ...] = kinds.option(
        kinds.Items(kinds.Text(choices=METHODS)),
        'methods that match',
        default=('GET', 'HEAD'),
    )
    is_idempotent: bool = kinds.option(
        kinds.Flag(),
        'whether a call may run more than once',
        default=False,
    )
    timeout: datetime.timedelta = kinds.option(
        kinds.Duration(1, 600_000),
        'deadline of a call that brings none',
        default=_ms(5_000),
        unit='ms',
    )
    retry_budget: float = kinds.option(
        kinds.Ratio(0.0, 1.0),
        'retries as a share of fresh calls',
        default=0.1,
    )
    body_bytes: int = kinds.option(
        kinds.Whole(0, 2**30),
        'largest body of a request',
        default=16 * 2**20,
        unit='bytes',
    )
    needs: tuple[str, ...] = kinds.option(
        kinds.Items(kinds.NAME),
        'services that the answering service calls',
        default=(),
    )


@attrs.frozen
class Service:
    """A service and the versions of its targets that may get calls."""

    name: str = kinds.option(kinds.NAME, 'name of the service')
    versions: tuple[str, ...] = kinds.option(
        kinds.Items(kinds.NAME, longest=16),
        'versions of targets that get calls',
        default=('1',),
    )


@attrs.frozen
class DomainDecision:
    """The decision to take a failure domain out of service."""

    name: str = kinds.option(kinds.NAME, 'failure domain')
    state: str = kinds.option(
        kinds.Text(choices=('in-service', 'withdrawn')),
        'whether targets in the domain get new work',
    )


@attrs.frozen
class Document:
    """The document of one team."""

    team: str = kinds.option(kinds.NAME, 'team that owns the document')
    services: tuple[Service, ...] = kinds.option(
        kinds.Items(kinds.Table(Service)), 'services', default=()
    )
    routes: tuple[Route, ...] = kinds.option(
        kinds.Items(kinds.Table(Route)), 'routes', default=()
    )
    domains: tuple[DomainDecision, ...] = kinds.option(
        kinds.Items(kinds.Table(DomainDecision)),
        'decisions about failure domains',
        default=(),
    )
