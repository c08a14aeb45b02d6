"""Weigh the ways to one file: ``python -m tools.weigh``.

Builds the file in each way, starts ``version`` four times with an empty
environment, and prints one JSON object for each way. The folder into which
a file unpacks is emptied before the first start.
"""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import typing

from tools import build

PEX_ROOT = '/dev/shm/pomelobend-pex'
LATER_STARTS = 3


def build_shiv(output: pathlib.Path) -> str:
    """Build with shiv and return the folder into which it unpacks."""
    command = [sys.executable, '-m', 'tools.build', str(output)]
    subprocess.run(command, check=True, cwd=build.ROOT, capture_output=True)
    return build.UNPACKED


def build_pex(output: pathlib.Path) -> str:
    """Build with pex and return the folder into which it unpacks."""
    command = [
        sys.executable, '-m', 'pex', str(build.ROOT),
        '--requirement', str(build.ROOT / 'requirements.txt'),
        '--console-script', 'pomelobend',
        '--output-file', str(output),
        '--runtime-pex-root', PEX_ROOT,
    ]  # fmt: skip
    subprocess.run(command, check=True, cwd=build.ROOT, capture_output=True)
    return PEX_ROOT


def start(command: list[str]) -> tuple[float, float]:
    """Return the seconds and the peak resident MB of one start."""
    began = time.perf_counter()
    process = subprocess.Popen(command, env={}, stdout=subprocess.DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f'{command} ended with {process.returncode}')
    return time.perf_counter() - began, usage.ru_maxrss * 1024 / 1e6


def size_mb(path: pathlib.Path) -> float:
    """Return the size of a file, or of all files in a folder."""
    files = [path] if path.is_file() else path.rglob('*')
    size = sum(f.lstat().st_size for f in files if not f.is_dir())
    return round(size / 1e6, 1)


def weigh(
    way: str, builder: typing.Callable[[pathlib.Path], str]
) -> dict[str, typing.Any]:
    """Build and start in one way and return what it costs."""
    with tempfile.TemporaryDirectory() as folder:
        output = pathlib.Path(folder) / 'pomelobend'
        root = builder(output)
        shutil.rmtree(root, ignore_errors=True)
        command = [sys.executable, str(output), 'version']
        first, _ = start(command)
        later = sorted(start(command) for _ in range(LATER_STARTS))
        found = {
            'way': way,
            'file_mb': size_mb(output),
            'unpacked_mb': size_mb(pathlib.Path(root)),
            'first_start_s': round(first, 2),
            'later_start_s': round(later[LATER_STARTS // 2][0], 2),
            'rss_mb': round(later[LATER_STARTS // 2][1], 1),
        }
        shutil.rmtree(root, ignore_errors=True)
    return found


def main() -> None:
    """Weigh all ways."""
    for way, builder in (('shiv', build_shiv), ('pex', build_pex)):
        print(json.dumps(weigh(way, builder)), flush=True)
    command = [sys.executable, '-m', 'pomelobend', 'version']
    times = sorted(start(command) for _ in range(LATER_STARTS))
    seconds, rss = times[LATER_STARTS // 2]
    print(
        json.dumps(
            {
                'way': 'virtual environment',
                'later_start_s': round(seconds, 2),
                'rss_mb': round(rss, 1),
            }
        )
    )


if __name__ == '__main__':
    main()
