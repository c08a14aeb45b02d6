"""Source texts in JSON with comments, with the line of every value."""

from __future__ import annotations

import json
import pathlib
import re

import attrs
import json_source_map

from pomelobend import errors
from pomelobend.findings import finding

_TOKEN = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/|,(?=(?:\s|//[^\n]*|/\*.*?\*/)*'
    r'[}\]])',
    re.DOTALL,
)


@attrs.frozen
class Source:
    """A parsed text and the line of each JSON pointer in it."""

    name: str
    value: object
    lines: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_text(cls, text: str, name: str) -> Source:
        """Parse JSON with comments.

        Raises
        ------
        errors.FindingsError
            The text is not JSON with comments.
        """
        plain = _TOKEN.sub(_blank, text)
        try:
            value = json.loads(plain, object_pairs_hook=_unique)
            lines = {
                path: entry.value_start.line + 1
                for path, entry in json_source_map.calculate(plain).items()
            }
        except json.JSONDecodeError as error:
            raise errors.FindingsError(
                [
                    finding.Finding(
                        finding.Code.SYNTAX,
                        f'{error.msg} at column {error.colno}',
                        line=error.lineno,
                        source=name,
                    )
                ]
            ) from error
        except (ValueError, RecursionError) as error:
            raise errors.FindingsError(
                [finding.Finding(finding.Code.SYNTAX, str(error), source=name)]
            ) from error
        return cls(name, value, lines)

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Source:
        """Read and parse a file.

        Raises
        ------
        errors.FindingsError
            The file cannot be read or is not JSON with comments.
        """
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            raise errors.FindingsError(
                [
                    finding.Finding(
                        finding.Code.UNREADABLE, str(error), source=str(path)
                    )
                ]
            ) from error
        return cls.from_text(text, str(path))

    @classmethod
    def from_value(cls, value: object, name: str) -> Source:
        """Wrap a value that came without a source text."""
        return cls(name, value)


def _blank(match: re.Match[str]) -> str:
    """Replace a comment by blanks, so that lines and columns stay."""
    token = match.group()
    if token.startswith('"'):
        return token
    return re.sub(r'[^\n]', ' ', token)


def _unique(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Build an object, refusing a key that stands twice."""
    result = dict(pairs)
    if len(result) != len(pairs):
        seen: set[str] = set()
        twice = sorted({k for k, _ in pairs if k in seen or seen.add(k)})
        raise ValueError(f'key stands twice: {", ".join(twice)}')
    return result
