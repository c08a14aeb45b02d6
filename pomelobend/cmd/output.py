"""Output of commands: tables for people, JSON for machines."""

from __future__ import annotations

import json
import typing

from rich import console
from rich import table as tables

if typing.TYPE_CHECKING:
    from collections import abc

Form = typing.Literal['table', 'json']


def show_json(value: typing.Any) -> None:
    """Print a value as JSON on one line."""
    print(json.dumps(value))


def show_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> None:
    """Print rows under their column heads."""
    table = tables.Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.Console(highlight=False, soft_wrap=True).print(table)
