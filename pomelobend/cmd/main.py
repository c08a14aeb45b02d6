"""The command line ``pomelobend``."""

from __future__ import annotations

import functools
import json
import pathlib
import sys
import typing
import uuid

import cyclopts

from pomelobend import __version__
from pomelobend.cmd import client as clients
from pomelobend.cmd import exits
from pomelobend.cmd import output
from pomelobend import config
from pomelobend.documents import validate
from pomelobend import errors
from pomelobend.findings import source as sources

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


def _reported(command: abc.Callable) -> abc.Callable:
    """Turn errors of a command into its output and exit code."""

    @functools.wraps(command)
    def run(*args: typing.Any, **options: typing.Any) -> int:
        try:
            return command(*args, **options) or exits.Exit.DONE
        except errors.PomelobendError as error:
            return exits.report(error, options.get('output', 'table'))

    return run


@app.command
@_reported
def node(*, settings: pathlib.Path) -> None:
    """Run the node of a VM until SIGTERM.

    Parameters
    ----------
    settings
        Settings of the node, in JSON with comments.
    """
    read = config.Settings.from_file(settings)

    from pomelobend import app as apps
    from pomelobend import logs
    from pomelobend import loop

    logs.configure(read.logs)

    async def serve() -> None:
        await apps.Node.from_config(read).run()

    loop.run(serve)


@app.command
@_reported
def check(*files: pathlib.Path, output: Output = 'table') -> int:
    """Check settings and documents, several documents also together.

    Parameters
    ----------
    files
        Settings of nodes and documents of teams. A file with a ``team`` is
        taken for a document.
    """
    findings: list = []
    documents: list = []
    for path in files:
        try:
            documents.extend(_check_one(path))
        except errors.FindingsError as error:
            findings.extend(error.findings)
    try:
        validate.check_all(documents)
    except errors.FindingsError as error:
        findings.extend(error.findings)
    if findings:
        return exits.report(errors.FindingsError(findings), output)
    _show({'files': len(files), 'findings': []}, output)
    return exits.Exit.DONE


def _check_one(path: pathlib.Path) -> list:
    """Check one file; return it with its source if it is a document."""
    source = sources.Source.from_file(path)
    if isinstance(source.value, dict) and 'team' in source.value:
        return [(validate.parse(source), source)]
    config.Settings.from_file(path)
    return []


@app.command
@_reported
def apply(
    file: pathlib.Path,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: Address = NODE,
    output: Output = 'table',
) -> None:
    """Have a document accepted as the new one of its team.

    The token of the team is taken from POMELOBEND_TOKEN.

    Parameters
    ----------
    file
        Document in JSON with comments.
    expected
        Configuration that brought the document you have seen, 0 for none.
        Without it, the one that is accepted now.
    dry_run
        Check only, and write nothing.
    change
        Unique name of the change; sending it again cannot change twice.
    """
    source = sources.Source.from_file(file)
    document = validate.parse(source)
    client = clients.Client(node)
    if expected is None:
        expected = _accepted_number(client, document.team)
    answer = client.put(
        f'/v1/documents/{document.team}?'
        f'{_arguments(expected, change, dry_run)}',
        json.dumps(source.value),
    )
    _show_change(answer, output)


def _arguments(expected: int, change: str, dry_run: bool) -> str:
    """Return the query of a change."""
    name = change or uuid.uuid4().hex
    dry = 'true' if dry_run else 'false'
    return f'expected={expected}&change={name}&dry-run={dry}'


def _show_change(answer: dict, form: output.Form) -> None:
    """Show what became of a change, or what it would change."""
    difference = answer.get('difference')
    if form == 'json' or difference is None:
        _show(answer, form)
        return
    for line in difference or ['nothing would change']:
        print(line)


def _accepted_number(client: clients.Client, team: str) -> int:
    try:
        return client.get(f'/v1/documents/{team}')['number']
    except exits.AdminError as error:
        if error.status == 404:
            return 0
        raise


@app.command
@_reported
def restore(
    team: str,
    number: int,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: Address = NODE,
    output: Output = 'table',
) -> None:
    """Take a document back to what it was, as a new configuration.

    Parameters
    ----------
    team
        Team whose document is taken back.
    number
        Configuration whose content is wanted.
    expected
        As with apply.
    dry_run
        As with apply.
    change
        As with apply.
    """
    client = clients.Client(node)
    if expected is None:
        expected = _accepted_number(client, team)
    answer = client.post(
        f'/v1/documents/{team}/restore?number={number}'
        f'&{_arguments(expected, change, dry_run)}'
    )
    _show_change(answer, output)


@app.command
@_reported
def get(
    team: str = '', *, node: Address = NODE, output: Output = 'table'
) -> None:
    """Show the document of a team, or which documents are in force.

    Parameters
    ----------
    team
        Team whose document is shown, as the platform has it.
    """
    client = clients.Client(node)
    if team:
        _show_document(client.get(f'/v1/documents/{team}'), output)
        return
    answer = client.get('/v1/documents')
    if output == 'json':
        _show(answer, output)
        return
    _table(
        ('team', 'configuration', 'digest'),
        (
            (name, ref['number'], ref['digest'])
            for name, ref in answer['documents'].items()
        ),
    )


@app.command
@_reported
def history(*, node: Address = NODE, output: Output = 'table') -> None:
    """Show the changes that were accepted, the newest first."""
    changes = clients.Client(node).get('/v1/history')['changes']
    if output == 'json':
        _show(changes, output)
        return
    _table(
        ('configuration', 'team', 'author', 'at', 'digest'),
        (
            (c['number'], c['team'], c['author'], c['at'], c['digest'])
            for c in changes
        ),
    )


@app.command
@_reported
def status(*, node: Address = NODE, output: Output = 'table') -> None:
    """Show what a node knows of itself, its targets and its relays."""
    answer = clients.Client(node).get('/v1/status')
    if output == 'json':
        _show(answer, output)
        return
    members = answer.pop('members')
    _table(('of the node', 'value'), answer.items())
    print()
    _table(
        ('node', 'domain', 'service', 'version', 'state', 'slots'),
        (
            (
                m['node'],
                m['domain'],
                m['service'] or '-',
                m['version'] or '-',
                m['state'],
                m['slots'],
            )
            for m in members
        ),
    )


@app.command
@_reported
def version(*, output: Output = 'table') -> None:
    """Show the version of the program."""
    _show({'version': __version__}, output)


def _show_document(answer: dict, form: output.Form) -> None:
    if form == 'json':
        _show(answer, form)
        return
    print(json.dumps(answer['document'], indent=2))


def _show(value: typing.Any, form: output.Form) -> None:
    if form == 'json':
        output.show_json(value)
    else:
        _table(('name', 'value'), value.items())


def _table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> None:
    output.show_table(columns, rows)


def main() -> None:
    """Run a command and exit with its code."""
    sys.exit(app(sys.argv[1:]))


if __name__ == '__main__':
    main()
