"""Steps for the memory that broadcast messages take."""

from __future__ import annotations

import types
import typing

import behave

from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.mesh import broadcasts
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.peers import options

MIB = 1024 * 1024
FINGERPRINT_BYTES = 8
REPORT = codec.encode(messages.Crashed((bytes(FINGERPRINT_BYTES),)))
ODD = {
    'a name of 1 MiB': ['n' * MIB, 1, 1, REPORT],
    'a number of 1 MiB': ['n2', 1, 1 << (8 * MIB), REPORT],
}


class Receiver:
    """A connection that keeps what is sent."""

    hello = types.SimpleNamespace(domain='vik')

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send_if_open(self, message: messages.Message) -> None:
        """Keep a message."""
        self.sent.append(message)


def report(calls: int, number: int) -> list:
    """Return an item with a report of a crash."""
    fingerprints = [
        call.to_bytes(FINGERPRINT_BYTES, 'big') for call in range(calls)
    ]
    body = codec.encode(messages.Crashed(tuple(fingerprints)))
    return ['n2', 1, number, body]


@behave.given('a node that keeps all reports of crashes')
def given_node(context: typing.Any) -> None:
    directory = types.SimpleNamespace(
        own=members.Member('n1', 1, 0, 'vik', ''),
        is_own_domain=lambda domain: True,
        neighbours=list,
    )
    context.broadcaster = broadcasts.Broadcaster(
        directory,
        types.SimpleNamespace(subscribers=()),
        None,
        lambda origin, message: None,
        is_current=lambda message: True,
    )


@behave.when(
    '{count:d} reports of crashes with {calls:d} calls arrive from another '
    'node'
)
def when_reports(context: typing.Any, count: int, calls: int) -> None:
    context.count = count
    for number in range(count):
        context.broadcaster.handle(
            Receiver(), messages.Broadcasts([report(calls, number)])
        )
        context.broadcaster.flush()


@behave.then('it keeps {kept:d} of them, the newest')
def then_keeps(context: typing.Any, kept: int) -> None:
    numbers = [number for _, _, number in context.broadcaster.kept]
    newest = list(range(context.count - kept, context.count))
    assert numbers == newest, (len(numbers), numbers[:3])
    size = sum(len(i.body) for i, _ in context.broadcaster.kept.values())
    assert size <= MIB, size


@behave.then('all that it keeps goes into one message to a node that starts')
def then_sent(context: typing.Any) -> None:
    receiver = Receiver()
    context.broadcaster.catch_up(receiver)
    (message,) = receiver.sent
    assert len(message.items) == len(context.broadcaster.kept)
    assert len(codec.encode(message)) <= options.MESSAGE_BYTES


@behave.when('a message with {what} arrives from another node')
def when_odd(context: typing.Any, what: str) -> None:
    context.refusal = None
    try:
        context.broadcaster.handle(
            Receiver(), messages.Broadcasts([ODD[what]])
        )
    except errors.ProtocolError as error:
        context.refusal = error


@behave.then('it is refused, and nothing is remembered')
def then_refused(context: typing.Any) -> None:
    assert context.refusal is not None
    assert not context.broadcaster.seen
    assert not context.broadcaster.kept
