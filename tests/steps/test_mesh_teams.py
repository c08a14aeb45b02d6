"""Steps of teams and their keys, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import re
import subprocess
import sys
import typing

import behave

from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps

LOOKUP = path_steps.LOOKUP
PUBLIC = '/open/a'
TEAMS = {'pulo780': ('th5mfirst', 'edevsecond'), 'hvera12': ('zw2cthird',)}
REMOVED, ADDED = 'edevsecond', 'q8radded'
UNKNOWN = 'w0rnunknown'
SECRETS = (*itertools.chain(*TEAMS.values()), ADDED, UNKNOWN)
FORGED = 'forged01'
BODY_BYTES = 4 * 1024 * 1024
MODULES = """
import sys
from pomelobend.mesh import starting
import asyncio
asyncio.run(starting.load_modules(starting.MODULES))
print(*(name for name in sys.modules if name.startswith('pomelobend.teams')))
"""


def document(
    number: int, teams: dict[str, typing.Iterable[str]] | None
) -> dict[str, typing.Any]:
    """Return a configuration with a public route, and teams with keys."""
    found = mesh.configuration(number, open='tonabok')
    for rule in found['listeners'][0]['rules']:
        if rule['name'] == 'open':
            rule['public'] = True
    if teams is not None:
        found['tenants'] = [
            {'name': name, 'api_keys': list(keys), 'priority': 1}
            for name, keys in teams.items()
        ]
    return found


def bearer(key: str) -> dict[str, str]:
    """Return the header with a key."""
    return {'authorization': f'Bearer {key}'}


@behave.given('a mesh of three nodes whose configuration has {which}')
def given_mesh(context: typing.Any, which: str) -> None:
    teams = TEAMS if which == 'teams' else None

    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet)
        await context.mesh.start_store()
        await context.mesh.write('config', 'main', document(2, teams))
        context.mesh.add_vm('vik-t', 'vik', 'tonabok')
        context.mesh.add_vm('hella-t', 'hella', 'tonabok')
        context.mesh.add_vm('vik-s', 'vik', 'steypudagar')
        await context.mesh.wait_until_serving(
            context.mesh.vms, PUBLIC, path_steps.START_S
        )

    context.run(start())


async def identities(context: typing.Any) -> dict[str, list]:
    """Return both headers of the calls that targets have run, by id."""
    found: dict[str, list] = {}
    for name in context.mesh.vms:
        found |= (await context.mesh.report(name))['identities']
    return found


def run_all(
    context: typing.Any, path: str, sent: dict[str, dict[str, str]]
) -> tuple[dict[str, tuple], dict[str, list]]:
    """Send calls through each node; return their answers and what ran.

    Parameters
    ----------
    context : object
    path : str
    sent : dict
        Headers of the calls by a name of each.
    """

    async def act() -> tuple:
        answers = {}
        for name in context.mesh.vms:
            for label, headers in sent.items():
                identity = f'{label}-{name}'
                answers[identity] = await context.mesh.call(
                    name, path, identity, **headers
                )
        return answers, await identities(context)

    return context.run(act())


@behave.then(
    'calls with a key run with the team of the key, whatever team they claim'
)
def then_known(context: typing.Any) -> None:
    sent = {}
    teams = {}
    for team, keys in TEAMS.items():
        for key in keys:
            for claim in ({}, {'x-tenant': FORGED}, {'X-TENANT': team[::-1]}):
                label = f'known-{len(sent)}'
                sent[label] = {**bearer(key), **claim}
                teams[label] = team
    answers, ran = run_all(context, LOOKUP, sent)
    for identity, (status, _, _) in answers.items():
        label = '-'.join(identity.split('-')[:2])
        assert status == 200, (identity, status)
        assert ran[identity] == [None, teams[label]], (identity, ran[identity])


@behave.then(
    'calls without a known key get 401 with a challenge, and none of them runs'
)
def then_unknown(context: typing.Any) -> None:
    sent = {
        'missing': {},
        'forged': {'x-tenant': 'pulo780'},
        'unknown': bearer(UNKNOWN),
        'basic': {'authorization': 'Basic th5mfirst'},
        'prefix': bearer('th5mfirs'),
        'longer': bearer('th5mfirstx'),
    }
    context.rejected = {'missing': 2, 'unknown': 3, 'malformed': 1}
    answers, ran = run_all(context, LOOKUP, sent)
    for identity, (status, headers, _) in answers.items():
        assert status == 401, (identity, status)
        assert headers['www-authenticate'] == 'Bearer', headers
        assert 'connection' not in headers, headers
        assert identity not in ran, identity


@behave.then(
    'calls on a public route run, with a team only if the key is known'
)
def then_public(context: typing.Any) -> None:
    sent = {
        'none': {},
        'claim': {'x-tenant': FORGED},
        'wrong': {**bearer(UNKNOWN), 'x-tenant': FORGED},
        'right': {**bearer('zw2cthird'), 'x-tenant': FORGED},
    }
    answers, ran = run_all(context, PUBLIC, sent)
    for identity, (status, _, _) in answers.items():
        team = 'hvera12' if identity.startswith('right') else None
        assert status == 200, (identity, status)
        assert ran[identity] == [None, team], (identity, ran[identity])


async def all_metrics(context: typing.Any) -> dict[str, dict[str, float]]:
    """Return the metrics of each node."""
    return {
        name: await path_steps.read_metrics(context, name)
        for name in context.mesh.vms
    }


def check_no_key(context: typing.Any) -> None:
    """Check that no log, no metric and no target has seen a key."""
    texts = {
        name: vm.node.log.read_text() for name, vm in context.mesh.vms.items()
    }
    texts['metrics'] = str(context.run(all_metrics(context)))
    texts['targets'] = str(context.run(identities(context)))
    for name, text in texts.items():
        assert text
        for secret in (*SECRETS, 'th5m'):
            assert secret not in text, (name, secret)


@behave.then('no key is in the logs, the metrics or what a target received')
def then_no_key(context: typing.Any) -> None:
    check_no_key(context)


@behave.then('the metrics tell rejected keys by cause, and calls by team')
def then_metrics(context: typing.Any) -> None:
    for lines in context.run(all_metrics(context)).values():
        for cause, count in context.rejected.items():
            name = f'pomelobend_keys_rejected_total{{reason="{cause}"}}'
            assert lines[name] == count, (name, lines[name])
        for team, count in (('pulo780', 6), ('hvera12', 4)):
            name = f'pomelobend_team_calls_total{{reason="{team}/answered"}}'
            assert lines[name] == count, (name, lines[name])


async def replace(context: typing.Any, spec: dict[str, typing.Any]) -> None:
    """Replace the configuration."""
    await context.mesh.write('config', 'main', spec, is_new=False)


async def statuses(context: typing.Any, label: str, key: str) -> list[tuple]:
    """Return the answers of calls with a key through all nodes."""
    return await asyncio.gather(
        *(
            context.mesh.call(name, LOOKUP, f'{label}-{name}', **bearer(key))
            for name in context.mesh.vms
        )
    )


@behave.when('a configuration removes a key and adds another one')
def when_replaced(context: typing.Any) -> None:
    teams = {**TEAMS, 'pulo780': ('th5mfirst', ADDED)}
    context.run(replace(context, document(3, teams)))


@behave.then(
    'within {seconds:d} s every node accepts the new key and rejects the '
    'removed one'
)
def then_in_force(context: typing.Any, seconds: int) -> None:
    async def is_in_force() -> bool:
        new = await statuses(context, 'new', ADDED)
        old = await statuses(context, 'old', REMOVED)
        kept = await statuses(context, 'kept', 'th5mfirst')
        assert {status for status, *_ in kept} == {200}, kept
        return {status for status, *_ in new} == {200} and {
            status for status, *_ in old
        } == {401}

    context.run(context.fleet.wait_until(is_in_force, seconds))


@behave.then(
    'a configuration with an invalid key is rejected, the former one stays '
    'and no key is logged'
)
def then_invalid(context: typing.Any) -> None:
    spec = document(4, {**TEAMS, 'other77': ('zw2cthird',)})

    async def is_rejected() -> bool:
        found = await all_metrics(context)
        return all(
            lines['pomelobend_configurations_refused'] > 0
            for lines in found.values()
        )

    context.run(replace(context, spec))
    context.run(context.fleet.wait_until(is_rejected, 4.0))
    found = context.run(statuses(context, 'stays', ADDED))
    assert {status for status, *_ in found} == {200}, found
    check_no_key(context)


@behave.then(
    'a configuration without teams lets all callers pass, with their headers'
)
def then_without(context: typing.Any) -> None:
    context.run(replace(context, document(5, None)))

    async def are_open() -> bool:
        found = await statuses(context, 'open', 'anykey')
        return {status for status, *_ in found} == {200}

    context.run(context.fleet.wait_until(are_open, 4.0))
    then_passed(context)


@behave.then(
    'calls run with the headers Authorization and X-Tenant of their callers'
)
def then_passed(context: typing.Any) -> None:
    sent = {
        'both': {'authorization': 'Basic eDp5', 'x-tenant': FORGED},
        'none': {},
    }
    answers, ran = run_all(context, LOOKUP, sent)
    for identity, (status, _, _) in answers.items():
        label = identity.partition('-')[0]
        expected = list(sent[label].values()) or [None, None]
        assert status == 200, (identity, status)
        assert ran[identity] == expected, (identity, ran[identity])


@behave.then('no module of teams is loaded')
def then_not_loaded(context: typing.Any) -> None:
    completed = subprocess.run(
        [sys.executable, '-c', MODULES],
        check=True,
        capture_output=True,
        text=True,
        cwd=fleet.ROOT,
    )
    assert not completed.stdout.strip(), completed.stdout
    for vm in context.mesh.vms.values():
        assert 'keys_rejected' not in vm.node.log.read_text()


@behave.when(
    'a caller without a key sends the head of a call with a body of 4 MiB'
)
def when_head(context: typing.Any) -> None:
    address = context.mesh.vms['vik-s'].addresses['outbound']
    host, _, port = address.rpartition(':')

    async def act() -> None:
        context.reader, context.writer = await asyncio.open_connection(
            host, int(port)
        )
        context.writer.write(
            b'POST %b HTTP/1.1\r\nHost: bells.example\r\n'
            b'X-Attempt-Id: large\r\nContent-Length: %d\r\n\r\n'
            % (LOOKUP.encode(), BODY_BYTES)
        )

    context.run(act())


async def read_answer(reader: asyncio.StreamReader) -> int:
    """Return the status of an answer, and read its body."""
    async with asyncio.timeout(10):
        text = (await reader.readuntil(b'\r\n\r\n')).lower()
        length = re.search(rb'content-length: (\d+)', text)
        await reader.readexactly(int(length[1]))
    return int(text.split()[1])


@behave.then('it gets 401 before it has sent its body')
def then_early(context: typing.Any) -> None:
    assert context.run(read_answer(context.reader)) == 401


@behave.then(
    'a call with a key on the same connection is answered after that body'
)
def then_after(context: typing.Any) -> None:
    request = (
        b'GET %b HTTP/1.1\r\nHost: bells.example\r\nX-Attempt-Id: %b\r\n'
        b'Authorization: Bearer th5mfirst\r\n\r\n'
    )
    smuggled = request % (LOOKUP.encode(), b'smuggled')
    body = smuggled * (BODY_BYTES // len(smuggled))
    body += b'.' * (BODY_BYTES - len(body))

    async def act() -> dict[str, list]:
        context.writer.write(body)
        context.writer.write(request % (LOOKUP.encode(), b'after'))
        await context.writer.drain()
        assert await read_answer(context.reader) == 200
        context.writer.close()
        return await identities(context)

    ran = context.run(act())
    assert 'after' in ran and not {'smuggled', 'large'} & set(ran), ran


@behave.given('a node that has no configuration')
def given_none(context: typing.Any) -> None:
    async def start() -> None:
        context.fleet = await context.stack.enter_async_context(
            fleet.Fleet.open()
        )
        context.mesh = mesh.Mesh(context.fleet)
        await context.mesh.start_store()
        context.mesh.add_vm('vik-t', 'vik', 'tonabok')

        async def is_started() -> bool:
            status, _, _ = await context.mesh.call('vik-t', LOOKUP, 'up')
            return status > 0

        await context.fleet.wait_until(is_started, path_steps.START_S)

    context.run(start())


@behave.when('callers with and without keys send calls to it')
def when_early(context: typing.Any) -> None:
    sent = {'missing': {}, 'unknown': bearer(UNKNOWN)}
    context.answers, _ = run_all(context, LOOKUP, sent)


@behave.then('each of them gets 503')
def then_503(context: typing.Any) -> None:
    found = {status for status, *_ in context.answers.values()}
    assert found == {503}, context.answers
