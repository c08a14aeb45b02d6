"""Options of the connections between nodes."""

from __future__ import annotations

import datetime
import typing

import attrs

if typing.TYPE_CHECKING:
    from pomelobend import config

MESSAGE_BYTES = 2 * 1024 * 1024
WINDOW_BYTES = 256 * 1024


@attrs.frozen
class Options:
    """Time and size limits of the connections between nodes.

    Parameters
    ----------
    address : str
        Address at which the node accepts connections.
    heartbeat : datetime.timedelta
        Interval of heartbeats in each direction.
    silence : datetime.timedelta
        Time without messages after which a connection is given up.
    ping : datetime.timedelta
        Time without messages after which a node with a pending request asks
        its peer for a heartbeat.
    answer : datetime.timedelta
        Timeout for a requested heartbeat, after which a connection is given
        up.
    connect : datetime.timedelta
        Timeout for connecting to a node, and for the handshake.
    message_bytes : int
        Maximum size of a message.
    window_bytes : int
        Flow control window for the body of one call.
    """

    address: str
    heartbeat: datetime.timedelta
    silence: datetime.timedelta
    ping: datetime.timedelta
    answer: datetime.timedelta
    connect: datetime.timedelta
    message_bytes: int = MESSAGE_BYTES
    window_bytes: int = WINDOW_BYTES

    @classmethod
    def from_config(cls, settings: config.Settings) -> Options:
        """Return the options that the settings of a node contain."""
        peers, limits = settings.peers, settings.limits
        return cls(
            settings.listen.peers,
            peers.heartbeat,
            peers.silence,
            peers.ping,
            peers.answer,
            peers.connect,
            limits.message_bytes,
            limits.window_bytes,
        )
