"""Steps for the notice of stalls of the event loop."""

from __future__ import annotations

import asyncio
import time
import typing

import behave

from pomelobend import clock as clocks
from pomelobend import stalls

PAUSE_S = 0.05


@behave.when('an event loop is held up for {seconds:g} s')
def when_held_up(context: typing.Any, seconds: float) -> None:
    context.watch = stalls.StallWatch(clocks.SystemClock())

    async def act() -> None:
        task = asyncio.create_task(context.watch.run())
        await asyncio.sleep(PAUSE_S)
        time.sleep(seconds)
        await asyncio.sleep(stalls.INTERVAL_S + PAUSE_S)
        task.cancel()

    context.run(act())


@behave.then('one stall of at least {seconds:g} s is counted')
def then_counted(context: typing.Any, seconds: float) -> None:
    assert context.watch.count == 1, context.watch
    assert context.watch.longest_s >= seconds, context.watch


@behave.then('no stall is counted')
def then_not_counted(context: typing.Any) -> None:
    assert context.watch.count == 0, context.watch
