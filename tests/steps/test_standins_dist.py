"""Steps of the file that is shipped and of the demonstration."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import typing

import behave

from standins import fleet as fleets
from tests.steps import fleet
from tests.steps import test_targets_stop

BUILD_S = 300.0
DEMO_S = 120.0


@behave.given('the built file')
def given_file(context: typing.Any) -> None:
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.file = pathlib.Path(folder) / 'pomelobend'
    ended = subprocess.run(
        [sys.executable, '-m', 'tools.build', str(context.file)],
        cwd=fleets.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=BUILD_S,
    )
    assert ended.returncode == 0, ended.stderr[-2000:]


@behave.when('a node is started from it with an empty environment')
def when_started(context: typing.Any) -> None:
    fleet.given_platform(context)
    node = context.fleet.add_node('n1', 'selfoss', target={'slow_start': 0})
    settings = context.fleet.folder / 'n1.json'
    settings.write_text(fleets.json.dumps(node.settings))
    node.process = context.fleet.start(
        'n1', str(context.file), 'node', '--settings', str(settings), env={}
    )
    context.run(fleet.until_alive(context, ['n1']))


@behave.then('a call through it is answered')
def then_answered(context: typing.Any) -> None:
    fleet.given_target(context, 'tonabok', 'n1')
    fleet.given_configuration(context)
    fleet.given_all_known(context)
    status, _, body = context.run(
        fleet.call(context, 'n1', 'GET', '/tonabok/bells')
    )
    assert status == 200, body


@behave.then('it has no child process and no io_uring')
def then_node_clean(context: typing.Any) -> None:
    then_clean(context, 'node n1')


@behave.then('{name} has no child process and no io_uring')
def then_clean(context: typing.Any, name: str) -> None:
    process = test_targets_stop.process_of(context, name)
    pid = process.popen.pid
    assert fleets.children(pid) == []
    rings = [d for d in fleets.descriptors(pid) if 'io_uring' in d]
    assert rings == [], rings


@behave.when('the demonstration is run')
def when_demo(context: typing.Any) -> None:
    context.ended = subprocess.run(
        [sys.executable, '-m', 'standins.demo'],
        cwd=fleets.ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=DEMO_S,
    )


@behave.then('it ends with 0 and shows answered calls')
def then_demo(context: typing.Any) -> None:
    assert context.ended.returncode == 0, context.ended
    assert '200: 30' in context.ended.stdout, context.ended.stdout
