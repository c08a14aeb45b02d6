"""Reports of calls that were running on a target when it crashed."""

from __future__ import annotations

import typing

import attrs
import structlog

from pomelobend.peers import messages

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.mesh import broadcasts
    from pomelobend.mesh import directory as directories
    from pomelobend.metrics import counters as counter_module
    from pomelobend.routing import call as call_module
    from pomelobend.routing import quarantine as quarantines

logger = structlog.get_logger('node')


@attrs.frozen(eq=False)
class CrashReports:
    """Shares reports with the other nodes; fills the quarantine from them.

    Parameters
    ----------
    directory : directories.Directory
        Names the versions of the targets that crash.
    """

    quarantine: quarantines.Quarantine
    broadcaster: broadcasts.Broadcaster
    counters: counter_module.Counters
    directory: directories.Directory

    def report(self, fingerprints: frozenset[bytes]) -> None:
        """Tell all nodes which calls may have crashed the local target."""
        self.broadcaster.send(messages.Crashed(tuple(fingerprints)))
        self.note(self.directory.own.node, fingerprints)

    def note(self, node: str, fingerprints: abc.Iterable[bytes]) -> None:
        """Count a crash for each call that was running on a node's target."""
        version = self.directory.version_at(node)
        for fingerprint in self.quarantine.note_crash(fingerprints, version):
            self.counters.add('calls_quarantined')
            logger.warning('node: call quarantined', call=fingerprint.hex())

    def is_current(self, message: messages.Crashed) -> bool:
        """Return whether a report names a call that is in quarantine."""
        return any(
            self.quarantine.is_held(fingerprint)
            for fingerprint in message.calls
        )

    def may_run(self, call: call_module.Call) -> bool:
        """Return whether a call may run on the local target.

        The node of the target sees only the beginning of a large body, so it
        leaves the decision on such a call to the node of the caller.
        """
        return self._is_unknown(call) or self.quarantine.admit(
            call.fingerprint, self.directory.own.version
        )

    def note_answered(self, call: call_module.Call) -> None:
        """Record that the local target has run a call to completion."""
        if not self._is_unknown(call):
            self.quarantine.note_answered(
                call.fingerprint, self.directory.own.version
            )

    def note_lost(self, call: call_module.Call) -> bool:
        """Tell all nodes of a held call whose connection broke as it ran.

        Returns whether the call is held. The break counts as a crash then:
        its proof may take until the target is back, and the call may come
        again at any node before.
        """
        fingerprint = call.fingerprint
        if self._is_unknown(call) or not self.quarantine.is_held(fingerprint):
            return False
        self.report(frozenset((fingerprint,)))
        return True

    def _is_unknown(self, call: call_module.Call) -> bool:
        return self.quarantine.is_empty or call.remaining_body is not None
