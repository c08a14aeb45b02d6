"""Signals, from the first line of a program to the end of its process.

The handlers are set once and are never taken back, as a signal without a
handler ends the process with all of its calls. An event loop takes its own
handlers away when it is closed, so they are not used. The module imports next
to nothing, as the time until the handlers are set counts: ``signal`` would
load ``enum``.
"""

from __future__ import annotations

import _signal as signal
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections import abc
    import types

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_held: list[tuple[int, float, float]] = []

_loop: asyncio.AbstractEventLoop | None = None

_handle: abc.Callable[[int, float, float], None] | None = None

_earliest: abc.Callable[[float], float] | None = None


def hold() -> None:
    """Hold back the signals from now on, until they are delivered."""
    for number in HANDLED:
        signal.signal(number, _receive)


def holds_stop() -> bool:
    """Return whether a signal to stop is held back."""
    return any(number != signal.SIGHUP for number, *_ in _held)


def deliver(
    loop: asyncio.AbstractEventLoop,
    handle: abc.Callable[[int, float, float], None],
    earliest: abc.Callable[[float], float] | None = None,
) -> None:
    """Call a function in an event loop for each signal, held ones first.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    handle : callable
        Gets the number, and the earliest and the latest time at which the
        signal may have come, by the clock of ``clock.SystemClock.monotonic``.
    earliest : callable or None
        Returns the earliest of these times for the latest one. It is called
        before anything else that runs in the loop after the signal.
    """
    global _loop, _handle, _earliest
    _loop, _handle, _earliest = loop, handle, earliest
    for _ in tuple(_held):
        loop.call_soon(_deliver_next)


def withhold() -> None:
    """Hold back the signals again, before the event loop ends."""
    global _loop, _handle, _earliest
    _loop = _handle = _earliest = None


def ignore() -> None:
    """Ignore the signals until the process has ended.

    The interpreter replaces handlers by the default action while it ends, but
    leaves signals alone that are ignored.
    """
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def _receive(number: int, _frame: types.FrameType | None) -> None:
    noted_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    came_at = noted_at if _earliest is None else _earliest(noted_at)
    _held.append((number, came_at, noted_at))
    if _loop is not None:
        _loop.call_soon_threadsafe(_deliver_next)


def _deliver_next() -> None:
    if _held and _handle is not None:
        _handle(*_held.pop(0))
