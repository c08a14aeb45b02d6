"""Clients that leave while their long requests wait for a slot."""

from __future__ import annotations

import asyncio
import pathlib
import time

from review.loopback import backend as backends
from review.loopback import deployment as deployments
from review.loopback import wire

BODY_BYTES = 1_200_000
LEFT_S = 0.5
FEW = 10
ROUNDS = 5
UPLOADS = 6
SLOTS = 6
WORK_S = 1.2
WAITS_S = 0.25


class NotingBackend(backends.Backend):
    """Notes when a request reaches it."""

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.reached: dict[str, float] = {}

    async def run(
        self,
        head: wire.Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Note the arrival of a request, and run it."""
        self.reached[head.get('x-attempt-id')] = time.monotonic()
        await super().run(head, reader, writer)


async def send_and_leave(
    deployment: deployments.Deployment, identity: str
) -> float:
    """Send a long request, and close the connection a little later."""
    reader, writer = await wire.connect(
        deployment.addresses['node-a']['outbound']
    )
    fields = [
        ('Host', deployments.HOST),
        ('X-Attempt-Id', identity),
        ('X-Deadline-Ms', '3000'),
    ]
    deployment.note('client sends', identity, BODY_BYTES)
    writer.write(
        wire.message('POST /upload/x HTTP/1.1', fields, b'u' * BODY_BYTES)
    )
    await writer.drain()
    await asyncio.sleep(WAITS_S)
    if not deployment.has_trouble:
        await wire.read_answer(reader)
    writer.close()
    left_at = time.monotonic()
    deployment.note('client of', identity, 'closes its connection')
    return left_at


async def run(deployment: deployments.Deployment) -> int:
    """Fill the slots, then let clients of long requests leave."""
    changes = {'timeout_ms': 3000}
    deployment.configure(
        1,
        [
            deployments.route('upload', 'non_idempotent', 'store', **changes)
            | {'target_latency_ms': 2900},
            deployments.route('order', 'non_idempotent', 'store', **changes)
            | {'target_latency_ms': 2900},
            deployments.route('look', 'idempotent', 'store'),
        ],
    )
    backend = await deployment.add(
        'node-b', 'store', 'east', NotingBackend, slots=SLOTS, work_s=WORK_S
    )
    await deployment.add('node-a', 'front', 'east')
    await deployment.wait_until_served('node-a', '/look/x')
    await asyncio.sleep(4.0)
    left = {}
    for number in range(ROUNDS):
        orders = [
            asyncio.create_task(
                deployment.call(
                    'node-a', 'POST', '/order/x', f'order{number}-{item}', b'o'
                )
            )
            for item in range(SLOTS)
        ]
        await asyncio.sleep(0.1)
        names = [f'upload{number}-{item}' for item in range(UPLOADS)]
        times = await asyncio.gather(
            *(send_and_leave(deployment, name) for name in names)
        )
        left.update(zip(names, times, strict=True))
        await asyncio.gather(*orders)
        await asyncio.sleep(2.5)
    late = {
        name: round(backend.reached[name] - left_at, 2)
        for name, left_at in left.items()
        if backend.reached.get(name, 0.0) - left_at > LEFT_S
    }
    deployment.note('requests whose clients left', len(left))
    deployment.note('reached a backend over 0.5 s later', late)
    ran = sum(backend.runs[name] for name in left)
    deployment.note('of all, were run', ran)
    if not deployment.has_trouble and ran < len(left):
        raise deployments.NotRunError('not served without the disruption')
    is_broken = len(late) > FEW
    return deployments.BROKEN if is_broken else deployments.HELD


if __name__ == '__main__':
    deployments.run_case(run, str(pathlib.Path(__file__).parent))
