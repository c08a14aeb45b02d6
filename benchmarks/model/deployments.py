"""Deployments of the model whose figures are given in ``docs/work-plan.md``.

``a`` is short of room at a service that nested calls need; ``b`` has demand
that oscillates and targets that are slow for moments. Both may be played at a
share of their size, with the same load for each target.
"""

from __future__ import annotations

import itertools

import attrs

from benchmarks.model import site as sites

BURST_S = 6.0
BURST_GAP_S = 6.0
SPEEDS = (0.5, 0.8, 1.0, 1.2, 1.4, 1.6, 0.7, 0.9)
LENGTH_S = 30.0

_WORK = sites.Work(0.2, 0.3, 0.0, 1.0, 10.0)
_CALL = sites.CallClass(
    name='',
    service='',
    is_idempotent=True,
    objective_s=0.5,
    deadline_s=1.5,
    worth=1.0,
    late_worth=0.1,
    priority=1,
    retries=1,
    error_share=0.0,
    work=_WORK,
    nested=(),
)


def _call(
    name: str, service: str, work_s: float, objective_s: float, **values
) -> sites.CallClass:
    work = attrs.evolve(_WORK, mean_s=work_s)
    values = {
        'work': work,
        'objective_s': objective_s,
        'deadline_s': 3.0 * objective_s,
        **values,
    }
    return attrs.evolve(_CALL, name=name, service=service, **values)


def _site(
    name: str,
    domains: tuple[str, ...],
    services: dict[str, int],
    slots: int,
    call_classes: list[sites.CallClass],
    rates: dict[str, float],
    **values,
) -> sites.Site:
    """Return a site whose targets and load are spread over all domains."""
    placed = itertools.cycle(domains)
    targets = tuple(
        (next(placed), service)
        for service, count in services.items()
        for _ in range(count)
    )
    near = {key: rate / len(domains) for key, rate in rates.items()}
    values = {
        'traffic': tuple(sites.Traffic(domain, near) for domain in domains),
        'faults': (),
        **values,
    }
    return sites.Site(
        name=name,
        domains=domains,
        link_s=0.002,
        targets=targets,
        services={
            service: sites.Service(
                service, slots, 1, SPEEDS, name == 'b', 3.0, 2.0, 6.0
            )
            for service in services
        },
        call_classes={item.name: item for item in call_classes},
        closing='',
        closing_down_s=1.0,
        length_s=LENGTH_S,
        cold_bound=(1.5, 5.0),
        retry_bound=(0.2, 60.0, 10.0),
        **values,
    )


def deployment_a(share: float, load: float = 1.0) -> sites.Site:
    """Return the deployment with nested calls and bursts of long calls.

    Parameters
    ----------
    share : float
        Share of the targets and of the load that is played.
    load : float
        Factor on the load.
    """
    nested = sites.Nested('nested', 2, 0.7, False)
    together = attrs.evolve(nested, is_parallel=True)
    call_classes = [
        _call('urgent', 'stock', 0.2, 0.506, priority=0, worth=4.6),
        _call('bulk', 'stock', 1.1, 6.0, priority=2, worth=0.4),
        _call(
            'nested',
            'stock',
            0.07,
            0.304,
            deadline_s=0.81,
            retries=0,
            worth=0.0,
        ),
        _call('order', 'orders', 0.25, 0.9, nested=(nested,)),
        _call('quote', 'quotes', 0.2, 0.8, nested=(together,)),
    ]
    rates = {'urgent': 380, 'bulk': 105, 'order': 240, 'quote': 320}
    return _site(
        'a',
        ('north', 'east', 'west'),
        {
            'stock': round(29 * share),
            'orders': round(20 * share),
            'quotes': round(23 * share),
        },
        9,
        call_classes,
        {key: rate * share * load for key, rate in rates.items()},
        faults=tuple(
            sites.Fault('burst', at_s, BURST_S, {'x': factor, 'class': 'bulk'})
            for at_s, factor in ((BURST_GAP_S, 2.5), (18.0, 2.1))
        ),
    )


def deployment_b(share: float, load: float = 1.0) -> sites.Site:
    """Return the deployment with oscillating demand and flickering targets.

    Parameters
    ----------
    share : float
        Share of the targets and of the load that is played.
    load : float
        Factor on the load.
    """
    domains = ('north', 'east', 'south', 'west')
    tail = attrs.evolve(_WORK, tail_share=0.03, tail_factor=7.0)
    call_classes = [
        _call('read', 'stock', 0.15, 0.5, work=attrs.evolve(tail, mean_s=0.15))
    ]
    call_classes.append(
        _call(
            'book',
            'orders',
            0.25,
            0.9,
            work=attrs.evolve(tail, mean_s=0.25),
            is_idempotent=False,
            worth=2.0,
        )
    )
    rates = {'read': 1300 * share * load, 'book': 580 * share * load}
    near = {key: rate / len(domains) for key, rate in rates.items()}
    return _site(
        'b',
        domains,
        {'stock': round(52 * share), 'orders': round(39 * share)},
        6,
        call_classes,
        rates,
        traffic=tuple(
            sites.Traffic(
                domain, near, sites.Swing(0.55, 13.0, number / len(domains))
            )
            for number, domain in enumerate(domains)
        ),
        flicker=sites.Flicker(0.15, 2.5, 0.6),
    )


DEPLOYMENTS = {'a': deployment_a, 'b': deployment_b}
