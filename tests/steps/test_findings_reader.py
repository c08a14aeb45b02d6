"""Steps of reading settings and documents."""

from __future__ import annotations

import json
import pathlib
import typing

import behave
import hypothesis
from hypothesis import strategies

from pomelobend.cmd import check
from pomelobend import config
from pomelobend import errors
from pomelobend.findings import reader
from pomelobend.findings import source as sources

ROOT = pathlib.Path(__file__).resolve().parents[2]

SEVERAL = """{
  // A comment, so that lines are counted with it.
  "node": "a", "domain": "selfoss",
  "lisen": {},
  "platform": {"address": "localhost"},
  "peers": {"heartbeat": 1},
  "limits": {"calls": "many"}
}
"""
BROKEN = '{\n  "node": "a",\n  "domain" "selfoss"\n}\n'

_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    'node',
                    'domain',
                    'listen',
                    'callers',
                    'platform',
                    'address',
                    'peers',
                    'seeds',
                    'limits',
                    'logs',
                    'teams',
                    'name',
                ]
            )
            | strategies.text(max_size=8),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)

fixed = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)


def read(text: str) -> list:
    """Read settings and return the findings."""
    try:
        reader.read_source(
            config.Settings, sources.Source.from_text(text, 'node.json')
        )
    except errors.FindingsError as error:
        return list(error.findings)
    return []


@behave.when('settings with several findings are read')
def when_several(context: typing.Any) -> None:
    context.findings = read(SEVERAL)


@behave.when('a broken settings file is read')
def when_broken(context: typing.Any) -> None:
    context.findings = read(BROKEN)


@behave.then('these findings are reported')
def then_findings(context: typing.Any) -> None:
    found = {
        (str(f.code), f.path or '/', str(f.line or ''))
        for f in context.findings
    }
    wanted = {(row['code'], row['path'], row['line']) for row in context.table}
    if ('PF003', '/', '') in wanted:
        found = {(c, p, '' if c == 'PF003' else line) for c, p, line in found}
    assert found == wanted, found


@behave.then('the finding at {path} hints at {hint}')
def then_hint(context: typing.Any, path: str, hint: str) -> None:
    (found,) = [f for f in context.findings if f.path == path]
    assert f'did you mean {hint}' in found.message, found


@behave.then('reading settings from any text ends in settings or findings')
def then_any(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(_json.map(json.dumps) | strategies.text())
    def read_any(text: str) -> None:
        read(text)

    read_any()


@behave.then('a document with comments anywhere reads like one without')
def then_comments(context: typing.Any) -> None:
    @fixed
    @hypothesis.given(_json, strategies.text(alphabet='ab/ "\\{,', max_size=9))
    def read_alike(value: object, comment: str) -> None:
        lines = json.dumps(value, indent=1).splitlines()
        text = (
            '\n'.join(f'{line} // {comment}' for line in lines)
            + '\n/* end\n */'
        )
        assert sources.Source.from_text(text, 'x').value == value

    read_alike()


@behave.then('every sample under examples has no findings')
def then_samples(context: typing.Any) -> None:
    paths = sorted((ROOT / 'examples').glob('*.jsonc'))
    assert len(paths) >= 4
    for path in paths:
        assert check.check(path) == 0, path
