"""Run linters and all features; pass over what KNOWN-RED.txt lists.

Each linter and each scenario counts as one test.

Usage: python -m tests.run [option of behave ...] [folder or feature ...]

With arguments only the features they name are run, and no linter.
"""

from __future__ import annotations

import collections
from concurrent import futures
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'

AT_ONCE = 3
"""Features that run at one time; each may start a few dozen processes."""

SLOW = ('distribution', 'routing', 'mesh', 'callers', 'targets', 'claims')
"""Folders of features that start processes."""

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


def run_feature(path: str, options: list[str]) -> tuple[list, int]:
    """Run behave on one feature file; return its scenarios and exit code."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable, '-m', 'behave', '--no-source', '--no-timings',
            '-f', 'json', '-o', str(report), '-f', 'progress', *options, path,
        ]  # fmt: skip
        ended = subprocess.run(
            command, cwd=ROOT, check=False, capture_output=True, text=True
        )
        text = report.read_text() if report.exists() else ''
    print(ended.stdout, end='', flush=True)
    if ended.returncode:
        print(ended.stderr, end='', flush=True)
    return scenarios(json.loads(text or '[]')), ended.returncode


def features(arguments: list[str]) -> list[str]:
    """Return the feature files in folders, or the files themselves.

    Those that start processes take long; the longest is begun first.
    """
    found = {
        path
        for argument in arguments or ['tests']
        for path in (
            sorted((ROOT / argument).rglob('*.feature'))
            if (ROOT / argument).is_dir()
            else [ROOT / argument]
        )
    }
    return [
        str(path.relative_to(ROOT))
        for path in sorted(found, key=_weight, reverse=True)
    ]


def _weight(path: pathlib.Path) -> int:
    """Return a rough measure of how long a feature takes: its examples."""
    lines = path.read_text().splitlines()
    count = sum(line.strip().startswith(('|', 'Scenario')) for line in lines)
    return count * (10 if path.parent.name in SLOW else 1)


def main() -> int:
    """Run all features, some at a time, and return the exit code."""
    options = [arg for arg in sys.argv[1:] if arg.startswith('-')]
    paths = [arg for arg in sys.argv[1:] if not arg.startswith('-')]
    found: list[tuple[str, str]] = []
    codes = []
    with futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for ended, code in pool.map(
            lambda path: run_feature(path, options), features(paths)
        ):
            found += ended
            codes.append(code)
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
    is_broken = any(codes) and not failed
    return 1 if failed - known or is_broken else 0


if __name__ == '__main__':
    sys.exit(main())
