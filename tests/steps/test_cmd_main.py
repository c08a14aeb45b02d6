"""Steps of the command line and of the administration API."""

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
    context.ended = subprocess.run(
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
    assert context.ended.returncode == code, context.ended


@behave.then('its output is JSON with the node {name}')
def then_json(context: typing.Any, name: str) -> None:
    assert json.loads(context.ended.stdout)['node'] == name


@behave.when(
    'two operators put documents upon configuration {number:d} at the same '
    'time'
)
def when_race(context: typing.Any, number: int) -> None:
    def changed(timeout: int) -> dict:
        routes = [{**r, 'timeout': timeout} for r in fleet.DOCUMENT['routes']]
        return {**fleet.DOCUMENT, 'routes': routes}

    async def race() -> list:
        return await asyncio.gather(
            context.fleet.apply('n1', changed(1111), number),
            context.fleet.apply('n2', changed(2222), number),
        )

    context.answers = context.run(race())


@behave.then(
    'one is accepted and the other gets a conflict with the current version'
)
def then_conflict(context: typing.Any) -> None:
    (one, won), (other, lost) = sorted(
        context.answers, key=lambda answer: answer[0]
    )
    assert (one, other) == (200, 409), context.answers
    assert lost['code'] == 'PB301'
    assert lost['current'] == won['number']


@behave.when(
    'a changed document is tried, accepted and taken back to {number:d}'
)
def when_taken_back(context: typing.Any, number: int) -> None:
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
        assert context.ended.returncode == 0, context.ended
        context.outputs.append(context.ended.stdout)


@behave.then('the trial showed the difference and changed nothing')
def then_tried(context: typing.Any) -> None:
    assert '+      "timeout": 777' in context.outputs[0], context.outputs[0]
    assert json.loads(context.outputs[1])['number'] == 1


@behave.then('the content of 1 is accepted as configuration {number:d}')
def then_taken_back(context: typing.Any, number: int) -> None:
    found = json.loads(context.outputs[-1])
    assert found == {'number': number, 'document': fleet.DOCUMENT}, found


@behave.when('a team without rights withdraws a failure domain')
def when_no_right(context: typing.Any) -> None:
    domains = [{'name': 'hella', 'state': 'withdrawn'}]
    document = {'team': 'gestir', 'domains': domains}
    context.answer = context.run(
        context.fleet.apply('n1', document, 0, token=fleets.GUEST_TOKEN)
    )


@behave.when('one team sends {count:d} changes at once')
def when_many(context: typing.Any, count: int) -> None:
    async def send() -> list:
        return await asyncio.gather(
            *(
                context.fleet.apply('n1', fleet.DOCUMENT, 1)
                for _ in range(count)
            )
        )

    context.answers = context.run(send())


@behave.then('some are refused with {code} and the rest are settled')
def then_limited(context: typing.Any, code: str) -> None:
    codes = [answer.get('code', 'accepted') for _, answer in context.answers]
    assert codes.count('accepted') == 1, codes
    assert set(codes) == {'accepted', 'PB301', code}, codes


@behave.when('a document is put without a token')
def when_no_token(context: typing.Any) -> None:
    async def put() -> tuple:
        address = context.fleet.nodes['n1'].admin
        async with context.fleet.http.put(
            f'http://{address}/v1/documents/samlag?expected=1',
            json=fleet.DOCUMENT,
        ) as response:
            return response.status, await response.json()

    context.answer = context.run(put())


@behave.then('the answer is {status:d} with {code}')
def then_answer(context: typing.Any, status: int, code: str) -> None:
    assert context.answer[0] == status, context.answer
    assert context.answer[1]['code'] == code, context.answer


@behave.then('{pages} are up to date')
def then_up_to_date(context: typing.Any, pages: str) -> None:
    assert reference.differing() == []


@behave.then('docs/CAPACITY.md agrees with the recorded slopes')
def then_capacity(context: typing.Any) -> None:
    page = capacity.page_with(capacity.computed())
    assert page == capacity.PAGE.read_text()
