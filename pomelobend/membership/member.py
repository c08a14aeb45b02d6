"""Records of nodes and of the targets that announced themselves to them."""

from __future__ import annotations

import enum

import attrs


class State(enum.StrEnum):
    """What a target can be given."""

    SERVING = 'serving'
    DRAINING = 'draining'
    ABSENT = 'absent'


@attrs.frozen
class Member:
    """A node and its target.

    Parameters
    ----------
    node : str
    incarnation : int
        Start of the process in nanoseconds since the epoch; a later life
        has a larger one.
    sequence : int
        Number of the record within the incarnation.
    domain : str
    address : str
        Address for other nodes.
    service : str
        Service of the target, or empty where none has announced itself.
    version : str
    state : State
    slots : int
        Calls that the target can run at one time.
    """

    node: str
    incarnation: int
    sequence: int
    domain: str
    address: str
    service: str = ''
    version: str = ''
    state: State = State.ABSENT
    slots: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the order of this record among those of its node."""
        return (self.incarnation, self.sequence)
