"""The command that checks settings and documents."""

from __future__ import annotations

import pathlib

from pomelobend.cmd import base
from pomelobend.cmd import exits
from pomelobend import config
from pomelobend.documents import validate
from pomelobend import errors
from pomelobend.findings import source as sources


@base.app.command
@base.reported
def check(*files: pathlib.Path, output: base.Output = 'table') -> int:
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
    base.show({'files': len(files), 'findings': []}, output)
    return exits.Exit.DONE


def _check_one(path: pathlib.Path) -> list:
    """Check one file; return it with its source if it is a document."""
    source = sources.Source.from_file(path)
    if isinstance(source.value, dict) and 'team' in source.value:
        return [(validate.parse(source), source)]
    config.Settings.from_file(path)
    return []
