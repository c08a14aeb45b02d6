"""Steps for the connections and records that a directory keeps."""

from __future__ import annotations

import types
import typing

import attrs
import behave

from pomelobend import clock as clocks
from pomelobend.membership import member as members
from pomelobend.mesh import directory as directories
from pomelobend.peers import codec
from pomelobend.peers import connection as connections
from pomelobend.peers import messages

ADDRESS = '127.0.0.1:1'
OWN = members.Member('n1', 1, 0, 'vik', '127.0.0.1:2')
RECORD = members.Member('n2', 1, 7, 'vik', ADDRESS)


def connection() -> connections.Connection:
    """Return a connection to the node."""
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        RECORD.node,
        RECORD.incarnation,
        RECORD.domain,
        ADDRESS,
    )
    return connections.Connection(
        None, hello, True, None, None, clocks.SystemClock()
    )


def announce(
    context: typing.Any, on: connections.Connection, record: members.Member
) -> None:
    """Let the record of the node arrive on a connection."""
    message = messages.Announce(codec.member_to_wire(record))
    context.directory.handle_announce(on, message)


@behave.given(
    'a node that was connected to again while an older connection drains'
)
def given_connections(context: typing.Any) -> None:
    context.older, context.newer = connection(), connection()
    pool = types.SimpleNamespace(all=lambda: [context.older, context.newer])
    context.directory = directories.Directory(OWN, pool, clocks.SystemClock())
    context.directory.learn(RECORD.node, ADDRESS, RECORD.domain)
    announce(context, context.older, RECORD)
    context.older.is_draining = True
    announce(context, context.newer, RECORD)


@behave.when(
    'it announces a record on both connections, last on the older one'
)
def when_announced(context: typing.Any) -> None:
    context.record = attrs.evolve(RECORD, sequence=8, slots=6)
    announce(context, context.newer, context.record)
    announce(context, context.older, context.record)


@behave.when('it announces a record on the newer connection')
def when_announced_once(context: typing.Any) -> None:
    context.record = attrs.evolve(RECORD, sequence=8, slots=6)
    announce(context, context.newer, context.record)


@behave.when(
    'an older record arrives on the older connection, which is still usable'
)
def when_late(context: typing.Any) -> None:
    context.older.is_draining = False
    announce(context, context.older, RECORD)


@behave.when('the older connection waits for calls of a silent node')
def when_finishing(context: typing.Any) -> None:
    context.older.was_silent = context.older.is_finishing = True


@behave.when('the newer connection ends')
def when_ended(context: typing.Any) -> None:
    context.newer.is_closed = True
    context.directory.handle_close(context.newer)


@behave.then('it is reached over the newer connection')
def then_newer(context: typing.Any) -> None:
    assert context.directory.live[RECORD.node][0] is context.newer


@behave.then('the record that it announced is known')
def then_known(context: typing.Any) -> None:
    found = context.directory.live[RECORD.node][1]
    assert found == context.record, found


@behave.then('the node is lost')
def then_lost(context: typing.Any) -> None:
    assert RECORD.node not in context.directory.live
