"""Write the pages that list settings, documents and error codes.

``python -m tools.reference`` writes docs/settings.md, docs/documents.md and
docs/errors.md; ``--check`` only compares, and exits with 1 where one differs.
"""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil
import sys
import typing

import attrs

import pomelobend as package
from pomelobend.cmd import exits
from pomelobend import config
from pomelobend.documents import model
from pomelobend import errors
from pomelobend.findings import finding
from pomelobend.findings import kinds
from pomelobend.findings import reader
from pomelobend.metrics import exposition

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


def value_rows(cls: type, prefix: str) -> typing.Iterator[str]:
    """Yield a row for each value of a class and of those below it."""
    for field in attrs.fields(cls):
        kind = field.metadata['kind']
        path = f'{prefix}{field.name}'
        yield (
            f'| `{path}` | {describe(kind)} | {field.metadata["unit"]} '
            f'| {default_of(field)} | {field.metadata["doc"]} |'
        )
        inner = kind.kind if isinstance(kind, kinds.Items) else kind
        if isinstance(inner, kinds.Table):
            mark = '[].' if isinstance(kind, kinds.Items) else '.'
            yield from value_rows(inner.cls, f'{path}{mark}')


def describe(kind: object) -> str:
    """Return the kind of a value in words."""
    match kind:
        case kinds.Items():
            return f'list: {describe(kind.kind)}'
        case kinds.Table():
            return 'object'
        case kinds.Text(choices=choices) if choices:
            return ' or '.join(f'`{choice}`' for choice in choices)
        case kinds.Whole() | kinds.Ratio():
            return f'{kind.lowest} to {kind.highest}'
        case kinds.Duration():
            return f'{kind.lowest_ms} to {kind.highest_ms}'
        case _:
            return type(kind).__name__.lower()


def default_of(field: attrs.Attribute) -> str:
    """Return the default of a value as it would be written."""
    if field.default is attrs.NOTHING:
        return 'required'
    if isinstance(field.default, attrs.Factory):
        return ''
    return f'`{reader.plain(field.default)}`'


def values_page(title: str, intro: str, cls: type) -> str:
    """Return a page that lists all values of a class."""
    head = ['| value | kind | unit | default | what it is |',
            '| --- | --- | --- | --- | --- |']  # fmt: skip
    return '\n'.join([f'# {title}', '', intro, '', *head,
                      *value_rows(cls, ''), ''])  # fmt: skip


def first_line(item: object) -> str:
    """Return the summary of a doc comment."""
    return (inspect.getdoc(item) or '').splitlines()[0]


def errors_page() -> str:
    """Return the page that lists all codes."""
    for module in pkgutil.walk_packages(package.__path__, 'pomelobend.'):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)
    codes = sorted(errors.registry().items())
    return '\n'.join(
        [
            '# Errors', '',
            'Codes are stable: a code is never given another meaning.', '',
            '## Errors of the project', '',
            '| code | error | meaning |', '| --- | --- | --- |',
            *(f'| {code} | `{cls.__name__}` | {first_line(cls)} |'
              for code, cls in codes),
            '', '## Findings in settings and documents', '',
            '| code | finding |', '| --- | --- |',
            *(f'| {code} | {code.name.lower().replace("_", " ")} |'
              for code in finding.Code),
            '', '## Reasons of refused calls', '',
            'A refusal carries the headers `pomelobend-refused` (the reason) '
            'and', '`pomelobend-run` (`not-run` or `unknown`); '
            '`docs/operators.md` says what to do.', '',
            *(f'* `{reason}`' for reason in errors.Reason),
            '', '## Exit codes of the command line', '',
            '| code | meaning |', '| --- | --- |',
            *(f'| {code.value} | {code.name.lower()} |'
              for code in exits.Exit),
            '', '## Counters', '',
            '| name | meaning |', '| --- | --- |',
            *(f'| `pomelobend_{name}_total` | {text} |'
              for name, text in sorted(exposition.DESCRIPTIONS.items())),
            '',
        ]
    )  # fmt: skip


def pages() -> dict[str, str]:
    """Return the text of every page by its name."""
    return {
        'settings.md': values_page(
            'Settings of a node',
            'JSON with comments. `pomelobend check FILE` reports all '
            'findings.',
            config.Settings,
        ),
        'documents.md': values_page(
            'Documents of teams',
            'JSON with comments. `pomelobend check FILE ...` checks several '
            'together.',
            model.Document,
        ),
        'errors.md': errors_page(),
    }


def differing() -> list[str]:
    """Return the names of pages that differ from the code."""
    return [
        name
        for name, text in pages().items()
        if not (DOCS / name).exists() or (DOCS / name).read_text() != text
    ]


def main() -> None:
    """Write or check the pages."""
    if '--check' in sys.argv[1:]:
        sys.exit(1 if differing() else 0)
    for name, text in pages().items():
        (DOCS / name).write_text(text)


if __name__ == '__main__':
    main()
