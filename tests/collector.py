"""The garbage collector of a scenario."""

from __future__ import annotations

import gc
import typing


def disable(context: typing.Any) -> None:
    """Run the garbage collector, and then no more in the scenario."""
    gc.collect()
    gc.disable()
    context.stack.callback(gc.enable)
