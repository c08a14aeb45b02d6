"""Commands that change the accepted configuration."""

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
@base.report_errors
def apply(
    file: pathlib.Path,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: base.Address = base.DEFAULT_NODE,
    output: base.Output = 'table',
) -> None:
    """Submit a new version of the document of a team.

    The access token of the team is read from POMELOBEND_TOKEN.

    Parameters
    ----------
    file
        Document in JSON with comments.
    expected
        Number of the configuration that introduced the document version on
        which the change is based, 0 if there is none. Defaults to that of the
        currently accepted version.
    dry_run
        Check the change and show the difference without writing it.
    change
        Unique name of the change. A change that is sent again under the same
        name is applied at most once.
    """
    source = sources.Source.from_file(file)
    document = validate.parse(source)
    client = clients.Client(node)
    if expected is None:
        expected = _accepted_number(client, document.team)
    answer = client.put(
        f'/v1/documents/{document.team}?'
        f'{_query_string(expected, change, dry_run)}',
        json.dumps(source.value),
    )
    _show_change(answer, output)


def _query_string(expected: int, change: str, dry_run: bool) -> str:
    """Return the query string of a change request."""
    name = change or uuid.uuid4().hex
    dry_run_value = 'true' if dry_run else 'false'
    return f'expected={expected}&change={name}&dry-run={dry_run_value}'


def _show_change(answer: dict, form: output.Form) -> None:
    """Show the result of a change, or its difference in a dry run."""
    difference = answer.get('difference')
    if form == 'json' or difference is None:
        base.show(answer, form)
        return
    for line in difference or ['no difference']:
        print(line)


def _accepted_number(client: clients.Client, team: str) -> int:
    try:
        return client.get(f'/v1/documents/{team}')['number']
    except exits.AdminError as error:
        if error.status == 404:
            return 0
        raise


@base.app.command
@base.report_errors
def restore(
    team: str,
    number: int,
    *,
    expected: int | None = None,
    dry_run: bool = False,
    change: str = '',
    node: base.Address = base.DEFAULT_NODE,
    output: base.Output = 'table',
) -> None:
    """Restore an earlier version of a document as a new configuration.

    Parameters
    ----------
    team
        Team whose document is restored.
    number
        Number of the configuration whose version is restored.
    expected
        See ``apply``.
    dry_run
        See ``apply``.
    change
        See ``apply``.
    """
    client = clients.Client(node)
    if expected is None:
        expected = _accepted_number(client, team)
    answer = client.post(
        f'/v1/documents/{team}/restore?number={number}'
        f'&{_query_string(expected, change, dry_run)}'
    )
    _show_change(answer, output)
