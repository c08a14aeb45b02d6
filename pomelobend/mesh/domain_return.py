"""Return of the own failure domain after it was withdrawn.

The target may have turned cold while it got no calls, and says so only in its
next heartbeat. Until its health is known it is treated as cold.
"""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.targets import probe as probes

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.admission import gate as gates
    from pomelobend.mesh import state as states

logger = structlog.get_logger('return')


@attrs.define(eq=False)
class DomainReturn:
    """Checks the target when its failure domain is back in service.

    Parameters
    ----------
    domain : str
        Failure domain of this node.
    start : callable
        Runs a coroutine as a task of the node.
    was_withdrawn : bool
        Whether the domain was out of service at the last change.
    """

    domain: str
    gate: gates.Gate
    state: states.State
    probe: probes.Probe
    start: abc.Callable[[abc.Coroutine], object]
    was_withdrawn: bool = False

    def handle_change(self, withdrawn: frozenset[str]) -> None:
        """Handle a change of the withdrawn failure domains."""
        is_withdrawn = self.domain in withdrawn
        if self.was_withdrawn and not is_withdrawn:
            self.gate.assume_cold()
            self.start(self.check())
        self.was_withdrawn = is_withdrawn

    async def check(self) -> None:
        """Probe the target, and take over for how long it is cold.

        Without an answer the next heartbeat tells.
        """
        heartbeat = self.gate.heartbeat
        table = self.state.table
        service = table.services.get(self.gate.service) if table else None
        if heartbeat is None or service is None:
            return
        result = await self.probe.check(heartbeat.address, service.health_path)
        is_known = (
            result.health is probes.Health.SERVING
            and result.target in ('', heartbeat.target)
            and self.gate.heartbeat is not None
            and self.gate.heartbeat.target == heartbeat.target
        )
        logger.info(
            'return: target checked',
            target=heartbeat.target,
            health=result.health.value,
            cold_s=result.cold_for.total_seconds(),
        )
        if is_known:
            self.gate.note_probed_cold(result.cold_for)
