"""Every error of the project, each with a stable code."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.findings import finding


class PomelobendError(Exception):
    """Base of all errors that the project raises."""

    code = 'PB000'


class FindingsError(PomelobendError):
    """A settings file or a document has findings."""

    code = 'PB100'

    def __init__(self, findings: abc.Iterable[finding.Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(found) for found in self.findings))


class PlatformError(PomelobendError):
    """The platform did not serve a request."""

    code = 'PB200'


class PlatformUnavailableError(PlatformError):
    """The platform did not answer a query, or refused it before acting."""

    code = 'PB201'


class PlatformConflictError(PlatformError):
    """A conditional write named a version that is not the current one."""

    code = 'PB202'

    def __init__(self, message: str, current: int) -> None:
        super().__init__(message)
        self.current = current


class PlatformOutcomeUnknownError(PlatformError):
    """A write was sent and its answer did not arrive."""

    code = 'PB203'


class PlatformNotFoundError(PlatformError):
    """The named object does not exist."""

    code = 'PB204'


class ConfigurationError(PomelobendError):
    """A configuration cannot be accepted or applied."""

    code = 'PB300'


class ConfigurationConflictError(ConfigurationError):
    """Another operator changed the document first."""

    code = 'PB301'

    def __init__(self, message: str, current: int) -> None:
        super().__init__(message)
        self.current = current


class ConfigurationIncompleteError(ConfigurationError):
    """A manifest names documents that are not at hand."""

    code = 'PB302'


class ConfigurationUnsettledError(ConfigurationError):
    """Whether a change was accepted cannot be told yet."""

    code = 'PB303'


class PeerError(PomelobendError):
    """A connection between two nodes cannot be used."""

    code = 'PB400'


class ProtocolError(PeerError):
    """A peer sent something that is not a valid message."""

    code = 'PB401'


class ProtocolVersionError(PeerError):
    """A peer speaks a different version of the protocol."""

    code = 'PB402'


class LinkClosedError(PeerError):
    """The connection to a peer has ended."""

    code = 'PB403'


class Run(enum.StrEnum):
    """What is known about the execution of a call that was refused."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    DONE = 'done'


class Reason(enum.StrEnum):
    """Why a call was refused."""

    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    DEADLINE_PASSED = 'deadline-passed'
    DOMAIN_WITHDRAWN = 'domain-withdrawn'
    TARGET_UNREACHABLE = 'target-unreachable'
    TARGET_LOST = 'target-lost'
    TARGET_TIMEOUT = 'target-timeout'
    PEER_UNREACHABLE = 'peer-unreachable'
    PEER_LOST = 'peer-lost'
    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    HEADERS_TOO_LARGE = 'headers-too-large'
    BODY_INCOMPLETE = 'body-incomplete'
    CANCELLED = 'cancelled'
    PLATFORM_AWAY = 'platform-away'
    ALREADY_CLAIMED = 'already-claimed'
    ALREADY_RUN = 'already-run'
    KEY_REUSED = 'key-reused'


class CallRefusedError(PomelobendError):
    """A call ended without a whole answer of a target.

    Parameters
    ----------
    reason : Reason
    run : Run
        ``NOT_RUN`` only where the target received no byte of the call.
    detail : str
    """

    code = 'PB500'

    def __init__(
        self, reason: Reason, run: Run = Run.NOT_RUN, detail: str = ''
    ) -> None:
        super().__init__(f'{reason} ({run}) {detail}'.rstrip())
        self.reason = reason
        self.run = run
        self.detail = detail


class AnswerBrokenError(PomelobendError):
    """An answer ended before its last byte."""

    code = 'PB501'


def registry() -> dict[str, type[PomelobendError]]:
    """Return every error class by its code."""

    def walk(base: type[PomelobendError]) -> abc.Iterator[type]:
        yield base
        for child in base.__subclasses__():
            yield from walk(child)

    return {cls.code: cls for cls in walk(PomelobendError)}
