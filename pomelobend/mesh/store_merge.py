"""What a node keeps when the store returns from an older copy.

Pure decisions, without a network or a clock. Objects of the store are
replaced by those of a greater position. Where the newer position is of a
later era, its objects may be older than those that are held; the rules below
say which of the held ones remain.
"""

from __future__ import annotations

import enum
import typing

import attrs

from pomelobend import errors
from pomelobend.platform import decode
from pomelobend.platform import eras
from pomelobend.rollouts import rollout as rollouts

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.platform import objects

Items = dict[str, 'objects.StoredObject']
Rule = typing.Callable[['Items', 'Items', int], 'Items']

UNKNOWN_VERSION = -1
"""Version of a configuration that is not valid."""

MAX_ENDINGS = 100
"""Number of ended rollouts that are remembered. A copy is some seconds old, so
few orders of a service are newer than it."""

_PROGRESS = {
    rollouts.State.ORDERED: 0,
    rollouts.State.RUNNING: 1,
    rollouts.State.COMPLETED: 2,
    rollouts.State.ROLLED_BACK: 2,
}


def is_useful(
    held: eras.Position | None,
    offered: eras.Position,
    *,
    is_stale: bool,
    era: int,
) -> bool:
    """Return whether objects of a position should replace those held.

    Parameters
    ----------
    held : eras.Position or None
        Position of the objects that are held, if there are any.
    offered : eras.Position
    is_stale : bool
        Whether the held ones may be older than their position.
    era : int
        Least era whose objects are used.
    """
    if offered.era < era:
        return False
    if held is None:
        return True
    if offered.era != held.era:
        return offered.era > held.era
    return is_stale or offered.revision > held.revision


def replace(held: Items, found: Items, era: int) -> Items:
    """Return the objects of the newer position alone."""
    return found


def keep_newest_configuration(held: Items, found: Items, era: int) -> Items:
    """Return the objects found, without those older than held ones.

    An object that was held in an earlier era remains if the newer position
    lacks it, or has a lower version of it. Within an era the newer position
    is right.

    Parameters
    ----------
    held, found : dict
    era : int
        Era of the newer position.
    """
    kept = {
        name: item
        for name, item in held.items()
        if (
            _is_kept(item, found[name], era)
            if name in found
            else item.era < era
        )
    }
    return found | kept


def _is_kept(
    held: objects.StoredObject, found: objects.StoredObject, era: int
) -> bool:
    """Return whether a held object remains in place of a found one.

    Two objects of the newer era itself are in the order of their positions.
    """
    if held.era == found.era == era:
        return False
    return _rank(held) > _rank(found)


def _rank(item: objects.StoredObject) -> tuple[int, int, int]:
    return (_version(item.spec), item.era, item.revision)


def _version(spec: object) -> int:
    try:
        return decode.version(spec['version'])
    except (errors.MalformedError, TypeError, KeyError):
        return UNKNOWN_VERSION


class Rollout(enum.Enum):
    """What becomes of a known rollout that a later era shows."""

    SAME = enum.auto()
    STATE_LOST = enum.auto()
    OTHER = enum.auto()
    OBSOLETE = enum.auto()


def compare_rollouts(
    known: rollouts.Order, shown: rollouts.Order, *, has_ended: bool = False
) -> Rollout:
    """Return how a rollout that a later era shows relates to a known one.

    The operator writes its lost orders again without a state, so an order of
    the same version and duration is the known one, whose state was lost. An
    ended rollout to another version is an earlier one that the copy brought
    back; the order after it will be written again.

    Parameters
    ----------
    known, shown : rollouts.Order
    has_ended : bool
        Whether the shown rollout is known to have ended in an earlier era.
    """
    if known.version != shown.version:
        is_ended = has_ended or shown.state in rollouts.ENDED
        return Rollout.OBSOLETE if is_ended else Rollout.OTHER
    if _PROGRESS[shown.state] >= _PROGRESS[known.state]:
        return Rollout.SAME
    if known.state in rollouts.ENDED and known.duration != shown.duration:
        return Rollout.OTHER
    return Rollout.STATE_LOST


@attrs.define(eq=False)
class Endings:
    """How the latest rollouts ended, and in which era this became known.

    Parameters
    ----------
    found : dict
        Ended orders and the era, by service and version, in the order in
        which they became known.
    """

    found: dict[tuple[str, str], tuple[rollouts.Order, int]] = attrs.field(
        factory=dict
    )

    def note(self, order: rollouts.Order, era: int) -> None:
        """Note the state of an order if it has ended."""
        if order.state not in rollouts.ENDED:
            return
        key = (order.service, order.version)
        self.found.pop(key, None)
        self.found[key] = (order, era)
        if len(self.found) > MAX_ENDINGS:
            del self.found[next(iter(self.found))]

    def before(self, order: rollouts.Order, era: int) -> rollouts.State | None:
        """Return how an order ended in an earlier era, if it did."""
        ended, known_era = self.found.get(
            (order.service, order.version), (None, era)
        )
        if known_era >= era or ended.duration != order.duration:
            return None
        return ended.state


def held_withdrawals(
    held: abc.Set[str], withdrawn: abc.Set[str]
) -> frozenset[str]:
    """Return the lost withdrawals that are still in effect.

    One that the store holds again is the operator's own from then on.
    """
    return frozenset(held - withdrawn)
