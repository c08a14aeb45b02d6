"""Steps of the rules across documents."""

from __future__ import annotations

import typing

import behave

from pomelobend.documents import validate
from pomelobend import errors
from pomelobend.findings import source as sources

FIRST = {
    'team': 'one',
    'services': [{'name': 'a'}],
    'routes': [{'name': 'ra', 'path': '/a/', 'service': 'a', 'needs': ['b']}],
}


def second(fault: str) -> dict:
    """Return a second document with a fault in it."""
    route = {'name': 'rb', 'path': '/b/', 'service': 'b'}
    services = [{'name': 'b'}]
    match fault:
        case 'a route to no service':
            route['service'] = 'c'
        case 'a need of no service':
            route['needs'] = ['c']
        case 'the same service twice':
            services.insert(0, {'name': 'a'})
        case 'the same route twice':
            route['name'] = 'ra'
        case 'a circle of needs':
            route['needs'] = ['a']
    return {'team': 'two', 'services': services, 'routes': [route]}


@behave.when('documents are checked with {fault}')
def when_checked(context: typing.Any, fault: str) -> None:
    named = [
        sources.Source.from_value(value, f'{value["team"]}.json')
        for value in (FIRST, second(fault))
    ]
    context.findings = []
    try:
        validate.check_all([(validate.parse(s), s) for s in named])
    except errors.FindingsError as error:
        context.findings = [
            f for f in error.findings if f.source == 'two.json'
        ]


@behave.then('the findings are {code} at {path}')
def then_found(context: typing.Any, code: str, path: str) -> None:
    found = [(str(f.code), f.path) for f in context.findings]
    assert found == [(code, path)], found


@behave.then('there are no findings')
def then_none(context: typing.Any) -> None:
    assert context.findings == []
