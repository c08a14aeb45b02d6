"""The messages that nodes send each other."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections import abc

PROTOCOL = 1
"""Version of the protocol between nodes."""

REGISTRY: dict[int, type] = {}
TAGS: dict[type, int] = {}
_Headers = tuple[tuple[str, str], ...]


def _wire(check: abc.Callable[[object], bool]) -> typing.Any:
    return attrs.field(metadata={'check': check})


def message(tag: int) -> abc.Callable[[type], type]:
    """Register a message class under its tag."""

    def register(cls: type) -> type:
        REGISTRY[tag] = cls
        TAGS[cls] = tag
        return cls

    return register


def is_whole(value: object) -> bool:
    """Tell whether a value is a whole number that is not negative."""
    return type(value) is int and value >= 0


def is_text(value: object) -> bool:
    """Tell whether a value is a string."""
    return type(value) is str


def is_bytes(value: object) -> bool:
    """Tell whether a value is a byte string."""
    return type(value) is bytes


def is_flag(value: object) -> bool:
    """Tell whether a value is true or false."""
    return type(value) is bool


def is_map(value: object) -> bool:
    """Tell whether a value is a map with string keys."""
    return type(value) is dict and all(type(key) is str for key in value)


def is_list(value: object) -> bool:
    """Tell whether a value is a list."""
    return type(value) is list


def is_texts(value: object) -> bool:
    """Tell whether a value is a list of strings."""
    return type(value) is list and all(type(item) is str for item in value)


def is_headers(value: object) -> bool:
    """Tell whether a value is a list of pairs of strings."""
    return type(value) is list and all(
        type(pair) is list
        and len(pair) == 2
        and type(pair[0]) is str
        and type(pair[1]) is str
        for pair in value
    )


@message(1)
@attrs.frozen
class Hello:
    """The first message in each direction."""

    protocol: int = _wire(is_whole)
    node: str = _wire(is_text)
    incarnation: int = _wire(is_whole)
    domain: str = _wire(is_text)
    address: str = _wire(is_text)


@message(2)
@attrs.frozen
class Heartbeat:
    """Proof of life, with the free capacity of the sender's target."""

    free: int = _wire(is_whole)


@message(3)
@attrs.frozen
class Goodbye:
    """The sender takes no new call on this connection."""


@message(10)
@attrs.frozen
class CallStart:
    """A call for the target of the receiver.

    ``deadline_ms`` is what remains when the message is sent. ``body`` is
    the whole body where ``is_complete`` holds, else its first part.
    """

    call: int = _wire(is_whole)
    route: str = _wire(is_text)
    service: str = _wire(is_text)
    method: str = _wire(is_text)
    path: bytes = _wire(is_bytes)
    headers: _Headers = _wire(is_headers)
    deadline_ms: int = _wire(is_whole)
    attempt: int = _wire(is_whole)
    key: str = _wire(is_text)
    body: bytes = _wire(is_bytes)
    is_complete: bool = _wire(is_flag)


@message(11)
@attrs.frozen
class BodyPart:
    """A further part of a body, in either direction."""

    call: int = _wire(is_whole)
    body: bytes = _wire(is_bytes)
    is_last: bool = _wire(is_flag)


@message(12)
@attrs.frozen
class Window:
    """Room for further bytes of a body."""

    call: int = _wire(is_whole)
    size: int = _wire(is_whole)


@message(13)
@attrs.frozen
class AnswerStart:
    """The head of an answer and its whole body or the first part."""

    call: int = _wire(is_whole)
    status: int = _wire(is_whole)
    headers: _Headers = _wire(is_headers)
    body: bytes = _wire(is_bytes)
    is_complete: bool = _wire(is_flag)
    free: int = _wire(is_whole)


@message(14)
@attrs.frozen
class Refused:
    """The call ended without an answer of the target."""

    call: int = _wire(is_whole)
    reason: str = _wire(is_text)
    run: str = _wire(is_text)
    detail: str = _wire(is_text)
    free: int = _wire(is_whole)


@message(15)
@attrs.frozen
class Broken:
    """A body, in either direction, ends here and is not whole."""

    call: int = _wire(is_whole)
    detail: str = _wire(is_text)


@message(16)
@attrs.frozen
class Cancel:
    """The caller no longer waits for an answer."""

    call: int = _wire(is_whole)


@message(20)
@attrs.frozen
class Subscribe:
    """The sender wants configuration and members from the receiver.

    ``is_relay`` asks only for members attached to the receiver itself.
    """

    number: int = _wire(is_whole)
    is_relay: bool = _wire(is_flag)


@message(21)
@attrs.frozen
class Offer:
    """A configuration, with those documents the receiver may lack."""

    manifest: dict[str, typing.Any] = _wire(is_map)
    documents: dict[str, typing.Any] = _wire(is_map)


@message(22)
@attrs.frozen
class Need:
    """Digests of documents that the sender lacks for an offer."""

    digests: tuple[str, ...] = _wire(is_texts)


@message(23)
@attrs.frozen
class Applied:
    """The configuration in force on the sender."""

    number: int = _wire(is_whole)


@message(24)
@attrs.frozen
class Announce:
    """The sender's own record."""

    member: list = _wire(is_list)


@message(25)
@attrs.frozen
class Members:
    """News of members: records, and ends as node, incarnation, sequence."""

    records: list = _wire(is_list)
    ends: list = _wire(is_list)
    is_complete: bool = _wire(is_flag)


@message(26)
@attrs.frozen
class Relays:
    """Addresses of relays by failure domain.

    ``is_relay`` tells whether the sender holds a relay lease itself.
    """

    addresses: dict[str, typing.Any] = _wire(is_map)
    is_relay: bool = _wire(is_flag)


@message(27)
@attrs.frozen
class Invite:
    """A relay lease of the failure domain is vacant; take it."""

    slot: int = _wire(is_whole)


@message(28)
@attrs.frozen
class Unsubscribe:
    """The sender is fed by another node from now on."""


Message = typing.Any
"""Any of the classes in ``REGISTRY``."""
