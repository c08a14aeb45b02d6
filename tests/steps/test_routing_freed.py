"""Steps of refused calls that are freed, in simulated time."""

from __future__ import annotations

import asyncio
import typing
import weakref

import behave

from pomelobend.http import message
from pomelobend.routing import call as call_module
from tests import collector
from tests.steps import test_routing_startup as startup_steps

HEADERS = (
    ('host', 'bells.example'),
    ('x-attempt-id', 'a1'),
    ('x-deadline-ms', '2000'),
)


@behave.given('a node that knows {count:d} targets that refuse calls')
def given_refusing(context: typing.Any, count: int) -> None:
    table = startup_steps.route_table(500)
    startup_steps.given_start(context, table, lambda: None, 0.0)
    for number in range(count):
        context.remote.learn(f'n{number}')
        context.remote.refusing.add(f'n{number}')


@behave.when('{count:d} calls are sent to it without the garbage collector')
def when_sent(context: typing.Any, count: int) -> None:
    context.held = weakref.WeakSet()
    candidates = context.remote.candidates

    def note(
        call: call_module.Call, tried: typing.Container[str]
    ) -> list[typing.Any]:
        context.held.add(call)
        return candidates(call, tried)

    context.remote.candidates = note

    async def act() -> list[int]:
        statuses = []
        for _ in range(count):
            request = message.Request('GET', b'/lookup/a', [*HEADERS])
            statuses.append((await context.front.answer(request)).status)
        await asyncio.sleep(0.1)
        return statuses

    collector.disable(context)
    context.statuses = context.run(act())


@behave.then('all of them were refused and none is held')
def then_freed(context: typing.Any) -> None:
    assert set(context.statuses) == {503}, context.statuses
    assert not context.held, len(context.held)
