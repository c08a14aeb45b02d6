"""Steps of sending tallies of outcomes between nodes."""

from __future__ import annotations

import typing

import behave

from pomelobend import errors
from pomelobend.mesh import tally_codec
from pomelobend.rollouts import evidence

TALLIES = {
    'lookup': evidence.Tally(20, 5, 3.25, 2),
    'booking': evidence.Tally(7, 0, 1.5),
    'deposit': evidence.Tally(0, 3, 0.6, 3),
}
MALFORMED = {
    'too short': [1, 2],
    'negative': [1, -2, 3],
    'not a number': [1, 'two', 3],
}


@behave.when('tallies with good outcomes, failures and timeouts are sent')
def when_sent(context: typing.Any) -> None:
    context.routes = tally_codec.encode(TALLIES)


@behave.then('they arrive as they were')
def then_whole(context: typing.Any) -> None:
    assert tally_codec.decode(context.routes) == TALLIES


@behave.then(
    'each route has its good and bad outcomes, and no other route has any'
)
def then_outcomes(context: typing.Any) -> None:
    counts = {
        route: (good, bad) for route, (good, bad, _) in context.routes.items()
    }
    for route, tally in TALLIES.items():
        assert counts.pop(route) == (tally.good, tally.bad), route
    assert set(counts.values()) == {(0, 0)}, counts


@behave.when('a tally arrives that is {malformed}')
def when_malformed(context: typing.Any, malformed: str) -> None:
    try:
        tally_codec.decode({'lookup': MALFORMED[malformed]})
    except errors.ProtocolError as error:
        context.error = error


@behave.then('it is a protocol error')
def then_error(context: typing.Any) -> None:
    assert isinstance(context.error, errors.ProtocolError)
