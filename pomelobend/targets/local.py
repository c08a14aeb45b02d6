"""The local target: announced by itself, kept alive by heartbeats."""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.findings import kinds
from pomelobend.membership import member as members

if typing.TYPE_CHECKING:
    from pomelobend.admission import guard as guards
    from pomelobend import clock as clocks
    from pomelobend import config
    from pomelobend.membership import announcer as announcers

logger = structlog.get_logger('target')


@attrs.frozen
class Announcement:
    """What a target says of itself, again and again while it lives."""

    service: str = kinds.option(kinds.NAME, 'service it belongs to')
    version: str = kinds.option(kinds.NAME, 'version of the service')
    address: str = kinds.option(kinds.Address(), 'address it listens on')
    slots: int = kinds.option(
        kinds.Whole(1, 10_000), 'calls it can run at one time'
    )
    life: str = kinds.option(
        kinds.NAME, 'unique name of this life of the target'
    )
    state: str = kinds.option(
        kinds.Text(choices=('serving', 'draining')),
        'whether it takes new work',
        default='serving',
    )


@attrs.define
class LocalTarget:
    """Follows the announcements of the target in this VM."""

    settings: config.Target
    clock: clocks.Clock
    guard: guards.Guard
    announcer: announcers.Announcer
    current: Announcement | None = None
    heard_at: float = 0.0
    is_stopping: bool = False

    def hear(self, announcement: Announcement) -> None:
        """Take up an announcement."""
        self.heard_at = self.clock.monotonic()
        if announcement == self.current and self.guard.service:
            return
        before, self.current = self.current, announcement
        if before is None or before.life != announcement.life:
            logger.info(
                'target: started',
                service=announcement.service,
                version=announcement.version,
            )
            self.guard.limiter.start(announcement.slots)
        self.guard.client.use(announcement.address)
        self.guard.service = announcement.service
        self._publish(members.State(announcement.state))

    def drain(self) -> None:
        """Take no new work for the target because this node stops."""
        self.is_stopping = True
        if self.current is not None:
            self._publish(members.State.DRAINING)

    async def watch(self) -> None:
        """Notice when the target falls silent, until cancelled."""
        silence = self.settings.heartbeat.total_seconds()
        while True:
            await self.clock.sleep(silence / 4)
            quiet = self.clock.monotonic() - self.heard_at
            if self.current is not None and quiet > silence:
                logger.warning('target: silent', seconds=round(quiet, 1))
                self.current = None
                self._publish(members.State.ABSENT)

    def _publish(self, state: members.State) -> None:
        if self.is_stopping and state is members.State.SERVING:
            state = members.State.DRAINING
        self.guard.state = state
        current = self.current
        self.announcer.change(
            state=state,
            service=self.guard.service,
            version=current.version if current else '',
            slots=current.slots if current else 0,
        )
