"""Calls counted by window and team: at a node, in a domain, and of all.

Counts of a window only grow, so that those of a sender are merged by taking
the larger value; duplicates and reordering are harmless.
"""

from __future__ import annotations

import json
import math
import sys
import typing
import zlib

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

Counts = dict[str, int]
"""Number of calls by team."""

Sender = tuple[str, int]
"""Name and incarnation of a node."""

KEPT_WINDOWS = 24
"""Windows for which a node keeps its own counts, to resend them."""

DETAILED_WINDOWS = 4
"""Windows for which counts are kept by sender. With 20 nodes and 80 teams
each window takes some 150 kB."""

PACKED_AFTER_WINDOWS = 4
"""Age in windows from which sums are kept compressed, while the usage API
cannot be reached."""

MAX_WINDOWS = 1440
"""Number of windows whose sums are kept at most: 2 h of 5 s each. With 80
teams in 4 domains a compressed window takes 1.3 kB."""


@attrs.frozen
class Windows:
    """Division of the time since 1970 into windows of ``length_s``."""

    length_s: float

    def number(self, at: float) -> int:
        """Return the window of a time in seconds since 1970."""
        return math.floor(at / self.length_s)

    def end(self, window: int) -> float:
        """Return the end of a window in seconds since 1970."""
        return (window + 1) * self.length_s


@attrs.define(eq=False)
class LocalCounts:
    """Counts of the calls that were sent to the local target.

    Parameters
    ----------
    by_window : dict
    changed : dict
        By window and team, the number of the round of the last change.
    round : int
        Number of the current round; each flush begins another one.
    """

    windows: Windows
    by_window: dict[int, Counts] = attrs.field(factory=dict)
    changed: dict[int, dict[str, int]] = attrs.field(factory=dict)
    round: int = 1

    def note(self, team: str, at: float) -> None:
        """Count a call that is sent at a time in seconds since 1970."""
        window = self.windows.number(at)
        counts = self.by_window.setdefault(window, {})
        counts[team] = counts.get(team, 0) + 1
        self.changed.setdefault(window, {})[team] = self.round

    def withdraw(self, team: str, at: float) -> None:
        """Take back a call that was counted at a time and has not run."""
        counts = self.by_window.get(self.windows.number(at))
        if counts is not None:
            counts[team] -= 1

    def begin_round(self) -> int:
        """Begin another round and return the number of the one before."""
        self.round += 1
        return self.round - 1

    def changes_since(self, last_round: int) -> dict[int, Counts]:
        """Return the counts that have changed after a round, by window."""
        found: dict[int, Counts] = {}
        for window, rounds in self.changed.items():
            counts = {
                team: self.by_window[window][team]
                for team, changed in rounds.items()
                if changed > last_round
            }
            if counts:
                found[window] = counts
        return found

    def forget_before(self, window: int) -> None:
        """Remove the windows before one."""
        for old in [w for w in self.by_window if w < window]:
            del self.by_window[old], self.changed[old]


@attrs.define(eq=False)
class DomainCounts:
    """Counts of the nodes of a failure domain, by window and sender.

    Parameters
    ----------
    by_window : dict
    closed : dict
        By window, the senders whose counts are complete.
    oldest : int
        Counts of windows before this one are ignored.
    """

    by_window: dict[int, dict[Sender, Counts]] = attrs.field(factory=dict)
    closed: dict[int, set[Sender]] = attrs.field(factory=dict)
    oldest: int = 0

    def merge(self, sender: Sender, window: int, counts: Counts) -> bool:
        """Merge counts of a sender; return whether that changed any."""
        if window < self.oldest:
            return False
        known = self.by_window.setdefault(window, {}).setdefault(sender, {})
        return merge_larger(known, counts)

    def close(self, sender: Sender, window: int) -> None:
        """Note that the counts of a sender for a window are complete."""
        if window >= self.oldest:
            self.closed.setdefault(window, set()).add(sender)

    def is_closed(self, window: int, senders: abc.Iterable[Sender]) -> bool:
        """Return whether all senders have completed a window."""
        return self.closed.get(window, set()).issuperset(senders)

    def total(self, window: int) -> Counts:
        """Return the sums over all senders."""
        return add_up(self.by_window.get(window, {}).values())

    def forget_before(self, window: int) -> None:
        """Remove the windows before one, and ignore what comes of them."""
        self.oldest = max(self.oldest, window)
        for kept in (self.by_window, self.closed):
            for old in [w for w in kept if w < window]:
                del kept[old]


@attrs.define(eq=False)
class Sums:
    """Sums of the failure domains, by window and domain.

    Parameters
    ----------
    by_window : dict
    packed : dict
        Older windows, compressed.
    oldest : int
        Sums of windows before this one are ignored.
    dropped : int
        Windows that were removed as there were too many.
    """

    by_window: dict[int, dict[str, Counts]] = attrs.field(factory=dict)
    packed: dict[int, bytes] = attrs.field(factory=dict)
    oldest: int = 0
    dropped: int = 0

    def merge(self, domain: str, window: int, counts: Counts) -> bool:
        """Merge sums of a domain; return whether that changed any."""
        if window < self.oldest:
            return False
        self._unpack(window)
        domains = self.by_window.setdefault(window, {})
        is_new = domain not in domains
        return merge_larger(domains.setdefault(domain, {}), counts) or is_new

    def domains(self, window: int) -> frozenset[str]:
        """Return the domains whose sums of a window are known."""
        return frozenset(self._read(window))

    def total(self, window: int) -> Counts:
        """Return the sums over all domains."""
        return add_up(self._read(window).values())

    def of_domain(self, domain: str) -> dict[int, Counts]:
        """Return the sums of a domain, by window."""
        windows = sorted({*self.by_window, *self.packed})
        found = {window: self._read(window).get(domain) for window in windows}
        return {w: counts for w, counts in found.items() if counts is not None}

    def forget_before(self, window: int) -> None:
        """Remove the windows before one, and ignore what comes of them."""
        self.oldest = max(self.oldest, window)
        for kept in (self.by_window, self.packed):
            for old in [w for w in kept if w < window]:
                del kept[old]

    def compress(self, current: int) -> None:
        """Compress older windows, and drop the oldest if they are too many.

        Parameters
        ----------
        current : int
            The current window.
        """
        before = current - PACKED_AFTER_WINDOWS
        for window in [w for w in self.by_window if w < before]:
            text = json.dumps(self.by_window.pop(window))
            self.packed[window] = zlib.compress(text.encode())
        excess = len(self.packed) - MAX_WINDOWS
        if excess > 0:
            self.forget_before(sorted(self.packed)[excess])
            self.dropped += excess

    def _read(self, window: int) -> dict[str, Counts]:
        text = self.packed.get(window)
        if text is not None:
            return json.loads(zlib.decompress(text))
        return self.by_window.get(window, {})

    def _unpack(self, window: int) -> None:
        if window in self.packed:
            self.by_window[window] = self._read(window)
            del self.packed[window]


def merge_larger(known: Counts, counts: Counts) -> bool:
    """Keep the larger count of each team; return whether any has grown."""
    has_grown = False
    for team, count in counts.items():
        if count > known.get(team, 0):
            known[sys.intern(team)] = count
            has_grown = True
    return has_grown


def add_up(rows: abc.Iterable[Counts]) -> Counts:
    """Return the sums of counts, by team."""
    total: Counts = {}
    for counts in rows:
        for team, count in counts.items():
            total[team] = total.get(team, 0) + count
    return total
