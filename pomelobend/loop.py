"""The event loop of every process of the project."""

from __future__ import annotations

import os
import typing

if typing.TYPE_CHECKING:
    from collections import abc


def run(work: abc.Callable[[], abc.Coroutine]) -> None:
    """Run a coroutine function on uvloop, without an io_uring.

    libuv reads the variable when the loop is made, so it is set here, in
    the program itself, before uvloop is imported.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    import uvloop

    uvloop.run(work())
