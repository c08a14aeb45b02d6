"""Calls that a simulated target makes while it runs a request.

``x-nested-path`` names their path, ``x-nested-work-s`` their processing time
in seconds; ``x-nested-count`` (1), ``x-nested-method`` (``POST``) and
``x-nested-limit-ms`` may be set as well. With ``x-nested-together`` they are
sent at the same time, else one after the other.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

import aiohttp

if typing.TYPE_CHECKING:
    from aiohttp import web

DEFAULT_DEADLINE_MS = 4000

_numbers = itertools.count(1)


async def run(
    request: web.Request, outbound: str, ended_by: float, found: list[list]
) -> bool:
    """Make the calls of a request; return whether all have succeeded.

    Parameters
    ----------
    outbound : str
        Address of the node that takes them.
    ended_by : float
        Unix time at which the request expires.
    found : list of list
        Gets an entry for each call: attempt id, status (0 if the connection
        failed), whether a target has signed the answer, the Unix times at
        which it was sent and at which it ended (0 if the request was
        cancelled), its deadline in s, method and path.
    """
    count = int(request.headers.get('x-nested-count', 1))
    together = count if 'x-nested-together' in request.headers else 1
    results = []
    for _ in range(0, count, together):
        results += await asyncio.gather(
            *(
                _call(request, outbound, ended_by, found)
                for _ in range(together)
            )
        )
    return all(results)


async def _call(
    request: web.Request, outbound: str, ended_by: float, found: list[list]
) -> bool:
    given = request.headers
    left_ms = round((ended_by - time.time()) * 1000)
    limit_ms = min(int(given.get('x-nested-limit-ms', left_ms)), left_ms)
    if limit_ms <= 0:
        return False
    method = given.get('x-nested-method', 'POST')
    path, number = given['x-nested-path'], next(_numbers)
    headers = {
        'host': given['host'],
        'x-attempt-id': f'{given["x-attempt-id"]}.{number}',
        'x-deadline-ms': str(limit_ms),
        'x-work-s': given.get('x-nested-work-s', '0.1'),
    }
    limit_s = limit_ms / 1000
    identity = headers['x-attempt-id']
    call = [identity, 0, False, time.time(), 0.0, limit_s, method, path]
    found.append(call)
    timeout = aiohttp.ClientTimeout(total=limit_s + 0.1)
    url = f'http://{outbound}{path}'
    try:
        async with request.app['calls'].request(
            method, url, headers=headers, timeout=timeout
        ) as response:
            await response.read()
            call[1] = response.status
            call[2] = 'x-response-signature' in response.headers
    except (aiohttp.ClientError, TimeoutError):
        pass
    call[4] = time.time()
    return call[1] == 200
