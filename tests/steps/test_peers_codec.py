"""Steps of encoding and decoding messages between nodes."""

from __future__ import annotations

import typing

import attrs
import behave
import cbor2
import hypothesis
from hypothesis import strategies

from pomelobend import errors
from pomelobend.peers import codec
from pomelobend.peers import messages

fixed = hypothesis.settings(
    max_examples=400, derandomize=True, database=None, deadline=None
)

_text = strategies.text(max_size=20)
_plain = strategies.none() | strategies.integers(0, 9) | _text
_VALUES = {
    messages.is_whole: strategies.integers(0, 2**63),
    messages.is_text: _text,
    messages.is_bytes: strategies.binary(max_size=40),
    messages.is_flag: strategies.booleans(),
    messages.is_map: strategies.dictionaries(_text, _plain, max_size=3),
    messages.is_list: strategies.lists(_plain, max_size=3),
    messages.is_texts: strategies.lists(_text, max_size=3),
    messages.is_byte_strings: strategies.lists(
        strategies.binary(max_size=9), max_size=3
    ),
    messages.is_headers: strategies.lists(
        strategies.lists(_text, min_size=2, max_size=2), max_size=3
    ),
}


def of_class(cls: type) -> strategies.SearchStrategy:
    """Return messages of one class."""
    return strategies.builds(
        cls,
        *(_VALUES[field.metadata['check']] for field in attrs.fields(cls)),
    )


any_message = strategies.one_of(
    [of_class(cls) for cls in messages.REGISTRY.values()]
)


@behave.then('any message decodes to what was encoded')
def then_round_trip(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(any_message)
    def check(message: object) -> None:
        assert codec.decode(codec.encode(message)) == message

    check()


def decode(data: bytes) -> object | None:
    """Decode bytes; any error but a protocol error goes through."""
    try:
        return codec.decode(data)
    except errors.ProtocolError:
        return None


@behave.then('decoding any bytes ends in a message or a protocol error')
def then_any_bytes(context: typing.Any) -> None:
    anything = strategies.recursive(
        strategies.none()
        | strategies.integers()
        | strategies.floats()
        | _text
        | strategies.binary(max_size=9),
        lambda inner: strategies.lists(inner, max_size=12),
        max_leaves=12,
    )

    @fixed
    @hypothesis.given(strategies.binary() | anything.map(cbor2.dumps))
    def check(data: bytes) -> None:
        decode(data)

    check()


@behave.then('a message cut at any place is a protocol error')
def then_cut(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(any_message, strategies.data())
    def check(message: object, data: strategies.DataObject) -> None:
        whole = codec.encode(message)
        size = data.draw(strategies.integers(0, len(whole) - 1))
        assert decode(whole[:size]) is None

    check()


@behave.then(
    'a message with any value replaced by one of another type is an error'
)
def then_wrong_type(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(any_message, strategies.data())
    def check(message: object, data: strategies.DataObject) -> None:
        values = cbor2.loads(codec.encode(message))
        if len(values) == 1:
            return
        index = data.draw(strategies.integers(1, len(values) - 1))
        values[index] = data.draw(
            strategies.sampled_from([None, 1.5, -1, {1: 2}, [[1]]])
        )
        field = attrs.fields(type(message))[index - 1]
        if not field.metadata['check'](values[index]):
            assert decode(cbor2.dumps(values)) is None

    check()
