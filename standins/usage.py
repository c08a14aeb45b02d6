"""A simulated usage API of the users' platform, with fault injection.

It records every report, whatever it answers, and takes a number of calls per
second. Faults are set over HTTP at ``/stand-in/faults``.
"""

from __future__ import annotations

import asyncio
import collections
import time

from aiohttp import web
import attrs

from standins import serving

MAX_PER_S = 50


@attrs.define
class Faults:
    """The faults in effect.

    ``is_deaf`` drops reports without a record, ``is_silent`` takes them
    without a response.
    """

    is_limited: bool = False
    is_silent: bool = False
    is_deaf: bool = False
    delay_s: float = 0.0


@attrs.define
class Api:
    """The reports that have arrived, and the faults in effect.

    Parameters
    ----------
    reports : list of dict
        Time of arrival, holder, token, window, counts and status of each.
    recent : collections.deque
        Times of the calls of the last second.
    """

    reports: list[dict] = attrs.field(factory=list)
    recent: collections.deque = attrs.field(factory=collections.deque)
    faults: Faults = attrs.field(factory=Faults)

    async def take(self, request: web.Request) -> web.Response:
        """Record a report and answer it."""
        at = time.time()
        body = await request.json()
        if self.faults.is_deaf:
            request.transport.abort()
            raise web.HTTPServiceUnavailable
        status = 429 if self.faults.is_limited or self._is_full(at) else 200
        self.reports.append(
            {
                'at': at,
                'holder': request.headers['X-Duty-Holder'],
                'token': int(request.headers['X-Fence-Token']),
                'window': body['window_no'],
                'counts': body['instance_counts'],
                'status': status,
            }
        )
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.faults.delay_s)
        return web.Response(status=status)

    async def list_reports(self, request: web.Request) -> web.Response:
        """Return the reports that have arrived."""
        return web.json_response(self.reports)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the faults given in the request body."""
        self.faults = attrs.evolve(self.faults, **await request.json())
        return web.json_response(attrs.asdict(self.faults))

    def _is_full(self, now: float) -> bool:
        """Count a call; return whether there were too many in a second."""
        self.recent.append(now)
        while self.recent[0] <= now - 1.0:
            self.recent.popleft()
        return len(self.recent) > MAX_PER_S


def build() -> web.Application:
    """Build the HTTP application."""
    api = Api()
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app.add_routes(
        [
            web.post('/usage', api.take),
            web.get('/stand-in/reports', api.list_reports),
            web.post('/stand-in/faults', api.set_faults),
        ]
    )
    return app


def main() -> None:
    """Parse arguments and serve until the process is stopped."""
    serving.serve_by_arguments(__doc__, build)


if __name__ == '__main__':
    main()
