"""Set-up of every scenario: an event loop and what it has opened."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import typing


logging.getLogger('picows').setLevel(logging.CRITICAL)


def before_scenario(context: typing.Any, scenario: typing.Any) -> None:
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete
    context.stack = contextlib.AsyncExitStack()
    context.fleet = None


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    if scenario.status != 'passed' and context.fleet is not None:
        print(context.fleet.logs()[-8000:])
    context.run(context.stack.aclose())
    context.loop.close()
