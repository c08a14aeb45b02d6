"""The difference between two documents, line by line."""

from __future__ import annotations

import difflib
import json
import typing


def lines(before: typing.Any, after: typing.Any) -> list[str]:
    """Return a unified difference of the plain forms of two documents."""
    return list(
        difflib.unified_diff(
            _text(before), _text(after), 'accepted', 'new', lineterm=''
        )
    )


def _text(document: typing.Any) -> list[str]:
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True).splitlines()
