"""The platform, as far as it watches over the processes of the nodes."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import typing

if typing.TYPE_CHECKING:
    from review.loopback import deployment as deployments

MEMORY_MB = 300
INTERVAL_S = 0.02
RESTART_S = 0.3


class Platform:
    """Kills each process that exceeds its memory, and starts it again."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.kills: collections.Counter = collections.Counter()
        self.most_mb: collections.Counter = collections.Counter()

    async def run(self) -> None:
        """Watch the processes until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for name, process in list(self.deployment.nodes.items()):
                memory_mb = _resident_mb(process.pid)
                self.most_mb[name] = max(self.most_mb[name], memory_mb)
                if process.poll() is not None:
                    self.deployment.note(name, 'ended', process.returncode)
                elif memory_mb > MEMORY_MB:
                    self.deployment.note(name, 'uses', memory_mb, 'MB: killed')
                    process.kill()
                    process.wait()
                else:
                    continue
                self.kills[name] += 1
                await asyncio.sleep(RESTART_S)
                self.deployment.start_node(name)


def _resident_mb(process: int) -> int:
    with contextlib.suppress(OSError):
        text = pathlib.Path(f'/proc/{process}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) // 1024
    return 0
