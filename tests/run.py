"""Run linters and all features; pass over what KNOWN-RED.txt lists.

Each linter and each scenario counts as one test.

Usage: python -m tests.run [behave argument ...]

With arguments only the features they name are run, and no linter.
"""

from __future__ import annotations

import collections
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


LINTERS = (
    ('ruff', 'format', '--check', '.'),
    ('ruff', 'check', '.'),
    ('flake8',),
)


def lint() -> list[tuple[str, str]]:
    """Run the linters and return the name and the status of each."""
    return [
        (
            ' '.join(command),
            'failed'
            if subprocess.run(
                [sys.executable, '-m', *command], cwd=ROOT, check=False
            ).returncode
            else 'passed',
        )
        for command in LINTERS
    ]


def known_red() -> set[str]:
    """Return the scenarios that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test: ')
        for line in lines
        if line.startswith('test: ')
    }


def scenarios(report: list) -> list[tuple[str, str]]:
    """Return the name and the status of every scenario of a report."""
    return [
        (f'{feature["name"]}: {element["name"]}', element['status'])
        for feature in report
        for element in feature.get('elements', ())
        if element['type'] != 'background'
    ]


def main() -> int:
    """Run behave and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable, '-m', 'behave', '--no-source', '--no-timings',
            '-f', 'json', '-o', str(path), '-f', 'progress',
            *(sys.argv[1:] or ['tests']),
        ]  # fmt: skip
        ended = subprocess.run(command, cwd=ROOT, check=False)
        text = path.read_text() if path.exists() else ''
        found = scenarios(json.loads(text or '[]'))
    if not found:
        found = [('no scenario was run', 'failed')]
    if not sys.argv[1:]:
        found += lint()
    counts = collections.Counter(status for _, status in found)
    failed = {name for name, s in found if s not in ('passed', 'skipped')}
    known = known_red()
    for name in sorted(failed & known):
        print(f'known red: {name}')
    for name in sorted(failed - known):
        print(f'failed: {name}')
    print(
        f'{counts["passed"]} passed, {len(failed)} failed, '
        f'{counts["skipped"]} skipped'
    )
    is_broken = ended.returncode and not failed
    return 1 if failed - known or is_broken else 0


if __name__ == '__main__':
    sys.exit(main())
