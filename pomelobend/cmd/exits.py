"""Exit codes of the command line, and errors turned into them."""

from __future__ import annotations

import enum
import json
import sys
import typing

import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend.cmd import output


class Exit(enum.IntEnum):
    """Exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNSETTLED = 6
    REFUSED = 7


class AdminError(errors.PomelobendError):
    """The administration API answered with an error."""

    code = 'PB700'

    def __init__(self, status: int, body: dict[str, typing.Any]) -> None:
        super().__init__(body.get('message', f'status {status}'))
        self.status = status
        self.body = body


class AdminUnreachableError(errors.PomelobendError):
    """The administration API of the node did not answer."""

    code = 'PB701'


_BY_STATUS = {
    401: Exit.REFUSED,
    403: Exit.REFUSED,
    409: Exit.CONFLICT,
    422: Exit.FINDINGS,
    429: Exit.REFUSED,
    503: Exit.UNREACHABLE,
    504: Exit.UNSETTLED,
}


def report(error: errors.PomelobendError, form: output.Form) -> Exit:
    """Print an error and return the exit code for it."""
    if form == 'json':
        print(json.dumps(_plain(error)))
    else:
        for line in _lines(error):
            print(line, file=sys.stderr)
    match error:
        case errors.FindingsError():
            return Exit.FINDINGS
        case AdminError():
            return _BY_STATUS.get(error.status, Exit.FAILED)
        case AdminUnreachableError():
            return Exit.UNREACHABLE
        case _:
            return Exit.FAILED


def _plain(error: errors.PomelobendError) -> dict[str, typing.Any]:
    if isinstance(error, AdminError):
        return error.body
    plain: dict[str, typing.Any] = {
        'code': error.code,
        'message': str(error),
    }
    if isinstance(error, errors.FindingsError):
        plain['findings'] = [attrs.asdict(f) for f in error.findings]
    return plain


def _lines(error: errors.PomelobendError) -> list[str]:
    if isinstance(error, errors.FindingsError):
        return [str(found) for found in error.findings]
    if isinstance(error, AdminError):
        code = error.body.get('code', error.code)
        return [f'{code} {line}' for line in str(error).splitlines()]
    return [f'{error.code} {error}']
