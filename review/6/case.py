"""A backend answers a long request early and reads on later."""

from __future__ import annotations

import asyncio
import pathlib

from review.loopback import backend as backends
from review.loopback import deployment as deployments
from review.loopback import wire

UPLOAD_BYTES = 4 * 1024 * 1024
READ_BEFORE = 256 * 1024
UPLOADS = 3
OTHERS = 6


class EarlyBackend(backends.Backend):
    """Answers long requests before it has read them, and reads on later."""

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.answers_early = False
        self.foreign: dict[str, bytes] = {}

    async def run(
        self,
        head: wire.Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a long request early: the head, then the body."""
        size = head.length or 0
        if size < UPLOAD_BYTES or not self.answers_early:
            await super().run(head, reader, writer)
            return
        identity = head.get('x-attempt-id')
        self.runs[identity] += 1
        await reader.readexactly(READ_BEFORE)
        text = b'too long'
        data = self.answer(identity, text, 413)
        self.note(self.name, 'answers', identity, 'after', READ_BEFORE)
        writer.write(data[: -len(text)])
        await writer.drain()
        await asyncio.sleep(0.03)
        writer.write(text)
        await writer.drain()
        await asyncio.sleep(0.3)
        left = size - READ_BEFORE
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                self.note(self.name, identity, 'ended,', left, 'bytes left')
                return
            left -= len(part)
            other = part.strip(b'u')
            if other and identity not in self.foreign:
                self.foreign[identity] = other
                self.note(self.name, identity, 'body has', other[:120])


async def run(deployment: deployments.Deployment) -> int:
    """Send uploads, and other requests after each of them."""
    deployment.configure(
        1,
        [
            deployments.route('upload', 'non_idempotent', 'store'),
            deployments.route('order', 'non_idempotent', 'store'),
            deployments.route('look', 'idempotent', 'store'),
        ],
    )
    backend = await deployment.add('node-b', 'store', 'east', EarlyBackend)
    await deployment.add('node-a', 'front', 'east')
    await deployment.wait_until_served('node-a', '/look/x')
    await asyncio.sleep(3.5)
    backend.answers_early = deployment.has_trouble
    statuses = []
    for upload in range(UPLOADS):
        found = await deployment.call(
            'node-a',
            'POST',
            '/upload/x',
            f'upload{upload}',
            b'u' * UPLOAD_BYTES,
        )
        deployment.note('upload', upload, found[0])
        for order in range(OTHERS // UPLOADS):
            found = await deployment.call(
                'node-a',
                'POST',
                '/order/x',
                f'order{upload}-{order}',
                b'order of a client',
                1000,
            )
            statuses.append(found[0])
        await asyncio.sleep(1.5)
    deployment.note('orders answered with', statuses)
    deployment.note('bodies with other bytes', backend.foreign)
    deployment.note('no requests', backend.unknown)
    if not deployment.has_trouble and set(statuses) != {200}:
        raise deployments.NotRunError('not served without the disruption')
    is_broken = bool(backend.foreign or backend.unknown)
    return deployments.BROKEN if is_broken else deployments.HELD


if __name__ == '__main__':
    deployments.run_case(run, str(pathlib.Path(__file__).parent))
