"""The stop of a node: the calls in flight end, then the connections."""

from __future__ import annotations

import contextlib
import typing

import attrs
import structlog

from pomelobend.membership import member as members
from pomelobend.peers import link as peer_links

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.http import server as servers
    from pomelobend.mesh import node as nodes

logger = structlog.get_logger('node')

POLL_S = 0.02
"""Interval between checks whether calls have ended, while a node stops."""

TIMER_S = 0.001
"""Resolution of the timers of the event loop."""

LATE_REPLIES_S = 0.1
"""Time for reading and replying after the closing time of a stop, at most."""

LEAST_SHARE = 1 / 8
"""Least part for a step of the time for all steps of the closing. It is left
to a step where the loop was held up over that time."""


@attrs.define(eq=False)
class Shutdown:
    """Stops a node: no new calls, those in flight end, all is closed.

    Parameters
    ----------
    node : Node
        A node that has announced itself as stopping.
    """

    node: nodes.Node

    async def run(self, signalled_at: float, noted_at: float) -> None:
        """Stop the node within its grace period.

        Parameters
        ----------
        signalled_at, noted_at : float
            The earliest and the latest monotonic time at which the signal to
            stop may have come.
        """
        age_s = self.node.clock.monotonic() - signalled_at
        logger.info(
            'node: stopping',
            in_flight=self.node.in_flight,
            signal_age_ms=round(age_s * 1000),
        )
        grace_s = self.node.settings.bounds.grace.total_seconds()
        self.node.grace.begin(grace_s, signalled_at, noted_at)
        with _step('announce'):
            self.node.control.publish()
        with _step('say goodbye'):
            self.node.pool.send_goodbye()
        await self._stop_accepting()
        await self._finish_calls()
        await self._close()
        logger.info('node: stopped', in_flight=self.node.in_flight)

    async def _stop_accepting(self) -> None:
        """Accept connections for a while, then close the idle ones.

        The target may call this node as long as it runs accepted calls. Calls
        that callers send after the announcement go to other targets, so that
        they do not hold up the stop.
        """
        listens_s = self.node.grace.listens_until - self.node.clock.monotonic()
        await self.node.clock.sleep(max(listens_s, 0.0))
        self.node.callers_server.end_connections()
        await self._finish_target_calls()
        _stop_server(self.node.callers_server)

    async def _finish_calls(self) -> None:
        """Wait until no call is in flight, at most until the closing.

        A loop that was held up over that time has not read the answers that
        have arrived, nor replied to the callers that still wait.
        """
        await self._wait_while(
            lambda: self.node.in_flight, self.node.grace.closes_at
        )
        late_s = self._part_s(LATE_REPLIES_S, 2)
        late_until = self.node.clock.monotonic() + late_s
        await self._wait_while(lambda: self.node.in_flight, late_until)

    async def _finish_target_calls(self) -> None:
        """Wait until the target runs no call, at most until the replies."""
        await self._wait_while(
            lambda: self.node.gate.in_flight, self.node.grace.replies_until
        )

    async def _finish_replies(self) -> None:
        """Wait until no request is left, at most until the closing."""
        await self._wait_while(
            lambda: any(server.in_flight for server in self.node.http_servers),
            self.node.grace.closes_at,
        )

    async def _wait_while(
        self, is_busy: abc.Callable[[], object], until: float
    ) -> None:
        """Wait while a function returns true, at most until a time."""
        clock = self.node.clock
        while is_busy() and (left_s := until - clock.monotonic()) > 0:
            await clock.sleep(min(POLL_S, max(left_s, TIMER_S)))

    async def _close(self) -> None:
        """Close all connections.

        The target is heard until then: its state decides whether the record
        of this node is deleted.
        """
        for server in self.node.http_servers:
            _stop_server(server)
        await self._finish_replies()
        if self.node.gate.state is not members.State.SERVING:
            with _step('deregister'):
                await self.node.registry.deregister(self._closing_s(2))
            await self._finish_calls()
        self.node.tasks.cancel()
        with _step('close connections to nodes'):
            await self.node.pool.close(self._closing_s(1))
        self.node.gate.client.close()
        self.node.store.close()

    def _closing_s(self, steps: int) -> float:
        """Return the time for a step of the closing, like ``_part_s``."""
        left_s = self.node.grace.closes_at - self.node.clock.monotonic()
        return max(left_s, self._part_s(peer_links.CLOSE_TIMEOUT_S, steps))

    def _part_s(self, most_s: float, steps: int) -> float:
        """Return the time that a step may take past the closing time.

        Parameters
        ----------
        most_s : float
        steps : int
            Number of parts into which the time that is left is divided, this
            one and those that are kept for later steps.
        """
        grace = self.node.grace
        left_s = grace.closed_by - self.node.clock.monotonic()
        least_s = (grace.closed_by - grace.closes_at) * LEAST_SHARE
        return min(most_s, max(left_s / steps, least_s))


@contextlib.contextmanager
def _step(name: str) -> abc.Iterator[None]:
    """Log the failure of a step of the stop, so that the stop goes on."""
    try:
        yield
    except Exception:
        logger.exception('node: step of the stop failed', step=name)


def _stop_server(server: servers.Server) -> None:
    """Stop accepting connections and close the idle ones."""
    with _step('stop listening'):
        server.stop_listening()
    with _step('close idle connections'):
        server.close_idle()
