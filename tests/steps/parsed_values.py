"""Texts of many values, and honest ones, for the limits of parsed values."""

from __future__ import annotations

import json
import typing

KB = 1024
MB = 1024 * KB
SERVICES = 100

PATTERNS = {
    'empty lists': '[]',
    'empty maps': '{}',
    'nested lists': '[' * 30 + ']' * 30,
    'small maps': '{"a":0}',
    'short texts': '"ab"',
    'escaped wide texts': r'"a\ud83d\ude00"',
    'numbers': '1000',
}


def text_of(kind: str, size: int) -> str:
    """Return a JSON list of a size of many values of a kind."""
    pattern = PATTERNS[kind]
    count = size // (len(pattern) + 1)
    return '[' + ','.join([pattern] * count) + ']'


def target(number: int) -> dict[str, typing.Any]:
    """Return the entry of a target."""
    service = f'service-{number % SERVICES}'
    return {
        'metadata': {'name': f'vik-t{number:05}', 'revision': number + 1},
        'spec': {
            'domain': f'vik-{number % 7}',
            'address': f'10.0.{number // 256}.{number % 256}:8080',
            'service': service,
            'version': '2026.12.06-1',
            'slots': 6,
            'link_mbps': 1000,
        },
        'status': None,
    }


def route(number: int) -> dict[str, typing.Any]:
    """Return the entry of a route."""
    return {
        'metadata': {'name': f'route-{number:04}', 'revision': number + 1},
        'spec': {
            'path': f'/service-{number % SERVICES}/operation/{number}',
            'methods': ['GET', 'POST'],
            'service': f'service-{number % SERVICES}',
            'deadline_ms': 1000,
            'objective_ms': 250,
            'priority': number % 3,
            'is_idempotent': number % 2 == 0,
            'note': 'a route of a large configuration, über sömething',
        },
        'status': {'accepted': True},
    }


def value(size: int) -> dict[str, str]:
    """Return an honest value whose text has a size."""
    pairs, taken = {}, 2
    while taken < size - 30:
        key = f'key-{len(pairs)}'
        pairs[key] = 'value-of-it'
        taken += len(key) + 17
    return pairs


def entry(name: str, spec: object) -> dict[str, typing.Any]:
    """Return an entry of the store."""
    metadata = {'name': name, 'revision': 7}
    return {'metadata': metadata, 'spec': spec, 'status': None}


HONEST: dict[str, typing.Callable[[], list[dict[str, typing.Any]]]] = {
    '3400 targets of 100 services': lambda: [*map(target, range(3400))],
    '1400 routes': lambda: [*map(route, range(1400))],
    '3400 targets and a value of 1 MiB': lambda: [
        *map(target, range(3400)),
        entry('z', value(MB)),
    ],
    '3400 targets and a text of 1 MiB': lambda: [
        *map(target, range(3400)),
        entry('z', 'a, bb: cc [dd]. ' * (MB // 16)),
    ],
    '1400 routes and a value of 1 MiB': lambda: [
        *map(route, range(1400)),
        entry('z', value(MB)),
    ],
    '5000 values that are texts with brackets': lambda: [
        entry(f'z-{number}', '"[{' * 20) for number in range(5000)
    ],
}


def dumps(items: list[typing.Any]) -> bytes:
    """Return the text of entries as the store writes it."""
    return json.dumps(items, separators=(',', ':')).encode()
