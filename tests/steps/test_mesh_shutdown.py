"""Steps for the end of a stop, in simulated time.

The store, another node and a caller of the node do not answer, so that each
step of the stop takes all the time that it is given.
"""

from __future__ import annotations

import asyncio
import datetime
import types
import typing

import behave

from pomelobend.membership import member as members
from pomelobend.mesh import shutdown

TIMER_SLACK_S = 0.01


class SilentServer:
    """A server with a caller that takes nothing of its reply."""

    in_flight = 1

    def end_connections(self) -> None:
        """Do nothing."""

    def stop_listening(self) -> None:
        """Do nothing."""

    def close_idle(self) -> None:
        """Do nothing."""


def node(context: typing.Any) -> types.SimpleNamespace:
    """Return a node whose neighbours are all silent."""
    server = SilentServer()
    return types.SimpleNamespace(
        clock=context.clock,
        settings=types.SimpleNamespace(
            bounds=types.SimpleNamespace(
                grace=datetime.timedelta(seconds=context.grace_s)
            )
        ),
        grace=context.grace,
        in_flight=1,
        http_servers=[server],
        callers_server=server,
        control=types.SimpleNamespace(publish=lambda: None),
        pool=types.SimpleNamespace(
            send_goodbye=lambda: None, close=asyncio.sleep
        ),
        gate=types.SimpleNamespace(
            in_flight=1,
            state=members.State.DRAINING,
            client=types.SimpleNamespace(close=lambda: None),
        ),
        registry=types.SimpleNamespace(deregister=asyncio.sleep),
        tasks=types.SimpleNamespace(cancel=lambda: None),
        store=types.SimpleNamespace(close=lambda: None),
    )


@behave.when(
    'its stop begins {late_s:g} s late and neither the store, another node nor'
    ' a caller answers'
)
def when_silent(context: typing.Any, late_s: float) -> None:
    async def act() -> None:
        signalled_at = context.clock.monotonic()
        await asyncio.sleep(late_s)
        await shutdown.Shutdown(node(context)).run(signalled_at, signalled_at)
        context.ended_s = context.clock.monotonic() - signalled_at

    context.run(act())


@behave.when(
    'its loop is held up until {held_until_s:g} s after SIGTERM and neither'
    ' the store, another node nor a caller answers'
)
def when_held_up(context: typing.Any, held_until_s: float) -> None:
    """Let the first wait that would end before that time end at it."""
    held = context.clock.sleep

    async def act() -> None:
        signalled_at = context.clock.monotonic()

        async def sleep(seconds: float) -> None:
            await held(seconds)
            left_s = signalled_at + held_until_s - context.clock.monotonic()
            if left_s > 0:
                await held(left_s)

        context.clock.sleep = sleep
        await shutdown.Shutdown(node(context)).run(signalled_at, signalled_at)
        context.ended_s = context.clock.monotonic() - signalled_at

    context.run(act())


@behave.then('its stop has ended {ends_s:g} s after SIGTERM')
def then_ended(context: typing.Any, ends_s: float) -> None:
    assert abs(context.ended_s - ends_s) <= TIMER_SLACK_S, context.ended_s
