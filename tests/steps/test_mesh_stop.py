"""Steps for planned stops of nodes, with callers on open connections."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import signal
import socket
import time
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import caller as peer_callers
from pomelobend.routing import call as call_module
from pomelobend.routing import target_stats
from standins import fleet
from standins import mesh
from tests.steps import test_mesh_path as path_steps
from tests.steps import test_peers_pool as pool_steps

NODE = 'vik-t1'
BOOKING_NODE = 'vik-s'
VERSION = 9
WORK_S = 3.0
LATE_WORK_S = 2.9
CALL_S = 3.5
EXIT_S = 8.0
CALLERS = 6
STATUS_LINE_BYTES = 12
INTERIM = b'http/1.1 1'
MIB = 1024 * 1024
PART_BYTES = 64 * 1024
LARGE_SHARE = 0.25
MAX_ANSWER_BYTES = 3 * MIB // 2


@attrs.define
class Request:
    """A request on an open connection.

    Parameters
    ----------
    status : int
        Status of the complete answer, or 0.
    """

    identity: str
    node: str
    method: str = 'GET'
    path: str = '/lookup/a'
    work_s: float = WORK_S
    deadline_s: float = CALL_S
    body: bytes = b''
    answer_bytes: int = 0
    status: int = 0
    sent_at: float = 0.0
    read_s: float = 0.0

    def encode(self) -> bytes:
        """Return the request as bytes."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            'host: bells.example',
            f'x-attempt-id: {self.identity}',
            f'x-deadline-ms: {round(self.deadline_s * 1000)}',
            f'x-work-s: {self.work_s}',
            f'x-answer-bytes: {self.answer_bytes}',
            f'x-read-s: {self.read_s}',
            f'content-length: {len(self.body)}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + self.body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of an answer and whether its connection stays open.

    Interim responses before it are skipped.

    Raises
    ------
    EOFError, ConnectionError
        The connection ended before the last byte of the answer.
    """
    head = INTERIM
    while head.startswith(INTERIM):
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
    length = int(head.partition(b'content-length: ')[2].split(b'\r\n')[0])
    await reader.readexactly(length)
    status = int(head[:STATUS_LINE_BYTES].split()[1])
    return status, b'connection: close' not in head


async def connect(
    context: typing.Any, name: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection of a caller to the node of a VM."""
    host, _, port = context.mesh.vms[name].addresses['outbound'].partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    context.stack.callback(writer.close)
    return reader, writer


async def send_rest_later(context: typing.Any, late_s: float) -> Request:
    """Send the last byte of a request late after SIGTERM.

    Its deadline counts from its first byte; ``CALL_S`` is left at its end.
    """
    request = Request(
        'late', NODE, deadline_s=CALL_S + late_s / 2, body=b'bells'
    )
    reader, writer = await connect(context, NODE)
    stop(context, NODE)
    await asyncio.sleep(late_s / 2)
    writer.write(request.encode()[:-1])
    await asyncio.sleep(late_s / 2)
    writer.write(request.encode()[-1:])
    await receive(request, reader)
    return request


async def send_behind_another(context: typing.Any, late_s: float) -> Request:
    """Send a request late behind one that still runs."""
    first = Request('first', NODE, work_s=late_s - 1.0, deadline_s=9)
    request = Request('late', NODE)
    reader, writer = await connect(context, NODE)
    stop(context, NODE)
    await asyncio.sleep(1.5)
    writer.write(first.encode())
    await asyncio.sleep(late_s - 1.5)
    writer.write(request.encode())
    await receive(first, reader)
    assert first.status == 200, first
    await receive(request, reader)
    return request


async def send_from_node(context: typing.Any, late_s: float) -> Request:
    """Send a call late over a connection of another node."""
    request = Request('late', NODE)
    await send_call_from_node(context, late_s, request)
    return request


async def send_call_from_node(
    context: typing.Any, late_s: float, request: Request
) -> None:
    """Send a call that may not be repeated late from another node."""
    (port,) = fleet.free_ports(1)
    pool = pool_steps.open_pool('other', f'127.0.0.1:{port}')
    context.stack.push_async_callback(pool.close)
    pool.handler.dispatch_message = lambda connection, message: None
    _, writer = await connect(context, NODE)
    writer.write(
        Request('first', NODE, 'GET', work_s=5, deadline_s=9).encode()
    )
    await asyncio.sleep(0.3)
    stop(context, NODE)
    await asyncio.sleep(late_s)
    clock = clocks.SystemClock()
    now = clock.monotonic()
    call = call_module.Call(
        route_name='lookup',
        service='tonabok',
        method='GET',
        path=b'/lookup/a',
        headers=[
            ('host', 'bells.example'),
            ('x-attempt-id', request.identity),
            ('x-work-s', str(request.work_s)),
        ],
        started=now,
        deadline=now + request.deadline_s,
        is_idempotent=False,
        priority=1,
        objective_ms=1000,
    )
    address = context.mesh.vms[NODE].addresses['inbound']
    member = members.Member(NODE, 1, 0, 'vik', address)
    stats = target_stats.TargetStats(1)
    try:
        answer = await peer_callers.Caller(pool, clock).call(
            call, member, stats
        )
        request.status = answer.status
    except errors.CallRefusedError as refusal:
        is_not_run = refusal.run is errors.Run.NOT_RUN
        request.status = 503 if is_not_run else 0


_WAYS = {
    'as the rest of one that was begun before': send_rest_later,
    'behind another one on its connection': send_behind_another,
    'from another node': send_from_node,
}


def stop(context: typing.Any, name: str) -> None:
    """Send SIGTERM to the node of a VM."""
    context.stopped_at = time.monotonic()
    context.mesh.vms[name].node.signal(15)


async def note_end(context: typing.Any, name: str) -> None:
    """Note when a node ends, also if this process is busy meanwhile."""
    process = context.mesh.vms[name].node.popen

    def wait() -> tuple[int, float]:
        return process.wait(EXIT_S), time.monotonic()

    context.code, context.ended_at = await asyncio.to_thread(wait)


async def receive(request: Request, reader: asyncio.StreamReader) -> bool:
    """Read the answer to a request; return whether more may follow."""
    try:
        request.status, is_kept = await read_answer(reader)
    except (EOFError, ConnectionError):
        return False
    return is_kept


async def runs(context: typing.Any) -> collections.Counter:
    """Return how often each request has run on all targets."""
    found: collections.Counter = collections.Counter()
    for name in context.mesh.vms:
        found.update((await context.mesh.report(name))['runs'])
    return found


@behave.given('routes whose calls may take {timeout_s:d} s')
def given_routes(context: typing.Any, timeout_s: int) -> None:
    document = mesh.configuration(VERSION, archive='steypudagar')
    for rule in document['listeners'][0]['rules']:
        rule['action']['timeout_ms'] = timeout_s * 1000

    async def is_in_force() -> bool:
        for name in context.mesh.vms:
            page = await path_steps.read_metrics(context, name)
            if page['pomelobend_configuration_version'] != VERSION:
                return False
        return True

    async def act() -> None:
        await context.mesh.write('config', 'main', document, is_new=False)
        await context.fleet.wait_until(is_in_force, 5.0)

    context.run(act())


@behave.when('a call comes {how} {late_s:d} s after SIGTERM to a node')
def when_late(context: typing.Any, how: str, late_s: int) -> None:
    async def act() -> None:
        context.request = await _WAYS[how](context, late_s)
        await context.mesh.vms[NODE].node.wait(EXIT_S)
        context.runs = await runs(context)

    context.run(act())


@behave.when(
    'a booking of {work_s:d} s with {left_s:d} s left comes from another node'
    ' {late_s:d} s after SIGTERM to a node'
)
def when_taken_over(
    context: typing.Any, work_s: int, left_s: int, late_s: int
) -> None:
    context.request = Request('late', NODE, work_s=work_s, deadline_s=left_s)

    async def act() -> None:
        await send_call_from_node(context, late_s, context.request)
        await context.mesh.vms[NODE].node.wait(EXIT_S)
        context.runs = await runs(context)

    context.run(act())


@behave.then('the call receives a complete answer')
def then_answered(context: typing.Any) -> None:
    assert context.request.status, context.request


@behave.then('the call ran if and only if it was answered with 200')
def then_ran(context: typing.Any) -> None:
    count = context.runs[context.request.identity]
    assert count == (context.request.status == 200), (context.request, count)


@behave.when(
    'a call that runs for {work_s:d} s is in flight at SIGTERM to a node'
)
def when_long(context: typing.Any, work_s: int) -> None:
    request = Request('long', NODE, work_s=work_s, deadline_s=work_s)
    context.request = request

    async def act() -> None:
        reader, writer = await connect(context, NODE)
        writer.write(request.encode())
        await asyncio.sleep(0.3)
        stop(context, NODE)
        await receive(request, reader)
        await context.mesh.vms[NODE].node.wait(EXIT_S)
        context.ended_at = time.monotonic()

    context.run(act())


class Caller:
    """Sends requests over one open connection until its node is gone."""

    def __init__(
        self, context: typing.Any, name: str, number: int, seed: int
    ) -> None:
        self.context = context
        self.name = name
        self.number = number
        self.random = random.Random(f'{seed} {name} {number}')
        self.requests: list[Request] = []

    def next_request(self) -> Request:
        """Return a request of a random kind and duration."""
        is_booking = self.random.random() < 0.5
        return Request(
            f'{self.name}-{self.number}-{len(self.requests)}',
            self.name,
            'POST' if is_booking else 'GET',
            '/booking/a' if is_booking else '/lookup/a',
            round(self.random.uniform(0.01, 1.2), 3),
            body=b'x' * self.random.randrange(2000),
            answer_bytes=self._answer_bytes(),
        )

    def _answer_bytes(self) -> int:
        """Return the size of an answer, of which one in four is large."""
        is_large = self.random.random() < LARGE_SHARE
        return self.random.randrange(MAX_ANSWER_BYTES if is_large else 2000)

    async def run(self, until: asyncio.Event) -> None:
        """Send requests until told to end, each after the last answer."""
        while not until.is_set():
            with contextlib.suppress(OSError):
                await self.use_connection(until)
            await asyncio.sleep(self.random.uniform(0.05, 0.2))

    async def use_connection(self, until: asyncio.Event) -> None:
        """Send requests over one connection until it ends."""
        reader, writer = await connect(self.context, self.name)
        is_kept = True
        while is_kept and not until.is_set():
            request = self.next_request()
            self.requests.append(request)
            request.sent_at = time.monotonic()
            writer.write(request.encode())
            is_kept = await receive(request, reader)
            await asyncio.sleep(self.random.uniform(0.0, 0.3))


@behave.when(
    'callers use open connections to nodes that stop in turn, with seed '
    '{seed:d}'
)
def when_soak(context: typing.Any, seed: int) -> None:
    """Play the stops; ``-D seed=N`` of behave replaces the seed."""
    seed = int(context.config.userdata.get('seed', seed))
    rng = random.Random(seed)
    names = rng.sample(sorted(context.mesh.vms), 3)

    async def restart(name: str) -> None:
        stop(context, name)
        await context.mesh.vms[name].node.wait(EXIT_S)
        context.mesh.start_node(name)

    async def act() -> None:
        until = asyncio.Event()
        callers = [
            Caller(context, name, number, seed)
            for name in context.mesh.vms
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(one.run(until)) for one in callers]
        await asyncio.sleep(1.0)
        stops = []
        for name in names:
            stops.append(asyncio.create_task(restart(name)))
            await asyncio.sleep(rng.uniform(0.5, 3.5))
            context.mesh.vms[rng.choice(names)].node.signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.5, 3.5))
        await asyncio.gather(*stops)
        until.set()
        await asyncio.gather(*tasks)
        context.requests = [r for one in callers for r in one.requests]
        context.runs = await runs(context)

    context.run(act())


@behave.then('every call that ran has received an answer')
def then_none_lost(context: typing.Any) -> None:
    lost = [
        request
        for request in context.requests
        if context.runs[request.identity] and not request.status
    ]
    assert not lost, lost
    answered = sum(request.status == 200 for request in context.requests)
    assert answered >= len(context.requests) / 2, answered


@behave.then('no call has waited for its whole time')
def then_no_timeout(context: typing.Any) -> None:
    late = [item for item in context.requests if item.status == 504]
    assert not late, late


@behave.then('every call that is not idempotent ran at most once')
def then_at_most_once(context: typing.Any) -> None:
    wrong = [
        (request, context.runs[request.identity])
        for request in context.requests
        if request.method == 'POST'
        and context.runs[request.identity]
        > (request.status not in (503, 429, 408, 421))
    ]
    assert not wrong, wrong


@behave.when(
    'a node gets SIGTERM while a caller reads {size:d} MiB from it at'
    ' {rate:d} MiB/s'
)
def when_slow_reader(context: typing.Any, size: int, rate: int) -> None:
    host, _, port = (
        context.mesh.vms[NODE].addresses['outbound'].rpartition(':')
    )
    request = Request(
        'slow', NODE, work_s=0.01, answer_bytes=size * MIB
    ).encode()

    async def act() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
            sock.setblocking(False)
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, request)
            context.received = 0
            while part := await loop.sock_recv(sock, PART_BYTES):
                if not context.received:
                    stop(context, NODE)
                    ending = asyncio.create_task(note_end(context, NODE))
                context.received += len(part)
                if context.received >= size * MIB:
                    break
                due = context.stopped_at + context.received / (rate * MIB)
                await asyncio.sleep(max(due - time.monotonic(), 0.0))
        await ending

    context.expected = size * MIB
    context.run(act())


@behave.then('the caller has received the whole answer')
def then_whole_answer(context: typing.Any) -> None:
    assert context.received >= context.expected, context.received


@behave.when(
    '{count:d} bookings with answers of {size:d} bytes end at a node that'
    " stops while the callers' node is held up for {held_s:g} s"
)
def when_held_up(
    context: typing.Any, count: int, size: int, held_s: float
) -> None:
    """Hold up the callers' node shortly before the calls end."""
    context.requests = [
        Request(
            f'booking-{number}',
            NODE,
            'POST',
            '/booking/a',
            work_s=LATE_WORK_S,
            deadline_s=9,
            answer_bytes=size,
        )
        for number in range(count)
    ]

    async def send(request: Request) -> None:
        reader, writer = await connect(context, NODE)
        writer.write(request.encode())
        await receive(request, reader)

    async def act() -> None:
        callers = [
            asyncio.create_task(send(request)) for request in context.requests
        ]
        await asyncio.sleep(0.3)
        stop(context, BOOKING_NODE)
        await asyncio.sleep(LATE_WORK_S - 0.5)
        context.mesh.vms[NODE].node.signal(signal.SIGSTOP)
        await asyncio.sleep(held_s)
        context.mesh.vms[NODE].node.signal(signal.SIGCONT)
        await context.mesh.vms[BOOKING_NODE].node.wait(EXIT_S)
        context.ended_at = time.monotonic()
        await asyncio.gather(*callers)
        context.runs = await runs(context)

    context.run(act())


@behave.then('each of them has received the answer of its target')
def then_all_succeeded(context: typing.Any) -> None:
    wrong = collections.Counter(
        request.status for request in context.requests if request.status != 200
    )
    assert not wrong, wrong


@behave.when(
    'the store is held up and a node with a draining target stops with a call'
    ' of {work_s:d} s'
)
def when_store_held_up(context: typing.Any, work_s: int) -> None:
    request = Request('long', NODE, work_s=work_s, deadline_s=work_s)
    context.request = request

    async def act() -> None:
        reader, writer = await connect(context, NODE)
        writer.write(request.encode())
        await asyncio.sleep(0.3)
        address = context.mesh.vms[NODE].addresses['app']
        await context.mesh.post_control(address, 'change', state='draining')
        await asyncio.sleep(0.5)
        hold_up_store(context)
        stop(context, NODE)
        await receive(request, reader)
        context.code = await context.mesh.vms[NODE].node.wait(EXIT_S)
        context.ended_at = time.monotonic()

    context.run(act())


def hold_up_store(context: typing.Any) -> None:
    """Stop the process of the store for the rest of the scenario."""
    (store,) = [p for p in context.fleet.processes if p.name == 'store']
    store.signal(signal.SIGSTOP)


@behave.then('the node has stopped by itself')
def then_exit_code(context: typing.Any) -> None:
    assert context.code == 0, context.code
