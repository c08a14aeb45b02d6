"""Messages as CBOR: an array of the tag and the values in order."""

from __future__ import annotations

import operator
import typing

import attrs
import cbor2

from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import messages


def _getter(cls: type) -> typing.Callable[[object], tuple]:
    names = [field.name for field in attrs.fields(cls)]
    if not names:
        return lambda _: ()
    if len(names) == 1:
        single = operator.attrgetter(names[0])
        return lambda value: (single(value),)
    return operator.attrgetter(*names)


_GETTERS = {cls: _getter(cls) for cls in messages.TAGS}
_CHECKS = {
    tag: (
        cls,
        tuple(
            (field.name, field.metadata['check'])
            for field in attrs.fields(cls)
        ),
    )
    for tag, cls in messages.REGISTRY.items()
}
_MEMBER_FIELDS = tuple(field.name for field in attrs.fields(members.Member))


def encode(message: messages.Message) -> bytes:
    """Return a message as bytes."""
    cls = type(message)
    return cbor2.dumps([messages.TAGS[cls], *_GETTERS[cls](message)])


def decode(data: bytes) -> messages.Message:
    """Return the message in some bytes.

    Raises
    ------
    errors.ProtocolError
        The bytes are not CBOR, or not a message of a known shape.
    """
    try:
        values = cbor2.loads(data)
    except Exception as error:
        raise errors.ProtocolError(f'not CBOR: {error}') from error
    if type(values) is not list or not values:
        raise errors.ProtocolError('a message is an array')
    tag = values[0]
    known = _CHECKS.get(tag) if type(tag) is int else None
    if known is None:
        raise errors.ProtocolError(f'unknown tag {str(tag)[:40]}')
    cls, checks = known
    if len(values) != len(checks) + 1:
        raise errors.ProtocolError(f'{cls.__name__}: wrong number of values')
    for (name, check), value in zip(checks, values[1:], strict=True):
        if not check(value):
            raise errors.ProtocolError(f'{cls.__name__}: wrong {name}')
    return cls(*values[1:])


def member_to_wire(member: members.Member) -> list:
    """Return a member as a list of plain values."""
    values = attrs.astuple(member)
    return [str(v) if isinstance(v, members.State) else v for v in values]


def member_from_wire(values: object) -> members.Member:
    """Return the member in a list of plain values.

    Raises
    ------
    errors.ProtocolError
    """
    if type(values) is not list or len(values) != len(_MEMBER_FIELDS):
        raise errors.ProtocolError('Member: wrong number of values')
    named = dict(zip(_MEMBER_FIELDS, values, strict=True))
    texts = ('node', 'domain', 'address', 'service', 'version', 'state')
    whole = ('incarnation', 'sequence', 'slots')
    if not all(messages.is_text(named[name]) for name in texts):
        raise errors.ProtocolError('Member: a text is wrong')
    if not all(messages.is_whole(named[name]) for name in whole):
        raise errors.ProtocolError('Member: a number is wrong')
    try:
        named['state'] = members.State(named['state'])
    except ValueError as error:
        raise errors.ProtocolError(f'Member: {error}') from error
    return members.Member(**named)


def end_from_wire(values: object) -> tuple[str, tuple[int, int]]:
    """Return the node and the order in the end of a member.

    Raises
    ------
    errors.ProtocolError
    """
    if (
        type(values) is not list
        or len(values) != 3
        or not messages.is_text(values[0])
        or not all(messages.is_whole(value) for value in values[1:])
    ):
        raise errors.ProtocolError('Members: an end is wrong')
    return values[0], (values[1], values[2])
