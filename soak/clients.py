"""Clients that keep their connections until their node ends them."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing

import attrs

if typing.TYPE_CHECKING:
    import random

    from soak import world as worlds

PATIENCE_S = 2.0
ROUTE_LIMIT_S = 8.0
MAX_ANSWER_BYTES = 2 * 1024 * 1024
UPLOAD_PARTS = 6
UNREAD = 'not read in time'
HEAD_END = b'\r\n\r\n'


@attrs.frozen
class Habits:
    """How the clients of a soak behave.

    Parameters
    ----------
    clients : int
        Number of clients of each node.
    long_idle_share, nested_share, upload_share : float
        Shares of requests after long idle times, with calls of the target,
        and with large bodies.
    pause_s : float
        Longest usual pause after an answer.
    """

    clients: int = 8
    long_idle_share: float = 0.02
    nested_share: float = 0.0
    upload_share: float = 0.05
    pause_s: float = 0.3


@attrs.define
class Request:
    """A request and what its client has seen of it.

    Parameters
    ----------
    status : int
        Status of the whole answer, or 0.
    is_signed : bool
        Whether the answer is that of a target.
    last_byte_at : float
        Unix time at which the kernel had the whole request, or 0.
    place : int
        Number of the request on its connection.
    is_kept : bool
        Whether its client keeps the connection for further requests.
    is_nested : bool
        Whether its client is a target.
    has_left : bool
        Whether its client has ended the connection.
    echo : str
        Attempt id in the answer.
    route_limit_s : float
        Time limit of its route.
    headers : tuple of str
        Further lines of its head.
    """

    identity: str
    vm: str
    method: str
    path: str
    work_s: float
    deadline_s: float
    answer_bytes: int = 0
    body_bytes: int = 0
    has_nested: bool = False
    place: int = 0
    idle_s: float = 0.0
    sent_at: float = 0.0
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_signed: bool = False
    received: int = 0
    error: str = ''
    is_kept: bool = True
    is_nested: bool = False
    has_left: bool = False
    echo: str = ''
    retry_after_s: float = 0.0
    route_limit_s: float = ROUTE_LIMIT_S
    headers: tuple[str, ...] = ()

    def head(self) -> bytes:
        """Return the head as bytes."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            'host: bells.example',
            f'x-attempt-id: {self.identity}',
            f'x-deadline-ms: {round(self.deadline_s * 1000)}',
            f'x-work-s: {self.work_s}',
            f'x-answer-bytes: {self.answer_bytes}',
            f'content-length: {self.body_bytes}',
            *self.headers,
        ]
        if self.has_nested and not self.headers:
            lines.append('x-nested-path: /booking/nested')
            lines.append(f'x-nested-work-s: {self.work_s}')
        return '\r\n'.join(lines).encode() + HEAD_END


@attrs.define(eq=False)
class Client:
    """Sends requests to the node of a VM, each after the last answer."""

    world: worlds.World
    habits: Habits
    vm: str
    number: int
    rng: random.Random
    requests: list[Request] = attrs.field(factory=list)

    async def run(self, until: asyncio.Event) -> None:
        """Send requests until told to end."""
        while not until.is_set():
            with contextlib.suppress(OSError):
                await self._use_connection(until)
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))

    def next_request(self) -> Request:
        """Return a request of a random kind."""
        rng = self.rng
        is_booking = rng.random() < 0.5
        work_s = rng.choice((0.01, 0.01, 0.1, 0.3, rng.uniform(0.3, 4)))
        is_large = rng.random() < 0.2
        is_upload = rng.random() < self.habits.upload_share
        return Request(
            f'{self.vm}-{self.number}-{len(self.requests)}',
            self.vm,
            'POST' if is_booking else 'GET',
            '/booking/a' if is_booking else '/lookup/a',
            round(work_s, 3),
            round(work_s * 2 + rng.uniform(1.0, 4.0), 3),
            rng.randrange(MAX_ANSWER_BYTES if is_large else 2000),
            rng.randrange(MAX_ANSWER_BYTES if is_upload else 500),
            rng.random() < self.habits.nested_share,
        )

    async def _use_connection(self, until: asyncio.Event) -> None:
        host, _, port = (
            self.world.vms[self.vm].addresses['outbound'].rpartition(':')
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        place, idle_s, is_kept = 0, 0.0, True
        try:
            while is_kept and not until.is_set() and not reader.at_eof():
                request = self.next_request()
                request.place, request.idle_s = place, idle_s
                self.requests.append(request)
                is_kept = await exchange(request, reader, writer)
                place += 1
                idle_s = self._idle_s()
                await asyncio.sleep(idle_s)
        finally:
            writer.transport.abort()

    def _idle_s(self) -> float:
        """Return a pause, long ones up to four fifths of the idle time."""
        if self.rng.random() < self.habits.long_idle_share:
            share = self.rng.uniform(0.7, 0.8)
            return share * self.world.idle_timeout_ms / 1000
        return self.rng.uniform(0.0, self.habits.pause_s)


async def exchange(
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    patience_s: float = PATIENCE_S,
) -> bool:
    """Send a request, read its answer; return whether more may follow.

    An answer is awaited until ``patience_s`` after the deadline, and counts
    if it has arrived by then, also where the soak reads it later.
    """
    writer.write(request.head())
    request.sent_at = time.time()
    sending = asyncio.create_task(_send(request, writer))
    receiving = asyncio.create_task(_receive(request, reader))
    try:
        await asyncio.wait(
            {receiving}, timeout=request.deadline_s + patience_s
        )
        if receiving.done():
            return receiving.result()
        request.error = 'no answer'
    except (EOFError, OSError, ValueError) as error:
        request.error = request.error or type(error).__name__
    finally:
        request.ended_at = time.time()
        receiving.cancel()
        sending.cancel()
    return False


async def _send(request: Request, writer: asyncio.StreamWriter) -> None:
    """Send the body of a request, large ones in parts with pauses."""
    with contextlib.suppress(OSError):
        count = UPLOAD_PARTS if request.body_bytes > 2000 else 1
        part = b'x' * (request.body_bytes // count)
        for _ in range(count - 1):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'x' * (request.body_bytes - len(part) * (count - 1)))
        while writer.transport.get_write_buffer_size():
            await writer.drain()
            await asyncio.sleep(0.005)
        if not writer.transport.is_closing():
            request.last_byte_at = time.time()


async def _receive(request: Request, reader: asyncio.StreamReader) -> bool:
    head = (await reader.readuntil(HEAD_END)).lower()
    request.received = len(head)
    length = int(_field(head, b'content-length') or 0)
    while length:
        part = await reader.read(min(length, 65536))
        if not part:
            raise EOFError
        length -= len(part)
        request.received += len(part)
    request.status = int(head[:12].split()[1])
    request.is_signed = b'x-response-signature' in head
    request.echo = _field(head, b'x-attempt-id').decode()
    request.retry_after_s = float(_field(head, b'retry-after') or 0)
    return b'connection: close' not in head


def _field(head: bytes, name: bytes) -> bytes:
    """Return the value of a field of a head in lower case, or b''."""
    return head.partition(b'\r\n%b: ' % name)[2].split(b'\r\n')[0]
