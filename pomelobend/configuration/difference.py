"""Line-by-line difference between two documents."""

from __future__ import annotations

import difflib
import json
import typing


def lines(before: typing.Any, after: typing.Any) -> list[str]:
    """Return a unified diff of the JSON forms of two documents."""
    return list(
        difflib.unified_diff(
            _to_lines(before), _to_lines(after), 'accepted', 'new', lineterm=''
        )
    )


def _to_lines(document: typing.Any) -> list[str]:
    if document is None:
        return []
    return json.dumps(document, indent=2, sort_keys=True).splitlines()
