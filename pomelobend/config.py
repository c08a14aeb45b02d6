"""Settings of a node: every value with its kind, unit and default."""

from __future__ import annotations

import datetime
import typing

import attrs

from pomelobend.findings import kinds
from pomelobend.findings import reader
from pomelobend.findings import source as sources

if typing.TYPE_CHECKING:
    import pathlib

MIB = 1024 * 1024


def _ms(milliseconds: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)


@attrs.frozen
class Listen:
    """Addresses on which a node listens."""

    callers: str = kinds.option(
        kinds.Address(), 'HTTP for callers and for the local target'
    )
    peers: str = kinds.option(kinds.Address(), 'websockets for other nodes')
    admin: str = kinds.option(
        kinds.Address(), 'administration, health and metrics'
    )
    advertised: str = kinds.option(
        kinds.Text(),
        'address that other nodes are told, where it is not that of peers',
        default='',
    )

    @property
    def reached_at(self) -> str:
        """Return the address under which other nodes reach this one."""
        return self.advertised or self.peers


@attrs.frozen
class Platform:
    """How the platform's object API is reached."""

    address: str = kinds.option(kinds.Address(), 'address of the object API')
    timeout: datetime.timedelta = kinds.option(
        kinds.Duration(1, 60_000),
        'longest wait for one answer',
        default=_ms(2_000),
        unit='ms',
    )
    watch: datetime.timedelta = kinds.option(
        kinds.Duration(100, 600_000),
        'how long one watch waits for a change',
        default=_ms(30_000),
        unit='ms',
    )


@attrs.frozen
class Limits:
    """Bounds on what one call or one connection may take."""

    header_bytes: int = kinds.option(
        kinds.Whole(1024, MIB),
        'largest head of a request',
        default=16 * 1024,
        unit='bytes',
    )
    body_bytes: int = kinds.option(
        kinds.Whole(0, 1024 * MIB),
        'largest body of a request',
        default=64 * MIB,
        unit='bytes',
    )
    message_bytes: int = kinds.option(
        kinds.Whole(64 * 1024, 64 * MIB),
        'largest message between nodes',
        default=2 * MIB,
        unit='bytes',
    )
    window_bytes: int = kinds.option(
        kinds.Whole(16 * 1024, 16 * MIB),
        'body bytes of one call in flight between two nodes',
        default=256 * 1024,
        unit='bytes',
    )
    body_silence: datetime.timedelta = kinds.option(
        kinds.Duration(10, 600_000),
        'longest wait for the next part of an answer, or to be rid of one',
        default=_ms(10_000),
        unit='ms',
    )
    calls: int = kinds.option(
        kinds.Whole(1, 100_000),
        'calls that a node serves at one time',
        default=2_000,
        unit='calls',
    )


@attrs.frozen
class Peers:
    """Connections to other nodes."""

    seeds: tuple[str, ...] = kinds.option(
        kinds.Items(kinds.Address()),
        'nodes to ask when the platform is away',
        default=(),
    )
    heartbeat: datetime.timedelta = kinds.option(
        kinds.Duration(50, 60_000),
        'interval of heartbeats in each direction',
        default=_ms(1_000),
        unit='ms',
    )
    silence: datetime.timedelta = kinds.option(
        kinds.Duration(100, 120_000),
        'silence after which a connection is given up',
        default=_ms(3_000),
        unit='ms',
    )
    connect: datetime.timedelta = kinds.option(
        kinds.Duration(10, 60_000),
        'longest wait for a connection to a node',
        default=_ms(1_000),
        unit='ms',
    )


@attrs.frozen
class Relay:
    """Relays, which feed the nodes of a failure domain."""

    slots: int = kinds.option(
        kinds.Whole(1, 8), 'relays of one failure domain', default=2
    )
    lease: datetime.timedelta = kinds.option(
        kinds.Duration(200, 120_000),
        'how long a relay lease holds without renewal',
        default=_ms(6_000),
        unit='ms',
    )
    boot_jitter: datetime.timedelta = kinds.option(
        kinds.Duration(0, 60_000),
        'longest wait of a starting node before it asks the platform',
        default=_ms(2_000),
        unit='ms',
    )
    is_eligible: bool = kinds.option(
        kinds.Flag(), 'whether this node may become a relay', default=True
    )


@attrs.frozen
class Target:
    """The local target, as far as its announcement does not say."""

    heartbeat: datetime.timedelta = kinds.option(
        kinds.Duration(50, 60_000),
        'silence after which the local target counts as gone',
        default=_ms(3_000),
        unit='ms',
    )
    slow_start: datetime.timedelta = kinds.option(
        kinds.Duration(0, 600_000),
        'time over which a cold target is brought to full load',
        default=_ms(4_000),
        unit='ms',
    )
    queue: int = kinds.option(
        kinds.Whole(0, 10_000),
        'calls that may wait for a slot',
        default=32,
        unit='calls',
    )
    queue_wait: datetime.timedelta = kinds.option(
        kinds.Duration(0, 60_000),
        'longest wait for a slot',
        default=_ms(200),
        unit='ms',
    )


@attrs.frozen
class Logs:
    """What is logged and how."""

    level: str = kinds.option(
        kinds.Text(choices=('debug', 'info', 'warning', 'error')),
        'lowest level that is logged',
        default='info',
    )
    form: str = kinds.option(
        kinds.Text(choices=('console', 'json')),
        'form of a log line',
        default='console',
    )


@attrs.frozen
class Team:
    """A team that may change its own documents."""

    name: str = kinds.option(kinds.NAME, 'name of the team')
    token_sha256: str = kinds.option(
        kinds.Text(pattern='[0-9a-f]{64}'),
        'SHA-256 of the token of the team, in hexadecimal',
    )
    rights: tuple[str, ...] = kinds.option(
        kinds.Items(kinds.Text(choices=('documents', 'domains'))),
        'what the team may change',
        default=('documents',),
    )


@attrs.frozen
class Settings:
    """All settings of one node."""

    node: str = kinds.option(kinds.NAME, 'name of the node, one for each VM')
    domain: str = kinds.option(kinds.NAME, 'failure domain of the VM')
    listen: Listen = kinds.option(kinds.Table(Listen), 'listening addresses')
    platform: Platform = kinds.option(
        kinds.Table(Platform), 'the object API of the platform'
    )
    peers: Peers = kinds.option(
        kinds.Table(Peers), 'connections to other nodes', factory=Peers
    )
    relay: Relay = kinds.option(
        kinds.Table(Relay), 'relays of the failure domain', factory=Relay
    )
    target: Target = kinds.option(
        kinds.Table(Target), 'the local target', factory=Target
    )
    limits: Limits = kinds.option(
        kinds.Table(Limits), 'bounds on calls and messages', factory=Limits
    )
    logs: Logs = kinds.option(kinds.Table(Logs), 'logs', factory=Logs)
    teams: tuple[Team, ...] = kinds.option(
        kinds.Items(kinds.Table(Team)),
        'teams that may change configuration',
        default=(),
    )
    stop_timeout: datetime.timedelta = kinds.option(
        kinds.Duration(0, 600_000),
        'longest wait for calls in flight at a graceful stop',
        default=_ms(30_000),
        unit='ms',
    )

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Settings:
        """Read settings from JSON with comments.

        Raises
        ------
        errors.FindingsError
            The file has findings.
        """
        return reader.read_source(cls, sources.Source.from_file(path))


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
