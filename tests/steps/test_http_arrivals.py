"""Steps for the time at which requests came to the HTTP server."""

from __future__ import annotations

import asyncio
import errno
import socket
import threading
import time
import typing

import behave

from pomelobend.http import arrivals
from pomelobend.metrics import exposition
from pomelobend import sockets
from tests.steps import test_http_closing as closing_steps
from tests.steps import test_http_server as server_steps

READ_AT_S = 10.0
SLACK_S = 0.05
REQUESTS = 3
LAST = b'/last/'
BODY = b'hello'
LARGE_BODY = bytes(1_000_000)
KEPT = {'waits on a connection that was used'}


class Option:
    """A socket whose option of TCP is missing or tells nothing."""

    def __init__(self, what: str) -> None:
        self.what = what
        self.asked = 0

    def get_extra_info(self, name: str) -> Option:
        """Return itself, as the socket of a transport."""
        return self

    def is_closing(self) -> bool:
        """Return that the connection is open."""
        return False

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return what the system tells."""
        if self.what == 'knows no such option':
            raise OSError(errno.ENOPROTOOPT, 'Protocol not available')
        return bytes(size if self.what == 'tells zeros' else size // 2)

    def since_input_s(self, transport: typing.Any) -> float:
        """Ask this socket instead of that of a transport."""
        self.asked += 1
        return sockets.since_input_s(self)


def clock_s() -> float:
    """Return the time of the clock of the server."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@behave.given('an HTTP server on a system that {what}')
def given_system(context: typing.Any, what: str) -> None:
    closing_steps.given_idle(context, 30.0)
    context.option = Option(what)
    context.server.arrivals = arrivals.Arrivals(context.option.since_input_s)


def send(context: typing.Any, what: str) -> socket.socket:
    """Send a request, while the loop runs only if its body waits."""
    client = closing_steps.open_client(context)
    if what in KEPT:
        context.run(closing_steps.call(client, b'/first/'))
    data = closing_steps.request(LAST, BODY)
    context.sent_at = clock_s()
    if what == 'waits for the rest of its body':
        client.sendall(data[: -len(BODY)])
        context.run(asyncio.sleep(0.1))
        data = BODY
    elif what == 'waits with a body that a socket cannot hold':
        context.server.bounds.body_bytes = len(LARGE_BODY)
        data = closing_steps.request(LAST, LARGE_BODY)
        threading.Thread(target=client.sendall, args=(data,)).start()
        return client
    elif what == 'waits behind another one':
        client.sendall(closing_steps.request(b'/first/'))
    client.sendall(data)
    return client


@behave.when('a request waits {where} for {seconds:f} s')
def when_waits(context: typing.Any, where: str, seconds: float) -> None:
    client = send(context, f'waits {where}')
    time.sleep(seconds)
    context.read_at = clock_s()
    context.run(asyncio.to_thread(closing_steps.receive, client))
    context.run(asyncio.sleep(SLACK_S))


def last_began_at(context: typing.Any) -> float:
    """Return the time of the request that waited."""
    (request,) = [r for r in context.handler.requests if r.target == LAST]
    return request.began_at


@behave.then('its time counts from when it came')
def then_came(context: typing.Any) -> None:
    late_s = last_began_at(context) - context.sent_at
    assert abs(late_s) < SLACK_S, late_s


@behave.then('{count:d} requests count as read late')
def then_late(context: typing.Any, count: int) -> None:
    assert context.server.counters.get('requests_read_late') == count
    assert 'requests_read_late' in exposition.DESCRIPTIONS


@behave.then('its time counts from when it is read')
def then_read(context: typing.Any) -> None:
    late_s = last_began_at(context) - context.read_at
    assert 0.0 <= late_s < SLACK_S, late_s


@behave.then('the server has asked {asked:d} times for {requests:d} requests')
def then_asked(context: typing.Any, asked: int, requests: int) -> None:
    client = closing_steps.open_client(context)
    for _ in range(requests - 1):
        context.run(closing_steps.call(client, b'/more/'))
    assert len(context.handler.requests) == requests
    assert context.option.asked == asked, context.option.asked


@behave.when('a request waits for a server that starts {seconds:f} s later')
def when_starts(context: typing.Any, seconds: float) -> None:
    context.handler = server_steps.Handler()
    context.server.answer = context.handler.answer
    context.server.listening_since = clock_s()
    client = send(context, '')
    time.sleep(seconds)
    context.run(context.server.listen())
    context.stack.callback(context.server.stop_listening)
    context.run(asyncio.to_thread(closing_steps.receive, client))


@behave.when(
    'bytes are read at 10 s that were possible from {first_s:f} s on, of which'
    ' the kernel tells {waited_s:f} s'
)
def when_asked(context: typing.Any, first_s: float, waited_s: float) -> None:
    source = arrivals.Arrivals(lambda _: waited_s)
    context.came_at = source.came_at(None, READ_AT_S, first_s)


@behave.when(
    'the time of bytes is asked for on a connection that was closed here'
)
def when_closed(context: typing.Any) -> None:
    source = context.server.arrivals

    async def act() -> None:
        client = closing_steps.open_client(context)
        await closing_steps.call(client, b'/first/')
        (connection,) = context.server.connections
        connection.transport.close()
        for pause_s in (0.0, SLACK_S):
            await asyncio.sleep(pause_s)
            transport = connection.transport
            context.came_at = source.came_at(transport, READ_AT_S, 0.0)

    context.run(act())
    assert source.is_known


@behave.then('they came at {came_s:f} s')
def then_at(context: typing.Any, came_s: float) -> None:
    assert abs(context.came_at - came_s) < 1e-9, context.came_at
