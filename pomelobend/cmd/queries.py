"""Commands that show configurations and the state of a node."""

from __future__ import annotations

import json
import typing

from pomelobend import __version__
from pomelobend.cmd import base
from pomelobend.cmd import client as clients

if typing.TYPE_CHECKING:
    from pomelobend.cmd import output


@base.app.command
@base.report_errors
def get(
    team: str = '',
    *,
    node: base.Address = base.DEFAULT_NODE,
    output: base.Output = 'table',
) -> None:
    """Show the document of a team, or list all active documents.

    Parameters
    ----------
    team
        Team whose accepted document is shown, as stored by the platform.
        Without it, the documents that are active on the node are listed.
    """
    client = clients.Client(node)
    if team:
        _show_document(client.get(f'/v1/documents/{team}'), output)
        return
    answer = client.get('/v1/documents')
    if output == 'json':
        base.show(answer, output)
        return
    base.table(
        ('team', 'configuration', 'digest'),
        (
            (name, ref['number'], ref['digest'])
            for name, ref in answer['documents'].items()
        ),
    )


@base.app.command
@base.report_errors
def history(
    *, node: base.Address = base.DEFAULT_NODE, output: base.Output = 'table'
) -> None:
    """Show accepted changes, newest first."""
    changes = clients.Client(node).get('/v1/history')['changes']
    if output == 'json':
        base.show(changes, output)
        return
    base.table(
        ('configuration', 'team', 'author', 'at', 'digest'),
        (
            (
                change['number'],
                change['team'],
                change['author'],
                change['at'],
                change['digest'],
            )
            for change in changes
        ),
    )


@base.app.command
@base.report_errors
def status(
    *, node: base.Address = base.DEFAULT_NODE, output: base.Output = 'table'
) -> None:
    """Show the status of a node, with the targets and relays it knows."""
    answer = clients.Client(node).get('/v1/status')
    if output == 'json':
        base.show(answer, output)
        return
    members = answer.pop('members')
    base.table(('node status', 'value'), answer.items())
    print()
    base.table(
        ('node', 'domain', 'service', 'version', 'state', 'slots'),
        (
            (
                member['node'],
                member['domain'],
                member['service'] or '-',
                member['version'] or '-',
                member['state'],
                member['slots'],
            )
            for member in members
        ),
    )


@base.app.command
@base.report_errors
def version(*, output: base.Output = 'table') -> None:
    """Show the version of pomelobend."""
    base.show({'version': __version__}, output)


def _show_document(answer: dict, form: output.Form) -> None:
    if form == 'json':
        base.show(answer, form)
        return
    print(json.dumps(answer['document'], indent=2))
