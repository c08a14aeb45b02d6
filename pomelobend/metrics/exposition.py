"""Metrics in the formats of Prometheus."""

from __future__ import annotations

import typing

import aioprometheus
from aioprometheus import collectors
import attrs

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend.metrics import counters as counter_module

DESCRIPTIONS = {
    'calls_received': 'Calls from callers and from the local target.',
    'calls_answered': 'Calls answered, by class of status.',
    'calls_refused': 'Calls refused to their caller, by reason and run.',
    'calls_retried': 'Calls sent again, by reason of the refusal before.',
    'retries_denied': 'Retries not made, by reason.',
    'calls_admitted': 'Calls given to the local target.',
    'calls_not_admitted': 'Calls the local target was spared, by reason.',
    'calls_queued': 'Calls that waited for a slot of the local target.',
    'answers_broken': 'Answers that ended before their last byte.',
    'requests_malformed': 'Requests that are not valid HTTP, by status.',
    'peer_greeting_failed': 'Connections refused at greeting, by code.',
    'peer_late_messages': 'Messages dropped, their call having ended.',
    'relay_offers': 'Configurations offered to other nodes.',
    'feed_lost': 'Connections to a relay that were lost.',
    'lease_changes': 'Changes of the relay lease, by kind.',
    'claims_replayed': 'Calls with a key answered from an earlier run.',
    'claims_unsettled': 'Calls with a key whose outcome was not written.',
    'admin_refused': 'Administration requests refused, by code.',
}
"""Every counter, with its help text."""


@attrs.define
class Exposition:
    """Builds the text of a metrics page out of counters and gauges."""

    counters: counter_module.Counters
    gauges: dict[str, abc.Callable[[], float]] = attrs.field(factory=dict)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the page and its headers.

        Parameters
        ----------
        accept : str
            Value of the ``Accept`` header of the request.
        """
        registry = collectors.Registry()
        for name in sorted(DESCRIPTIONS):
            counter = aioprometheus.Counter(
                f'pomelobend_{name}_total',
                DESCRIPTIONS[name],
                registry=registry,
            )
            for (key, reason), value in self.counters.counts.items():
                if key == name:
                    counter.set({'reason': reason}, value)
        for name, read in sorted(self.gauges.items()):
            gauge = aioprometheus.Gauge(
                f'pomelobend_{name}',
                name.replace('_', ' '),
                registry=registry,
            )
            gauge.set({}, read())
        return aioprometheus.render(registry, [accept or 'text/plain'])
