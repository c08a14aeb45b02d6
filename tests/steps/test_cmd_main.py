"""Steps for the command line and the administration API."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import typing

import behave

from benchmarks import capacity
from standins import fleet as fleets
from tests.steps import fleet
from tools import reference


@behave.when('the command {command} is run')
def when_command(context: typing.Any, command: str) -> None:
    context.completed = subprocess.run(
        [sys.executable, '-m', 'pomelobend', *command.split()],
        cwd=fleets.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=fleet.START_S,
        env={
            **os.environ,
            'POMELOBEND_NODE': context.fleet.nodes['n1'].admin,
            'POMELOBEND_TOKEN': fleets.TOKEN,
        },
    )


@behave.then('it exits with {code:d}')
def then_code(context: typing.Any, code: int) -> None:
    assert context.completed.returncode == code, context.completed


@behave.then('its output is JSON with the node {name}')
def then_json(context: typing.Any, name: str) -> None:
    assert json.loads(context.completed.stdout)['node'] == name


@behave.when('two operators change configuration {number:d} concurrently')
def when_concurrent_changes(context: typing.Any, number: int) -> None:
    def changed(timeout: int) -> dict:
        routes = [{**r, 'timeout': timeout} for r in fleet.DOCUMENT['routes']]
        return {**fleet.DOCUMENT, 'routes': routes}

    async def change_concurrently() -> list:
        return await asyncio.gather(
            context.fleet.apply('n1', changed(1111), number),
            context.fleet.apply('n2', changed(2222), number),
        )

    context.answers = context.run(change_concurrently())


@behave.then(
    'one is accepted and the other gets a conflict with the current version'
)
def then_conflict(context: typing.Any) -> None:
    (won_status, accepted), (lost_status, conflict) = sorted(
        context.answers, key=lambda answer: answer[0]
    )
    assert (won_status, lost_status) == (200, 409), context.answers
    assert conflict['code'] == 'PB301'
    assert conflict['current'] == accepted['number']


@behave.when(
    'a changed document is dry-run, applied and restored to configuration '
    '{number:d}'
)
def when_restored(context: typing.Any, number: int) -> None:
    routes = [{**r, 'timeout': 777} for r in fleet.DOCUMENT['routes']]
    path = context.fleet.folder / 'changed.json'
    path.write_text(json.dumps({**fleet.DOCUMENT, 'routes': routes}))
    context.outputs = []
    for command in (
        f'apply {path} --dry-run',
        'get --output json',
        f'apply {path}',
        f'restore samlag {number}',
        'get samlag --output json',
    ):
        when_command(context, command)
        assert context.completed.returncode == 0, context.completed
        context.outputs.append(context.completed.stdout)


@behave.then('the dry run showed the difference and changed nothing')
def then_dry_run(context: typing.Any) -> None:
    assert '+      "timeout": 777' in context.outputs[0], context.outputs[0]
    assert json.loads(context.outputs[1])['number'] == 1


@behave.then(
    'the document of configuration 1 is accepted as configuration {number:d}'
)
def then_restored(context: typing.Any, number: int) -> None:
    shown = json.loads(context.outputs[-1])
    assert shown == {'number': number, 'document': fleet.DOCUMENT}, shown


@behave.when('a team without rights withdraws a failure domain')
def when_without_right(context: typing.Any) -> None:
    domains = [{'name': 'hella', 'state': 'withdrawn'}]
    document = {'team': 'gestir', 'domains': domains}
    context.answer = context.run(
        context.fleet.apply('n1', document, 0, token=fleets.GUEST_TOKEN)
    )


@behave.when('one team sends {count:d} changes at once')
def when_many_changes(context: typing.Any, count: int) -> None:
    async def send() -> list:
        return await asyncio.gather(
            *(
                context.fleet.apply('n1', fleet.DOCUMENT, 1)
                for _ in range(count)
            )
        )

    context.answers = context.run(send())


@behave.then(
    'some are rejected with {code}, one is accepted and the rest conflict'
)
def then_rate_limited(context: typing.Any, code: str) -> None:
    codes = [answer.get('code', 'accepted') for _, answer in context.answers]
    assert codes.count('accepted') == 1, codes
    assert set(codes) == {'accepted', 'PB301', code}, codes


@behave.when('a document is put without a token')
def when_without_token(context: typing.Any) -> None:
    async def put() -> tuple:
        address = context.fleet.nodes['n1'].admin
        async with context.fleet.http.put(
            f'http://{address}/v1/documents/samlag?expected=1',
            json=fleet.DOCUMENT,
        ) as response:
            return response.status, await response.json()

    context.answer = context.run(put())


@behave.then('the response is {status:d} with {code}')
def then_response(context: typing.Any, status: int, code: str) -> None:
    assert context.answer[0] == status, context.answer
    assert context.answer[1]['code'] == code, context.answer


@behave.then('{pages} are up to date')
def then_up_to_date(context: typing.Any, pages: str) -> None:
    assert reference.differing() == []


@behave.then('docs/CAPACITY.md matches the recorded measurements')
def then_capacity(context: typing.Any) -> None:
    page = capacity.page_with(capacity.computed())
    assert page == capacity.PAGE.read_text()
