"""Reading of plain values into attrs classes, gathering all findings."""

from __future__ import annotations

import datetime
import difflib
import functools
import ipaddress
import re
import typing

import attrs

from pomelobend import errors
from pomelobend.findings import finding
from pomelobend.findings import kinds
from pomelobend.findings import source as sources

_INVALID: typing.Any = object()


@attrs.define
class Place:
    """Where a value stands, and the list that its findings go to."""

    source: sources.Source
    path: str = ''
    findings: list[finding.Finding] = attrs.field(factory=list)

    def child(self, key: object) -> Place:
        """Return the place of a member or an item."""
        escaped = str(key).replace('~', '~0').replace('/', '~1')
        return Place(self.source, f'{self.path}/{escaped}', self.findings)

    def report(self, code: finding.Code, message: str) -> typing.Any:
        """Record a finding here and return the mark of an invalid value."""
        line = self.source.lines.get(self.path)
        self.findings.append(
            finding.Finding(code, message, self.path, line, self.source.name)
        )
        return _INVALID


def read_source(cls: type, source: sources.Source) -> typing.Any:
    """Read a whole source into an attrs class.

    Raises
    ------
    errors.FindingsError
        The source has findings; all of them are reported together.
    """
    place = Place(source)
    value = read(kinds.Table(cls), source.value, place)
    if place.findings:
        raise errors.FindingsError(place.findings)
    return value


@functools.singledispatch
def read(kind: object, value: object, place: Place) -> typing.Any:
    """Read one value of a kind, reporting findings to its place."""
    raise TypeError(f'no reader for {kind!r}')


@read.register
def _(kind: kinds.Text, value: object, place: Place) -> typing.Any:
    if not isinstance(value, str):
        return _wrong_type('a string', value, place)
    if kind.choices and value not in kind.choices:
        return place.report(
            finding.Code.NOT_A_CHOICE,
            f'{value!r} is not one of {", ".join(kind.choices)}'
            f'{_hint(value, kind.choices)}',
        )
    if kind.pattern and not re.fullmatch(kind.pattern, value):
        return place.report(
            finding.Code.MALFORMED, f'{value!r} does not match {kind.pattern}'
        )
    if len(value) > kind.longest:
        return place.report(
            finding.Code.OUT_OF_RANGE,
            f'longer than {kind.longest} characters',
        )
    return value


@read.register
def _(kind: kinds.Whole, value: object, place: Place) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, int):
        return _wrong_type('a whole number', value, place)
    return _in_range(value, kind.lowest, kind.highest, place)


@read.register
def _(kind: kinds.Ratio, value: object, place: Place) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _wrong_type('a number', value, place)
    return _in_range(float(value), kind.lowest, kind.highest, place)


@read.register
def _(kind: kinds.Flag, value: object, place: Place) -> typing.Any:
    if not isinstance(value, bool):
        return _wrong_type('true or false', value, place)
    return value


@read.register
def _(kind: kinds.Duration, value: object, place: Place) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, int):
        return _wrong_type('whole milliseconds', value, place)
    checked = _in_range(value, kind.lowest_ms, kind.highest_ms, place)
    if checked is _INVALID:
        return _INVALID
    return datetime.timedelta(milliseconds=checked)


@read.register
def _(kind: kinds.Moment, value: object, place: Place) -> typing.Any:
    if not isinstance(value, str):
        return _wrong_type('a point in time', value, place)
    try:
        moment = datetime.datetime.fromisoformat(value)
    except ValueError as error:
        return place.report(finding.Code.MALFORMED, str(error))
    if moment.tzinfo is None:
        return place.report(
            finding.Code.MALFORMED, 'the offset from UTC is missing'
        )
    return moment


@read.register
def _(kind: kinds.Address, value: object, place: Place) -> typing.Any:
    if not isinstance(value, str):
        return _wrong_type('an address', value, place)
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = port.isascii() and port.isdigit() and int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        return place.report(
            finding.Code.MALFORMED, f'{value!r} is not of the form ip:port'
        )
    return value


@read.register
def _(kind: kinds.Items, value: object, place: Place) -> typing.Any:
    if not isinstance(value, list):
        return _wrong_type('a list', value, place)
    if len(value) > kind.longest:
        return place.report(
            finding.Code.OUT_OF_RANGE, f'more than {kind.longest} items'
        )
    return tuple(
        read(kind.kind, item, place.child(index))
        for index, item in enumerate(value)
    )


@read.register
def _(kind: kinds.Table, value: object, place: Place) -> typing.Any:
    if not isinstance(value, dict):
        return _wrong_type('an object', value, place)
    fields = {
        field.name: field
        for field in attrs.fields(kind.cls)
        if 'kind' in field.metadata
    }
    _report_unknown(value, fields, place)
    _report_missing(value, fields, place)
    values = {
        name: read(field.metadata['kind'], value[name], place.child(name))
        for name, field in fields.items()
        if name in value
    }
    invalid = any(item is _INVALID for item in values.values())
    if invalid or any(_is_missing(f, value) for f in fields.values()):
        return _INVALID
    return kind.cls(**values)


def _is_missing(field: attrs.Attribute, value: dict) -> bool:
    return field.default is attrs.NOTHING and field.name not in value


def _report_unknown(value: dict, fields: dict, place: Place) -> None:
    for key in value.keys() - fields.keys():
        place.child(key).report(
            finding.Code.UNKNOWN_KEY,
            f'{key!r} is not known here{_hint(key, fields)}',
        )


def _report_missing(value: dict, fields: dict, place: Place) -> None:
    for name, field in fields.items():
        if _is_missing(field, value):
            place.report(finding.Code.MISSING_KEY, f'{name!r} is missing')


def _hint(word: str, known: typing.Iterable[str]) -> str:
    close = difflib.get_close_matches(word, list(known), 1)
    return f'; did you mean {close[0]!r}?' if close else ''


def _wrong_type(wanted: str, value: object, place: Place) -> typing.Any:
    return place.report(
        finding.Code.WRONG_TYPE,
        f'expected {wanted}, found {type(value).__name__}',
    )


def _in_range(
    value: float, lowest: float, highest: float, place: Place
) -> typing.Any:
    if not lowest <= value <= highest:
        return place.report(
            finding.Code.OUT_OF_RANGE,
            f'{value} is not between {lowest} and {highest}',
        )
    return value


def plain(value: typing.Any) -> typing.Any:
    """Return a value of an attrs class as plain JSON values."""
    if attrs.has(type(value)):
        return {
            field.name: plain(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if 'kind' in field.metadata
        }
    if isinstance(value, datetime.timedelta):
        return value // datetime.timedelta(milliseconds=1)
    if isinstance(value, datetime.datetime):
        return value.isoformat()
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value
