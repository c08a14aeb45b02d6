"""What all commands of the command line share."""

from __future__ import annotations

import functools
import typing

import cyclopts

from pomelobend import __version__
from pomelobend.cmd import exits
from pomelobend.cmd import output
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

NODE = '127.0.0.1:7002'
"""Administration address that commands use where none is given."""

app = cyclopts.App(
    name='pomelobend',
    help='Configuration distribution system for a service mesh.\n\n'
    'Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings, 4 conflict, '
    '5 not reachable, 6 outcome not settled, 7 refused.',
    version=__version__,
    version_flags=['--version'],
)

Output = typing.Annotated[
    output.Form, cyclopts.Parameter(help='Form of the output.')
]
Address = typing.Annotated[
    str,
    cyclopts.Parameter(
        help='Administration address of any node.',
        env_var='POMELOBEND_NODE',
    ),
]


def reported(command: abc.Callable) -> abc.Callable:
    """Turn errors of a command into its output and exit code."""

    @functools.wraps(command)
    def run(*args: typing.Any, **options: typing.Any) -> int:
        try:
            return command(*args, **options) or exits.Exit.DONE
        except errors.PomelobendError as error:
            return exits.report(error, options.get('output', 'table'))

    return run


def show(value: typing.Any, form: output.Form) -> None:
    """Print a value as JSON or as a table of its names and values."""
    if form == 'json':
        output.show_json(value)
    else:
        table(('name', 'value'), value.items())


def table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> None:
    """Print rows under their column heads."""
    output.show_table(columns, rows)
