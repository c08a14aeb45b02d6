"""Steps of signals that reach a node while it is being loaded."""

from __future__ import annotations

import asyncio
import signal
import typing

import behave

from tests.steps import test_mesh_path

NAME = 'vik-t1'
STOP_S = 10.0
POLL_S = 0.001
CALL_S = 8.0


@behave.when(
    'a node starts again and gets {name} as soon as it accepts connections'
)
def when_signalled(context: typing.Any, name: str) -> None:
    vm = context.mesh.vms[NAME]
    host, _, port = vm.addresses['outbound'].rpartition(':')

    async def accepts() -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return

    async def act() -> None:
        vm.node.signal(signal.SIGKILL)
        await vm.node.wait(STOP_S)
        context.mesh.start_node(NAME)
        await accepts()
        vm.node.signal(signal.Signals[name])

    context.run(act())


@behave.when('a call comes at the same moment')
def when_called(context: typing.Any) -> None:
    context.answer = context.run(
        context.mesh.call(
            NAME, test_mesh_path.LOOKUP, 'early', timeout_s=CALL_S
        )
    )


@behave.then('the node runs on')
def then_runs(context: typing.Any) -> None:
    assert context.mesh.vms[NAME].node.popen.poll() is None


@behave.then('the node ends by itself with 0')
def then_ends(context: typing.Any) -> None:
    code = context.run(context.mesh.vms[NAME].node.wait(STOP_S))
    assert code == 0, code


@behave.then('the call has received an answer')
def then_answered(context: typing.Any) -> None:
    assert context.answer[0] in (200, 503), context.answer
