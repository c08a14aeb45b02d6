"""The commands that change the accepted configuration."""

from __future__ import annotations

import json
import pathlib
import typing
import uuid

from pomelobend.cmd import base
from pomelobend.cmd import client as clients
from pomelobend.cmd import exits
from pomelobend.documents import validate
from pomelobend.findings import source as sources

if typing.TYPE_CHECKING:
    from pomelobend.cmd import output


@base.app.command
@base.reported
def apply(
    file: pathlib.Path,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: base.Address = base.NODE,
    output: base.Output = 'table',
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
        base.show(answer, form)
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


@base.app.command
@base.reported
def restore(
    team: str,
    number: int,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: base.Address = base.NODE,
    output: base.Output = 'table',
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
