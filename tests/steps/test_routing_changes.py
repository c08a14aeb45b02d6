"""Steps for what logs and metrics tell of changes of the routes."""

from __future__ import annotations

import typing

import behave
from structlog import testing

from pomelobend.mesh import front as fronts
from pomelobend.mesh import state as states
from pomelobend.metrics import counters as counter_module
from standins import mesh


_NEWER = {
    'adds': mesh.configuration(3, a='tonabok', b='tonabok', c='tonabok'),
    'removes': mesh.configuration(3, a='tonabok'),
    'changes': mesh.configuration(3, a='tonabok', b='tilbodasafn'),
}


@behave.given('a configuration in force with the routes a and b')
def given_routes(context: typing.Any) -> None:
    context.state = states.State()
    context.state.apply_config(mesh.configuration(2, a='tonabok', b='tonabok'))
    assert context.state.version == 2


@behave.when('a newer configuration {changes} a route')
def when_changed(context: typing.Any, changes: str) -> None:
    with testing.capture_logs() as lines:
        context.state.apply_config(_NEWER[changes])
    context.lines = [
        line for line in lines if line['event'] == 'state: routes changed'
    ]


@behave.then('the log names {route} as {kind}')
def then_named(context: typing.Any, route: str, kind: str) -> None:
    (line,) = context.lines
    assert line[kind] == 1, line
    assert line['names'] == {kind: (route,)}, line


@behave.when(
    'both routes have been called and a newer configuration removes a route'
)
def when_called(context: typing.Any) -> None:
    context.counters = counter_module.Counters()
    front = fronts.Front(
        'tonabok', None, context.state, None, context.counters, None, None
    )
    context.state.on_table.append(front.forget_removed_routes)
    for name in ('a', 'b'):
        context.counters.add('route_calls', f'{name}/200')
    context.state.apply_config(_NEWER['removes'])


@behave.then('calls are counted for the route a only')
def then_counted(context: typing.Any) -> None:
    assert set(context.counters.counts) == {('route_calls', 'a/200')}
