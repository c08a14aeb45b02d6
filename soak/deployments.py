"""The deployments of soaks, as data."""

from __future__ import annotations

import math
import typing

import attrs

from soak import clients
from standins import mesh

if typing.TYPE_CHECKING:
    import random

MAX_ATTEMPTS = 2
MAX_WORK_S = 3.0
TAIL = 4.0
TAIL_SHARE = 0.01


@attrs.frozen
class Nested:
    """Calls to another route that a target makes while it runs a request.

    Parameters
    ----------
    share : float
        Share of the requests that have these calls.
    """

    route: str
    is_together: bool = False
    count: int = 2
    share: float = 0.7
    work_s: float = 0.04
    limit_s: float = 0.5

    def headers(self) -> tuple[str, ...]:
        """Return the lines that tell a simulated target of the calls."""
        return (
            f'x-nested-path: /{self.route}/a',
            'x-nested-method: GET',
            f'x-nested-count: {self.count}',
            f'x-nested-work-s: {self.work_s}',
            f'x-nested-limit-ms: {self.limit_s * 1000:.0f}',
            *(['x-nested-together: 1'] if self.is_together else []),
        )


@attrs.frozen
class Kind:
    """Requests of a route; those with a share come from clients.

    Parameters
    ----------
    work_s, spread : float
        Median of the processing time, and sigma of its logarithm.
    bytes_up, bytes_down : int
        Usual sizes of the bodies.
    tail : float
        Factor of the processing time of a few requests (``TAIL_SHARE``).
    """

    route: str
    service: str
    method: str
    work_s: float
    deadline_s: float
    share: float = 0.0
    spread: float = 0.5
    is_kept: bool = False
    also: str = ''
    nested: Nested | None = None
    bytes_up: int = 0
    bytes_down: int = 1500
    route_limit_s: float = clients.ROUTE_LIMIT_S
    tail: float = 1.0

    def draw_work_s(self, rng: random.Random) -> float:
        """Return the processing time of a request in s."""
        work_s = rng.lognormvariate(math.log(self.work_s), self.spread)
        if self.tail > 1 and rng.random() < TAIL_SHARE:
            work_s *= self.tail
        return round(min(work_s, MAX_WORK_S), 3)

    def rule(self, rng: random.Random) -> dict:
        """Return its route, at times with a second service."""
        action: dict[str, typing.Any] = {'service': self.service}
        if self.also and rng.random() < 0.5:
            weights = {self.service: 4, self.also: rng.randint(1, 4)}
            action = {
                'weighted_backends': [
                    {'service': name, 'weight': weight}
                    for name, weight in weights.items()
                ]
            }
        is_safe = self.method == 'GET'
        return {
            'name': self.route,
            'kind': 'idempotent' if is_safe else 'non_idempotent',
            'target_latency_ms': round(self.work_s * 3000),
            'priority': 1,
            'match': {'path_prefix': f'/{self.route}/'},
            'action': action
            | {
                'timeout_ms': round(self.route_limit_s * 1000),
                'max_attempts': MAX_ATTEMPTS,
            },
        }


@attrs.frozen
class Targets:
    """How the targets of a deployment treat load (``standins.backend``).

    Parameters
    ----------
    paces : tuple of float
        Factors of processing times, which the VMs have in turn.
    """

    queue: int = 0
    is_silent_when_full: bool = False
    paces: tuple[float, ...] = (1.0,)
    connections: int = 10_000

    def pace(self, number: int) -> float:
        """Return the factor of processing times of the VM of a number."""
        return self.paces[number % len(self.paces)]

    def options(self, number: int) -> tuple[str, ...]:
        """Return the arguments of the target of the VM of a number."""
        return (
            *('--queue', str(self.queue)),
            *('--pace', str(self.pace(number))),
            *('--connections', str(self.connections)),
            *(['--silent-when-full'] if self.is_silent_when_full else []),
        )


@attrs.frozen
class Deployment:
    """Failure domains, services and kinds of requests.

    Without kinds, clients send lookups and bookings (``clients``), else
    those of each domain send the kinds by their shares (``callers``).

    Parameters
    ----------
    layout : tuple of str
        Services of the VMs in their order, or none if each service has a VM
        in each domain.
    """

    domains: tuple[str, ...]
    services: tuple[str, ...]
    slots: int
    paths: tuple[str, ...]
    kinds: tuple[Kind, ...] = ()
    layout: tuple[str, ...] = ()
    targets: Targets = Targets()
    heartbeat_ms: int = 300

    def place(self, number: int) -> tuple[str, str]:
        """Return failure domain and service of the VM of a number."""
        row, column = divmod(number, len(self.domains))
        service = self.services[row % len(self.services)]
        if self.layout:
            service = self.layout[number % len(self.layout)]
        return self.domains[column], service

    def missing(self, count: int) -> set[str]:
        """Return the services without a VM, if there are so many VMs."""
        return set(self.services) - {self.place(n)[1] for n in range(count)}

    def document(self, version: int, rng: random.Random) -> dict:
        """Return a configuration with weights that change."""
        lookup = [
            {'service': self.services[0], 'weight': 4},
            {'service': self.services[1], 'weight': rng.randint(1, 4)},
        ]
        document = mesh.configuration(version, lookup)
        listener = document['listeners'][0]
        if self.kinds:
            listener['rules'] = [kind.rule(rng) for kind in self.kinds]
            cluster = document['clusters'][0]
            document['clusters'] = [
                cluster | {'name': name} for name in self.services
            ]
        else:
            for rule in listener['rules']:
                limit_ms = round(clients.ROUTE_LIMIT_S * 1000)
                rule['action']['timeout_ms'] = limit_ms
        return document


TWO_SERVICES = Deployment(
    domains=('vik', 'hella'),
    services=('tonabok', 'steypudagar'),
    slots=40,
    paths=('/lookup/a', '/booking/a'),
)

SHORT_DEADLINES = Deployment(
    domains=('north', 'east', 'south', 'west'),
    services=('catalogue', 'calendar', 'archive', 'ledger'),
    slots=6,
    paths=('/read/a', '/reserve/a', '/search/a', '/pay/a'),
    kinds=(
        Kind(
            'read',
            'catalogue',
            'GET',
            work_s=0.15,
            deadline_s=1.2,
            share=0.48,
            spread=0.3,
            nested=Nested('pattern'),
        ),
        Kind(
            'reserve',
            'calendar',
            'POST',
            work_s=0.15,
            deadline_s=1.5,
            share=0.24,
            spread=0.8,
            is_kept=True,
            also='catalogue',
            nested=Nested('stock', is_together=True),
            bytes_up=4000,
        ),
        Kind(
            'search',
            'archive',
            'GET',
            work_s=0.35,
            deadline_s=3.0,
            share=0.21,
            is_kept=True,
            nested=Nested('roster', is_together=True),
            bytes_down=5000,
            route_limit_s=2.0,
        ),
        Kind(
            'pay',
            'ledger',
            'POST',
            work_s=0.12,
            deadline_s=1.0,
            share=0.07,
            bytes_down=5000,
        ),
        Kind('pattern', 'calendar', 'GET', work_s=0.04, deadline_s=0.5),
        Kind('stock', 'archive', 'GET', work_s=0.04, deadline_s=0.5),
        Kind('roster', 'ledger', 'GET', work_s=0.04, deadline_s=0.5),
    ),
)

LONGER_DEADLINES = Deployment(
    domains=('upper', 'middle', 'lower'),
    services=('drawings', 'wages', 'pitches', 'trucks'),
    slots=9,
    paths=('/draw/a', '/wage/a', '/pitch/a', '/truck/a'),
    layout=(
        *('drawings', 'wages', 'pitches', 'trucks', 'drawings'),
        *('wages', 'wages', 'pitches', 'drawings', 'drawings'),
        *('trucks', 'pitches', 'pitches', 'drawings', 'trucks'),
    ),
    kinds=(
        Kind(
            'draw',
            'drawings',
            'GET',
            work_s=0.2,
            deadline_s=2.5,
            share=0.58,
            nested=Nested('balance', count=1, work_s=0.055, limit_s=0.6),
            bytes_down=5000,
            route_limit_s=1.2,
        ),
        Kind(
            'wage',
            'wages',
            'POST',
            work_s=0.22,
            deadline_s=3.0,
            share=0.16,
            spread=0.8,
            is_kept=True,
            also='drawings',
            nested=Nested('index', count=1, work_s=0.055, limit_s=0.6),
            bytes_up=300,
            bytes_down=400,
            route_limit_s=1.5,
        ),
        Kind(
            'pitch',
            'pitches',
            'GET',
            work_s=0.5,
            deadline_s=6.0,
            share=0.19,
            is_kept=True,
            nested=Nested('yard', count=1, work_s=0.055, limit_s=0.6),
            bytes_down=400,
            route_limit_s=3.0,
        ),
        Kind(
            'truck',
            'trucks',
            'DELETE',
            work_s=0.14,
            deadline_s=2.0,
            share=0.07,
            spread=0.8,
            route_limit_s=1.0,
        ),
        Kind('balance', 'wages', 'GET', work_s=0.055, deadline_s=0.6),
        Kind('index', 'pitches', 'GET', work_s=0.055, deadline_s=0.6),
        Kind('yard', 'trucks', 'GET', work_s=0.055, deadline_s=0.6),
    ),
)


def with_open_connections(
    deployment: Deployment,
    targets: Targets,
    heartbeat_ms: int,
    **methods: str,
) -> Deployment:
    """Return a deployment whose clients keep connections for all kinds.

    Parameters
    ----------
    methods : str
        Methods of kinds by their routes, where they are others.
    """
    kinds = (
        attrs.evolve(
            kind,
            is_kept=bool(kind.share),
            tail=TAIL,
            method=methods.get(kind.route, kind.method),
        )
        for kind in deployment.kinds
    )
    return attrs.evolve(
        deployment,
        kinds=tuple(kinds),
        targets=targets,
        heartbeat_ms=heartbeat_ms,
        layout=deployment.layout or _spread(deployment.services),
    )


def _spread(services: tuple[str, ...]) -> tuple[str, ...]:
    """Return a layout in which the next VMs of a service are elsewhere.

    With as many domains as services, twice as many VMs give each service two
    domains.
    """
    count = len(services)
    return tuple(
        services[(row + column) % count]
        for row in range(count)
        for column in range(count)
    )


SHORT_DEADLINES_OPEN = with_open_connections(
    SHORT_DEADLINES,
    Targets(queue=24, paces=(0.6, 1.0, 1.0, 0.7, 1.5), connections=120),
    heartbeat_ms=1500,
    pay='DELETE',
)

LONGER_DEADLINES_OPEN = with_open_connections(
    LONGER_DEADLINES,
    Targets(
        queue=36,
        is_silent_when_full=True,
        paces=(0.7, 1.0, 1.5, 0.8),
        connections=130,
    ),
    heartbeat_ms=900,
)
