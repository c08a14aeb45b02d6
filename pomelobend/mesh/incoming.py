"""Calls and messages that arrive on the connections between nodes."""

from __future__ import annotations

import typing

import attrs

from pomelobend import errors
from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from pomelobend.mesh import broadcasts
    from pomelobend.mesh import crash_reports as crash_report_module
    from pomelobend.mesh import directory as directories
    from pomelobend.mesh import domain_links
    from pomelobend.mesh import feed as feeds
    from pomelobend.mesh import rollout_controller
    from pomelobend.peers import callee as callees
    from pomelobend.peers import connection as connections
    from pomelobend.peers import stream as streams
    from pomelobend.usage import reporter as reporter_module


@attrs.frozen(eq=False)
class Incoming:
    """Passes what other nodes send to the component that handles it."""

    callee: callees.Callee
    directory: directories.Directory
    feed: feeds.Feed
    links: domain_links.DomainLinks
    broadcaster: broadcasts.Broadcaster
    rollouts: rollout_controller.RolloutController
    crash_reports: crash_report_module.CrashReports
    usage: reporter_module.Reporter | None = None

    async def serve(
        self,
        connection: connections.Connection,
        start: messages.CallStart,
        stream: streams.Stream,
    ) -> None:
        """Serve a call from another node."""
        await self.callee.serve(connection, start, stream)

    def dispatch_message(
        self, connection: connections.Connection, message: messages.Message
    ) -> None:
        """Dispatch a message that does not belong to a call.

        Raises
        ------
        errors.ProtocolError
            No component handles such a message.
        """
        match message:
            case messages.Announce():
                self.directory.handle_announce(connection, message)
            case messages.Following():
                self.feed.handle_following(connection, message)
            case messages.DomainSubscription():
                self.links.handle_subscription(connection, message)
            case messages.DomainMembers():
                self.links.handle_members(connection, message)
            case messages.DomainDigests():
                self.links.handle_digests(connection, message)
            case messages.DomainRequest():
                self.links.handle_request(connection, message)
            case messages.Broadcasts():
                self.broadcaster.handle(connection, message)
            case messages.Want():
                self.feed.handle_want(connection, message)
            case messages.Listing():
                self.feed.handle_listing(connection, message)
            case messages.UsageCounts():
                if self.usage is not None:
                    self.usage.exchange.handle_counts(connection, message)
            case _:
                raise errors.ProtocolError(
                    f'{type(message).__name__} not expected'
                )

    def dispatch_broadcast(
        self, origin: str, message: messages.Message
    ) -> None:
        """Dispatch a message that a node has broadcast.

        Parameters
        ----------
        origin : str
            Name of that node, which may not be the one that passed it on.
        message : messages.Message

        Raises
        ------
        errors.ProtocolError
            No component handles such a message.
        """
        match message:
            case messages.Evidence():
                self.rollouts.handle_evidence(origin, message)
            case messages.Crashed():
                self.crash_reports.note(origin, message.calls)
            case messages.UsageSums():
                if self.usage is not None:
                    self.usage.exchange.handle_sums(message)
            case messages.UsageLease():
                if self.usage is not None:
                    self.usage.handle_lease(message)
