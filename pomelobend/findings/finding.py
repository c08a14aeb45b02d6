"""A finding: what is wrong, and the place where it stands."""

from __future__ import annotations

import enum

import attrs


class Code(enum.StrEnum):
    """Stable codes of findings."""

    SYNTAX = 'PF001'
    UNKNOWN_KEY = 'PF002'
    MISSING_KEY = 'PF003'
    WRONG_TYPE = 'PF004'
    OUT_OF_RANGE = 'PF005'
    NOT_A_CHOICE = 'PF006'
    MALFORMED = 'PF007'
    DUPLICATE_NAME = 'PF008'
    UNKNOWN_REFERENCE = 'PF009'
    UNREADABLE = 'PF010'
    CYCLE = 'PF011'
    FORBIDDEN = 'PF012'


@attrs.frozen
class Finding:
    """One finding in a settings file or a document.

    Parameters
    ----------
    code : Code
    message : str
    path : str
        JSON pointer within the document.
    line : int or None
        Line in the source text, counted from 1.
    source : str
        File or document that holds the finding.
    """

    code: Code
    message: str
    path: str = ''
    line: int | None = None
    source: str = ''

    def __str__(self) -> str:
        place = (
            self.source
            if self.line is None
            else (f'{self.source}:{self.line}')
        )
        return f'{place}: {self.path or "/"}: {self.code} {self.message}'
