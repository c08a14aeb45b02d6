"""Steps of answers between nodes with odd statuses."""

from __future__ import annotations

import typing

import behave

from pomelobend import errors
from tests.steps import test_peers_limits as limit_steps


@behave.given('another node that answers a call with status {status:d}')
def given_peer(context: typing.Any, status: int) -> None:
    context.peer = limit_steps.Peer('nothing', lambda: None, status)
    context.stack.callback(context.peer.thread.join, limit_steps.WAIT_S)


@behave.then(
    'the call has failed as one of a lost node, with an unknown outcome'
)
def then_lost(context: typing.Any) -> None:
    failure = context.answer
    assert isinstance(failure, errors.CallRefusedError), failure
    assert failure.reason is errors.Reason.PEER_LOST, failure
    assert failure.run is errors.Run.UNKNOWN, failure


@behave.then('the call to the other node is not kept open')
def then_closed(context: typing.Any) -> None:
    (connection,) = context.pool.all()
    assert not connection.streams, connection.streams
