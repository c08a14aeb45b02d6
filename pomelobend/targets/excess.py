"""What the answer of a target has besides its body, within limits."""

from __future__ import annotations

import attrs

MAX_BYTES_WITHOUT_BODY = 64 * 1024
"""Maximum size of all that is received in a row and is no part of a body: a
head, informational responses, blank lines, chunk extensions and trailers."""

MAX_EXCESS_BYTES = 4 * 1024 * 1024
"""Maximum size of what is no part of a body in a whole response, beyond the
size of the body. Very many tiny chunks take processor time, not memory."""

MAX_INFORMATIONAL = 8
"""Most informational responses before an answer; sound targets send one or
two. One that goes on with them would keep the slot of the call until its time
limit, and leave no time for another target: 32 of them, 20 a second, did."""

MAX_SKIPPED_BYTES = 16 * 1024 * 1024
"""Maximum size of the bodies of late responses to other calls that are
skipped in a row."""


@attrs.define
class Excess:
    """Counts what is no part of the body of an answer, until it has ended.

    Parameters
    ----------
    bytes_without_body : int
        Bytes since the last part of a body.
    excess_bytes : int
        Bytes that are no part of a body, less those that are.
    skipped_bytes : int
        Size of the bodies of answers to other calls.
    informational : int
        Number of informational responses.
    """

    bytes_without_body: int = 0
    excess_bytes: int = 0
    skipped_bytes: int = 0
    informational: int = 0

    def add_informational(self) -> None:
        """Count an informational response.

        Raises
        ------
        ValueError
            There are too many of them.
        """
        self.informational += 1
        if self.informational > MAX_INFORMATIONAL:
            raise ValueError('too many informational responses')

    def add(self, size: int, body_size: int) -> None:
        """Count input that was parsed, and the bodies in it."""
        self.excess_bytes += size - 2 * body_size
        self.bytes_without_body += size
        if body_size:
            self.bytes_without_body = 0

    def check(self) -> None:
        """Reject an answer that goes on without its head or a body.

        Raises
        ------
        ValueError
        """
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            raise ValueError('too many bytes without a part of a body')
        if self.excess_bytes > MAX_EXCESS_BYTES:
            raise ValueError('too many bytes beside those of the body')
        if self.skipped_bytes > MAX_SKIPPED_BYTES:
            raise ValueError('too many bytes of answers to other calls')
