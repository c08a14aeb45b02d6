"""Standard output and error of a node, whose reader may be slow or gone.

The streams of the interpreter wait for their reader, and so would hold up the
event loop and the end of the process. These drop what cannot be written at
once and count it. The module imports next to nothing, as it is used before
the sockets are open.
"""

from __future__ import annotations

import os
import stat
import sys

INPUT, OUTPUT, ERROR = range(3)


class Stream:
    """A text stream that never waits for its reader.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    lost : int
        Number of writes that were dropped, wholly or in part.
    """

    encoding = 'utf-8'
    errors = 'backslashreplace'

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lost = 0
        self._is_cut = False

    def write(self, text: str) -> int:
        """Write a text or drop it; return its length."""
        self.put(text)
        return len(text)

    def put(self, text: str) -> bool:
        """Write a text; return False if any of it was dropped."""
        data = text.encode(self.encoding, self.errors)
        if self._is_cut:
            data = b'\n' + data
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            written = 0
        if written:
            self._is_cut = written < len(data)
        if written < len(data):
            self.lost += 1
            return False
        return True

    def flush(self) -> None:
        """Do nothing, as nothing is buffered."""

    def isatty(self) -> bool:
        """Return whether a terminal reads the stream."""
        return os.isatty(self.descriptor)

    def fileno(self) -> int:
        """Return the descriptor."""
        return self.descriptor


output = Stream(OUTPUT)
error = Stream(ERROR)


def take_over() -> None:
    """Let the program write to these streams, before it opens a descriptor.

    Standard descriptors that are closed are opened, as a socket would take
    their numbers. Once the streams are in place, a call does nothing.
    """
    if sys.stdout is output and sys.stderr is error:
        return
    for descriptor in (INPUT, OUTPUT, ERROR):
        _open_if_closed(descriptor)
    for stream in (output, error):
        _stop_waiting(stream.descriptor)
    sys.stdout, sys.stderr = output, error


def _open_if_closed(descriptor: int) -> None:
    try:
        os.fstat(descriptor)
    except OSError:
        os.open(os.devnull, os.O_RDWR)


def _stop_waiting(descriptor: int) -> None:
    """Let writes to a descriptor fail where they would wait.

    The flag belongs to the open file, which other processes may share. So a
    pipe or a device is opened again, for this process alone, where it can be.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        own = os.open(f'/proc/self/fd/{descriptor}', flags)
    except OSError:
        os.set_blocking(descriptor, False)
        return
    os.dup2(own, descriptor)
    os.close(own)
