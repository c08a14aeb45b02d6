"""Steps of odd entries in the store, with real processes."""

from __future__ import annotations

import collections
import itertools
import typing

import behave

from pomelobend.platform import kinds
from tests.steps import test_mesh_path

SPECS = {
    'odd-port': {'address': '10.0.0.1:99999', 'domain': 'vik'},
    'odd-word': {'address': '10.0.0.1:word', 'domain': 'vik'},
    'odd-infinity': {'address': '127.0.0.1:1', 'slots': float('inf')},
    'odd-text': {'address': '127.0.0.1:1', 'domain': '\ud800'},
    'odd-list': [1, 2, 3],
}
NEW = 'vik-t3'
NEW_SERVICE = 'tonabok'
DEEP = 600
FOUND_S = 15.0
CALLS = 20
MAX_LINES = 100
SIGNS = ('Traceback', 'task failed')


@behave.when('odd entries are written among those of the nodes')
def when_written(context: typing.Any) -> None:
    nested: list = []
    for _ in range(DEEP):
        nested = [nested]
    specs = SPECS | {'odd-depth': {'address': nested}}

    async def write() -> None:
        for name, spec in specs.items():
            await context.mesh.write(kinds.NODES, name, spec)

    context.run(write())


@behave.when('a node with a target is added, and the target of hella-t1 ends')
def when_added(context: typing.Any) -> None:
    context.mesh.add_vm(NEW, 'vik', NEW_SERVICE)
    context.mesh.vms['hella-t1'].target.popen.terminate()


@behave.when('all other targets of its service end')
def when_others_end(context: typing.Any) -> None:
    for vm in context.mesh.vms.values():
        if vm.service == NEW_SERVICE and vm.name != NEW:
            vm.target.popen.terminate()


@behave.then('the new target answers calls of each node')
def then_answers(context: typing.Any) -> None:
    numbers = itertools.count()
    answered = collections.Counter()

    async def has_answered() -> bool:
        for name in context.mesh.vms:
            status, _, text = await context.mesh.call(
                name, test_mesh_path.LOOKUP, f'odd-{next(numbers)}'
            )
            is_new = text.startswith(f'i-{NEW}-1 ')
            answered[name] += status == 200 and is_new
        return min(answered.values()) >= CALLS

    try:
        context.run(context.fleet.wait_until(has_answered, FOUND_S))
    except TimeoutError as error:
        raise AssertionError(f'answered by the new target: {answered}') from (
            error
        )


@behave.then('no node has logged a traceback or a failed task')
def then_logs(context: typing.Any) -> None:
    for name, vm in context.mesh.vms.items():
        log = vm.node.log.read_text()
        found = [line for line in log.splitlines() if 'odd' in line]
        for sign in SIGNS:
            assert sign not in log, (name, sign, log[-2000:])
        assert len(found) < MAX_LINES, (name, len(found))
