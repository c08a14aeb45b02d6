"""Steps of large bodies between nodes, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import typing

import aiohttp
import behave

from tests.steps import test_mesh_path

MIB = 1024 * 1024
DEADLINE_MS = 4000
AT_WORK_S = 0.4


async def _upload(
    context: typing.Any, name: str, identity: str, size: int
) -> tuple[int, int]:
    """Send a body through a node; return the status and the size returned."""
    address = context.mesh.vms[name].addresses['outbound']
    headers = {
        'host': 'bells.example',
        'x-attempt-id': identity,
        'x-deadline-ms': str(DEADLINE_MS),
    }
    url = f'http://{address}{test_mesh_path.LOOKUP}'
    async with context.fleet.http.post(
        url,
        data=b'u' * size,
        headers=headers,
        timeout=aiohttp.ClientTimeout(total=10),
    ) as answer:
        return answer.status, (await answer.read()).count(b'u')


@behave.when(
    '{count:d} calls of {work_s:f} s run while {uploads:d} uploads of {size:d}'
    ' MiB come to each node'
)
def when_uploaded(
    context: typing.Any, count: int, work_s: float, uploads: int, size: int
) -> None:
    context.size = size * MIB

    async def act() -> None:
        work = {'x-work-s': str(work_s)}
        names = itertools.islice(itertools.cycle(context.mesh.vms), count)
        calls = [
            asyncio.create_task(
                context.mesh.call(
                    name, test_mesh_path.LOOKUP, f'call-{n}', **work
                )
            )
            for n, name in enumerate(names)
        ]
        await asyncio.sleep(AT_WORK_S)
        context.uploads = await asyncio.gather(
            *(
                _upload(context, name, f'upload-{name}-{n}', context.size)
                for name in context.mesh.vms
                for n in range(uploads)
            )
        )
        context.answers = await asyncio.gather(*calls)

    context.run(act())


@behave.then('each upload is answered with its whole body')
def then_uploaded(context: typing.Any) -> None:
    for status, size in context.uploads:
        assert status == 200, context.uploads
        assert size >= context.size, context.uploads
