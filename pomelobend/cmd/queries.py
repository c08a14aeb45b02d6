"""The commands that show configurations and the state of a node."""

from __future__ import annotations

import json
import typing

from pomelobend import __version__
from pomelobend.cmd import base
from pomelobend.cmd import client as clients

if typing.TYPE_CHECKING:
    from pomelobend.cmd import output


@base.app.command
@base.reported
def get(
    team: str = '',
    *,
    node: base.Address = base.NODE,
    output: base.Output = 'table',
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
@base.reported
def history(
    *, node: base.Address = base.NODE, output: base.Output = 'table'
) -> None:
    """Show the changes that were accepted, the newest first."""
    changes = clients.Client(node).get('/v1/history')['changes']
    if output == 'json':
        base.show(changes, output)
        return
    base.table(
        ('configuration', 'team', 'author', 'at', 'digest'),
        (
            (c['number'], c['team'], c['author'], c['at'], c['digest'])
            for c in changes
        ),
    )


@base.app.command
@base.reported
def status(
    *, node: base.Address = base.NODE, output: base.Output = 'table'
) -> None:
    """Show what a node knows of itself, its targets and its relays."""
    answer = clients.Client(node).get('/v1/status')
    if output == 'json':
        base.show(answer, output)
        return
    members = answer.pop('members')
    base.table(('of the node', 'value'), answer.items())
    print()
    base.table(
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


@base.app.command
@base.reported
def version(*, output: base.Output = 'table') -> None:
    """Show the version of the program."""
    base.show({'version': __version__}, output)


def _show_document(answer: dict, form: output.Form) -> None:
    if form == 'json':
        base.show(answer, form)
        return
    print(json.dumps(answer['document'], indent=2))
