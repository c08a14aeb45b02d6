"""Sockets for the addresses of a program, from its start on.

An address may be in use for a moment, as by a process that is about to end.
The module imports next to nothing: callers wait until the sockets listen.
"""

from __future__ import annotations

import errno
import time

from pomelobend import addresses
from pomelobend import errors

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections import abc
    import socket

PATIENCE_S = 10.0
"""Time for which an address in use is tried again; the process that had it
may need its whole grace period to end."""

PAUSE_S = 0.05
"""Pause between two attempts."""


def open_all(
    listening: abc.Iterable[str],
    reserved: abc.Iterable[str],
    report: abc.Callable[[str, str], None],
    is_stopped: abc.Callable[[], bool],
) -> dict[str, socket.socket]:
    """Return sockets by address; wait while an address is in use.

    Parameters
    ----------
    listening, reserved : iterable of str
        Addresses at which connections are queued at once, and those at which
        they are refused until the program listens.
    report : callable
        Called once with the first address in use and the reason.
    is_stopped : callable
        Returns whether a signal to stop has come. No address is taken then,
        and waiting is given up.

    Raises
    ------
    errors.AddressUnusableError
    errors.StartStoppedError
    """
    ends_at = time.monotonic() + PATIENCE_S
    waiting = [(address, addresses.listen) for address in listening]
    waiting += [(address, addresses.bind) for address in reserved]
    _check_distinct([address for address, _ in waiting])
    sockets: dict[str, socket.socket] = {}
    is_reported = False
    if is_stopped():
        raise errors.StartStoppedError('before an address was taken')
    while True:
        in_use = {}
        for address, attempt in waiting:
            try:
                sockets[address] = attempt(address)
            except OSError as error:
                in_use[address] = _in_use_reason(address, error)
        if not in_use:
            return sockets
        waiting = [item for item in waiting if item[0] in in_use]
        address, reason = next(iter(in_use.items()))
        if time.monotonic() > ends_at:
            raise errors.AddressUnusableError(
                f'{address}: {reason}, for {PATIENCE_S:g} s'
            )
        if not is_reported:
            is_reported = True
            report(address, reason)
        if is_stopped():
            raise errors.StartStoppedError(f'{address}: {reason}')
        time.sleep(PAUSE_S)


def _check_distinct(wanted: list[str]) -> None:
    for address in wanted:
        if wanted.count(address) > 1:
            raise errors.AddressUnusableError(f'{address}: named twice')


def _in_use_reason(address: str, error: OSError) -> str:
    """Return the reason if an address is in use, or raise for any other."""
    if error.errno == errno.EADDRINUSE:
        return error.strerror
    reason = error.strerror or str(error)
    raise errors.AddressUnusableError(f'{address}: {reason}') from error
