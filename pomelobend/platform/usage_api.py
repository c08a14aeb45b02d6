"""Client of the platform's usage API."""

from __future__ import annotations

import enum
import json
import socket
import struct
import typing

import attrs
import structlog

from pomelobend import errors
from pomelobend import limits
from pomelobend.targets import channel_pool as channel_pools

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.targets import channel as channel_module
    from pomelobend.usage import duty as duties

logger = structlog.get_logger('usage')

PATH = '/usage'

MAX_RESPONSE_BYTES = 64 * 1024

CONNECT_TIMEOUT_S = 1.0
"""Another node can take over only after the lease, within the 10 s in which a
report is due, so that a link that is cut must be noticed soon."""

READ_TIMEOUT_S = 10.0
"""Longest gap between bytes of a response; a report has a shorter limit."""


class Outcome(enum.Enum):
    """What became of a report."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    NOT_SENT = 'not sent'


@attrs.define(eq=False)
class UsageApi:
    """Client of the usage API; each report has a connection of its own."""

    channels: channel_pools.ChannelPool

    @classmethod
    def from_config(
        cls, address: str, lease_s: float, clock: clocks.Clock
    ) -> UsageApi:
        """Return a client.

        A connection that is closed, or on which nothing is acknowledged for
        the time of the lease, is reset. The kernel would otherwise go on to
        send a report after the lease, for instance once a link is back.

        Parameters
        ----------
        address : str
        lease_s : float
        clock : clocks.Clock
        """
        options = (
            (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                max(int(lease_s * 1000), 1),
            ),
        )
        pool = channel_pools.ChannelPool(clock, options=options)
        pool.use(address)
        return cls(pool)

    async def send(
        self,
        report: duties.Report,
        holder: str,
        token: int,
        may_send: abc.Callable[[], bool],
    ) -> Outcome:
        """Send a report.

        Parameters
        ----------
        report : duties.Report
        holder : str
        token : int
        may_send : callable
            Called right before the first byte is sent.
        """
        channel = None
        try:
            async with limits.Limit(CONNECT_TIMEOUT_S):
                channel = await self.channels.acquire(is_idempotent=False)
            if not may_send():
                return Outcome.NOT_SENT
            return await self._exchange(channel, report, holder, token)
        except (TimeoutError, OSError, errors.AnswerBrokenError) as error:
            logger.info(
                'usage: report not answered',
                window=report.window,
                token=token,
                why=repr(error)[:200],
            )
            return Outcome.UNREACHABLE
        finally:
            if channel is not None:
                channel.close()

    async def _exchange(
        self,
        channel: channel_module.Channel,
        report: duties.Report,
        holder: str,
        token: int,
    ) -> Outcome:
        body = json.dumps(
            {'window_no': report.window, 'instance_counts': report.counts},
            separators=(',', ':'),
        ).encode()
        channel.begin(is_without_body=False)
        channel.write_request(self._head(len(body), holder, token), body)
        head = await channel.wait_for_head()
        size = 0
        async for part in channel.body(READ_TIMEOUT_S):
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                break
        if 200 <= head.status < 300:
            return Outcome.ACCEPTED
        logger.info(
            'usage: report refused',
            window=report.window,
            token=token,
            status=head.status,
        )
        return Outcome.REFUSED

    def _head(self, length: int, holder: str, token: int) -> bytes:
        lines = [
            f'POST {PATH} HTTP/1.1',
            f'host: {self.channels.address}',
            'content-type: application/json',
            f'content-length: {length}',
            f'X-Duty-Holder: {holder}',
            f'X-Fence-Token: {token}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'
