"""Steps for nodes whose standard output and error are not read."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import json
import os
import resource
import signal
import subprocess
import sys
import typing

import behave

from pomelobend import logs
from pomelobend import standard_streams
from standins import fleet
from tests.steps import test_mesh_path as path_steps

NAME = 'vik-t1'
STOP_S = 12.0
END_S = 10.0
WORK_S = 1.5
SENT_S = 0.4
ANSWER_S = 3.0
LOST = 'pomelobend_log_writes_lost'
LIBRARY_ERRORS = """
import logging
import sys
from pomelobend import logs
logs.configure_rate_limited()
for _ in range(int(sys.argv[1])):
    logging.getLogger('asyncio').error('an error of a library')
"""


def fill(descriptor: int) -> None:
    """Fill a pipe to its last byte."""
    os.set_blocking(descriptor, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(descriptor, b'.' * size)
    os.set_blocking(descriptor, True)


def open_output(context: typing.Any, kind: str) -> dict[str, typing.Any]:
    """Return the options of a process with such output."""
    if kind == 'closed':
        return {'preexec_fn': close_output}
    if kind == 'on a device that is full':
        device = os.open('/dev/full', os.O_WRONLY)
        context.stack.callback(os.close, device)
        return {'stdout': device, 'stderr': device}
    options = {}
    for name in ('stdout', 'stderr'):
        reader, options[name] = os.pipe()
        context.stack.callback(os.close, options[name])
        if kind == 'left by its reader':
            os.close(reader)
        else:
            fill(options[name])
            context.stack.callback(os.close, reader)
    return options


def close_output() -> None:
    """Close both descriptors in a process that is being started."""
    os.close(standard_streams.OUTPUT)
    os.close(standard_streams.ERROR)


@behave.when('a node starts again with its output {kind}')
def when_starts(context: typing.Any, kind: str) -> None:
    start_again(context, open_output(context, kind))


@behave.when(
    'a node with at most {count:d} descriptors starts again with its output '
    '{kind}'
)
def when_starts_limited(context: typing.Any, count: int, kind: str) -> None:
    limit = functools.partial(
        resource.setrlimit, resource.RLIMIT_NOFILE, (count, count)
    )
    options = open_output(context, kind)
    start_again(context, {**options, 'preexec_fn': limit})


@behave.when(
    '{count:d} connections to its address for nodes are opened, held for '
    '{held_s:f} s and closed'
)
def when_crowded(context: typing.Any, count: int, held_s: float) -> None:
    host, _, port = context.mesh.vms[NAME].addresses['inbound'].partition(':')

    async def act() -> None:
        opened = [
            await asyncio.open_connection(host, int(port))
            for _ in range(count)
        ]
        await asyncio.sleep(held_s)
        for _, writer in opened:
            writer.close()

    context.run(act())


@behave.then('calls through it are answered again')
def then_answered_again(context: typing.Any) -> None:
    context.run(
        context.mesh.wait_until_serving([NAME], path_steps.LOOKUP, END_S)
    )


def start_again(context: typing.Any, options: dict[str, typing.Any]) -> None:
    """Stop the node and start it with options of ``subprocess.Popen``."""
    vm = context.mesh.vms[NAME]
    vm.options = options

    async def act() -> None:
        vm.node.signal(signal.SIGTERM)
        await vm.node.wait(STOP_S)
        context.mesh.start_node(NAME)
        await context.mesh.wait_until_serving(
            [NAME], path_steps.LOOKUP, path_steps.START_S
        )

    context.run(act())


@behave.when('{count:d} calls that it logs are sent to it')
def when_called(context: typing.Any, count: int) -> None:
    async def act() -> None:
        context.statuses = collections.Counter()
        for number in range(count):
            status, _, _ = await context.mesh.call(
                NAME,
                f'/nowhere/{number}',
                f'none-{number}',
                timeout_s=ANSWER_S,
            )
            context.statuses[status] += 1

    context.run(act())


@behave.then('the calls were answered')
def then_answered(context: typing.Any) -> None:
    assert set(context.statuses) == {404}, context.statuses


@behave.then('its standard descriptors are no sockets')
def then_no_sockets(context: typing.Any) -> None:
    pid = context.mesh.vms[NAME].node.popen.pid
    found = [os.readlink(f'/proc/{pid}/fd/{number}') for number in range(3)]
    assert not [item for item in found if item.startswith('socket')], found


@behave.then('its metrics count the lost lines')
def then_counted(context: typing.Any) -> None:
    page = context.run(path_steps.read_metrics(context, NAME))
    assert page[LOST] > 0, page


@behave.then(
    'at SIGTERM the node ends with 0 after the answer of its last call'
)
def then_stops(context: typing.Any) -> None:
    node = context.mesh.vms[NAME].node

    async def act() -> tuple[int, int]:
        call = asyncio.create_task(
            context.mesh.call(
                NAME, path_steps.LOOKUP, 'last', **{'x-work-s': str(WORK_S)}
            )
        )
        await asyncio.sleep(SENT_S)
        node.signal(signal.SIGTERM)
        return (await call)[0], await node.wait(STOP_S)

    assert context.run(act()) == (200, 0)


def end(context: typing.Any, *command: str, **options: typing.Any) -> None:
    """Run a program and keep its exit code, or None if it stands still."""
    process = subprocess.Popen(
        [sys.executable, *command], cwd=fleet.ROOT, **options
    )
    try:
        context.code = process.wait(END_S)
    except subprocess.TimeoutExpired:
        context.code = None
        process.kill()
        process.wait()


@behave.when(
    'a program with the logs of a node reports {count:d} errors of a library, '
    'which nobody reads'
)
def when_errors(context: typing.Any, count: int) -> None:
    options = open_output(context, 'not read')
    end(context, '-c', LIBRARY_ERRORS, str(count), **options)


@behave.when('a node without settings starts with its output {kind}')
def when_no_settings(context: typing.Any, kind: str) -> None:
    environment = {**os.environ, 'POMELOBEND_CONFIG': '/nowhere'}
    options = open_output(context, kind)
    command = ('-S', '-m', 'pomelobend.cmd.sidecar')
    end(context, *command, env=environment, **options)


@behave.then('the program ends with {code:d}')
def then_ends(context: typing.Any, code: int) -> None:
    assert context.code == code, context.code


@behave.when(
    'a line of {size:d} bytes and a short one are logged to a pipe that is '
    'read in between'
)
def when_long_line(context: typing.Any, size: int) -> None:
    reader, writer = os.pipe()
    for descriptor in (reader, writer):
        os.set_blocking(descriptor, False)
        context.stack.callback(os.close, descriptor)
    context.stream = standard_streams.Stream(writer)
    logger = logs.RateLimitedLogger(context.stream)
    logger.msg('x' * size)
    context.long = os.read(reader, size)
    logger.msg('{"event": "short"}')
    context.short = os.read(reader, size)


@behave.then('the short line is read whole')
def then_whole(context: typing.Any) -> None:
    first, *rest = context.short.decode().splitlines()
    assert first == '', first
    events = [json.loads(line)['event'] for line in rest]
    assert events == ['logs: dropped', 'short'], events


@behave.then('one lost write is counted')
def then_one_lost(context: typing.Any) -> None:
    assert context.stream.lost == 1
