"""Memory for the bodies that a node collects before it passes them on.

A body without end, or too many large ones, would fill the memory of the node
and end all its calls. So the sum is limited. If it is exceeded, the largest
body is given up: a body without end becomes the largest soon, and small ones
beside it are not touched.
"""

from __future__ import annotations

import contextlib
import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

MAX_BYTES = 32 * 1024 * 1024
"""Limit where the memory of the VM is not known. A body is copied twice on
its way, so that the peak is three times as much."""

MEMORY_SHARE = 1 / 6
"""Limit as a share of the memory that the node may use."""


@attrs.define(eq=False)
class Body:
    """A body that is being collected.

    Parameters
    ----------
    size : int
        Bytes collected so far.
    is_given_up : bool
        Whether its memory was needed for others.
    """

    size: int = 0
    is_given_up: bool = False


@attrs.define(eq=False)
class BodyMemory:
    """Limits the memory of all bodies that are being collected.

    Parameters
    ----------
    max_bytes : int
    bodies : set of Body
    """

    max_bytes: int = MAX_BYTES
    bodies: set[Body] = attrs.field(factory=set)
    used_bytes: int = 0

    @classmethod
    def of_node(cls, memory_bytes: int | None) -> BodyMemory:
        """Return the limit for a node that may use an amount of memory."""
        if not memory_bytes:
            return cls()
        return cls(round(MEMORY_SHARE * memory_bytes))

    def check_length(self, length: int | None) -> None:
        """Reject a body whose announced length exceeds the limit.

        Raises
        ------
        errors.AnswerBrokenError
        """
        if length is not None and length > self.max_bytes:
            raise _too_large(length)

    async def collect(self, parts: abc.AsyncGenerator[bytes]) -> bytes:
        """Return a whole body; close its source if it is given up.

        Raises
        ------
        errors.AnswerBrokenError
            It was the largest one when the limit was exceeded.
        """
        collected = []
        with self._hold() as body:
            async with contextlib.aclosing(parts):
                async for part in parts:
                    self._add(body, len(part))
                    collected.append(part)
            return b''.join(collected)

    @contextlib.contextmanager
    def _hold(self) -> abc.Iterator[Body]:
        body = Body()
        self.bodies.add(body)
        try:
            yield body
        finally:
            self._drop(body)

    def _add(self, body: Body, size: int) -> None:
        """Count a part; give up the largest bodies above the limit.

        Raises
        ------
        errors.AnswerBrokenError
        """
        body.size += size
        if not body.is_given_up:
            self.used_bytes += size
        while self.used_bytes > self.max_bytes:
            largest = max(self.bodies, key=lambda item: item.size)
            largest.is_given_up = True
            self._drop(largest)
        if body.is_given_up:
            raise _too_large(body.size)

    def _drop(self, body: Body) -> None:
        if body in self.bodies:
            self.bodies.discard(body)
            self.used_bytes -= body.size


def _too_large(size: int) -> errors.AnswerBrokenError:
    return errors.AnswerBrokenError(f'a body of {size} bytes is too large')
