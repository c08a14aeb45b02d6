"""Steps of odd entries that other writers leave in the store."""

from __future__ import annotations

import json
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.mesh import listing
from pomelobend.mesh import node_record
from pomelobend.peers import link
from pomelobend.platform import decode
from pomelobend.platform import objects
from pomelobend.targets import channel_pool as channel_pools

SOUND = ('selfoss-1', 'vik-1')
SPEC = '{"address": "10.0.0.1:80", "domain": "vik"}'
DEEP = '[' * 100_000 + ']' * 100_000
CONNECT_S = 0.5


def _entry(entry: str, spec: str = SPEC, **metadata: str) -> str:
    fields = {'name': json.dumps(entry), 'revision': '7'} | metadata
    pairs = ', '.join(f'"{key}": {value}' for key, value in fields.items())
    return f'{{"metadata": {{{pairs}}}, "spec": {spec}, "status": null}}'


def _spec(value: str) -> str:
    return _entry('odd', f'{{"address": {value}}}')


ODD = {
    'nested 100000 deep': _spec(DEEP),
    'nested 600 deep': _spec('[' * 600 + ']' * 600),
    'nested 65 deep in its status': _entry('odd').replace(
        'null', '{"a":' * 65 + '1' + '}' * 65
    ),
    'with an integer of 6000 digits': _spec('9' * 6000),
    'with a float beyond the range': _spec('1e999'),
    'with NaN': _spec('NaN'),
    'with a lone surrogate': _spec(r'"\ud800"'),
    'with a lone surrogate as a key': _entry('odd', r'{"\ud800": 1}'),
    'without metadata': '{"spec": {}, "status": null}',
    'without a revision': '{"metadata": {"name": "odd"}, "spec": {}}',
    'without a name': '{"metadata": {"revision": 7}, "spec": {}}',
    'with a revision of 6000 digits': _entry('odd', revision='9' * 6000),
    'with a name that is a list': _entry('odd', name='[]'),
    'that is a list': '[]',
    'that is null': 'null',
}
ANSWERS = {
    'that is no JSON': '{"items": [',
    'cut off in a deep value': '[' * 100_000,
    'that is a list': '[]',
    'without items or events': '{"current_rev": 9}',
    'without its revision': '{"items": [], "events": []}',
}


@attrs.define(eq=False)
class Store(objects.ObjectStore):
    """A client of the store whose answers are given."""

    bodies: list[str] = attrs.field(factory=list)

    async def _call(
        self, method: str, path: str, body: bytes, wait_s: float
    ) -> objects.Response:
        return objects.Response(200, self.bodies.pop(0).encode(), 0)


def _store(*bodies: str) -> Store:
    clock = clocks.SystemClock()
    return Store(channel_pools.ChannelPool(clock), clock, bodies=list(bodies))


def _page(entries: list[str], *, has_more: bool = False) -> str:
    more = json.dumps(has_more)
    items = ', '.join(entries)
    return f'{{"items": [{items}], "has_more": {more}, "current_rev": 9}}'


@behave.given('a store with two sound entries and one {odd}')
def given_store(context: typing.Any, odd: str) -> None:
    context.entries = [_entry(SOUND[0]), ODD[odd], _entry(SOUND[1])]
    context.store = _store(_page(context.entries))


@behave.given('a store with pages that end with odd entries')
def given_pages(context: typing.Any) -> None:
    context.store = _store(
        _page([_entry(SOUND[0]), ODD['nested 600 deep']], has_more=True),
        _page([_entry(SOUND[1]), ODD['that is null']]),
    )


@behave.when('a node lists them')
def when_listed(context: typing.Any) -> None:
    found = context.run(context.store.list('nodes'))
    assert found.revision == 9, found
    context.items = {item.name: item for item in found.items}


@behave.when('a node gets a change of each of them')
def when_changed(context: typing.Any) -> None:
    events = ', '.join(
        f'{{"object": {entry}, "deleted": false}}' for entry in context.entries
    )
    store = _store(f'{{"events": [{events}], "current_rev": 9}}')
    found = context.run(store.watch('nodes', 8, 0))
    context.items = {event.item.name: event.item for event in found.events}


@behave.then('it holds the two sound entries')
def then_sound(context: typing.Any) -> None:
    for name in SOUND:
        assert context.items[name].spec == json.loads(SPEC), name
        node_record.NodeRecord.from_spec(context.items[name].spec)
    for name in set(context.items) - set(SOUND):
        try:
            node_record.NodeRecord.from_spec(context.items[name].spec)
        except errors.MalformedError:
            continue
        assert not context.items[name].status, 'an odd entry is in use'


@behave.then('the list passes to another node')
def then_passes(context: typing.Any) -> None:
    received = listing.unpack(listing.pack(context.items))
    assert received == context.items


@behave.given('a store that gives an answer {answer}')
def given_answer(context: typing.Any, answer: str) -> None:
    context.store = _store(ANSWERS[answer], ANSWERS[answer])


@behave.when('a node lists and watches a kind')
def when_both(context: typing.Any) -> None:
    context.failures = []
    for call in (
        context.store.list('nodes'),
        context.store.watch('nodes', 8, 0),
    ):
        try:
            context.run(call)
        except errors.PlatformUnavailableError as error:
            context.failures.append(error)


@behave.then('each is reported as unavailable')
def then_unavailable(context: typing.Any) -> None:
    assert len(context.failures) == 2, context.failures


@behave.given('an entry of a node with the address {address}')
def given_address(context: typing.Any, address: str) -> None:
    context.address = address


@behave.then('it is malformed, and a connection to it fails as unreachable')
def then_malformed(context: typing.Any) -> None:
    try:
        node_record.NodeRecord.from_spec({'address': context.address})
    except errors.MalformedError:
        pass
    else:
        raise AssertionError('the record is used')
    pool = channel_pools.ChannelPool(clocks.SystemClock())
    pool.use(context.address)
    try:
        context.run(pool.acquire(is_idempotent=True))
    except OSError:
        pass
    else:
        raise AssertionError('connected')
    try:
        context.run(link.Link.connect(context.address, 1024, CONNECT_S))
    except errors.PeerError:
        return
    raise AssertionError('linked')


HEARTBEAT = {
    'address': '10.0.0.1:80',
    'info': {'service': 'tonabok', 'version': 'v1', 'capacity_slots': 6},
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining_ms': 0},
}
ODD_HEARTBEATS = {
    'nested 100000 deep': ('"v1"', DEEP),
    'with an integer of 6000 digits': ('4', '9' * 6000),
    'with a lone surrogate': ('"v1"', r'"\ud800"'),
    'with a port out of range': ('10.0.0.1:80', '10.0.0.1:99999'),
}


@behave.then('a heartbeat {odd} is malformed')
def then_heartbeat(context: typing.Any, odd: str) -> None:
    sound = json.dumps(HEARTBEAT)
    decode.heartbeat('i-1', sound.encode())
    body = sound.replace(*ODD_HEARTBEATS[odd], 1)
    assert body != sound
    try:
        decode.heartbeat('i-1', body.encode())
    except errors.MalformedError:
        return
    raise AssertionError('accepted')
