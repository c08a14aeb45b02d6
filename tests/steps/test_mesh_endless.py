"""Steps of answers without end, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import re
import typing

import behave

from tests.steps import test_mesh_path

KB = 1024
MB = 1024 * 1024
PAUSE_S = 0.015


@behave.when('three callers get answers without end beside 100 other calls')
def when_endless(context: typing.Any) -> None:
    async def act() -> None:
        endless = [
            asyncio.create_task(_lookup(context, 'vik-s', f'e{number}', True))
            for number in range(3)
        ]
        others = []
        for number, name in itertools.product(range(50), ('vik-s', 'hella-s')):
            lookup = _lookup(context, name, f'{name}-{number}', False)
            others.append(asyncio.create_task(lookup))
            await asyncio.sleep(PAUSE_S)
        context.others = await asyncio.gather(*others)
        context.endless = await asyncio.gather(*endless)

    context.run(act())


async def _lookup(
    context: typing.Any, name: str, identity: str, is_endless: bool
) -> int:
    """Send a call to a node; return its status."""
    headers = {'x-answer-endless': '1'} if is_endless else {}
    status, _, _ = await context.mesh.call(
        name, test_mesh_path.LOOKUP, identity, **headers
    )
    return status


@behave.then('all other calls are answered, and the three end with 502 or 504')
def then_answered(context: typing.Any) -> None:
    assert set(context.others) == {200}, context.others
    assert set(context.endless) <= {502, 504}, context.endless


@behave.then('no node has used more than {megabytes:d} MB')
def then_memory(context: typing.Any, megabytes: int) -> None:
    for name, vm in context.mesh.vms.items():
        status = pathlib.Path(f'/proc/{vm.node.popen.pid}/status').read_text()
        peak = int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * KB
        assert peak <= megabytes * MB, (name, peak)
