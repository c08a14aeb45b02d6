"""The plainest policy to compare with: random choice and naive retries.

It stands where a node stands: calls come in over HTTP, go to a target that
is chosen at random, and are sent again at once, up to twice, when they fail.
Nothing limits how many calls a target gets.
"""

from __future__ import annotations

import argparse
import os
import random

import aiohttp
from aiohttp import web

RETRIES = 2


def build(targets: list[str], timeout_s: float) -> web.Application:
    """Build the HTTP application."""

    async def answer(request: web.Request) -> web.Response:
        session = request.app['session']
        status, body = 502, b''
        for _ in range(RETRIES + 1):
            url = f'http://{random.choice(targets)}{request.path_qs}'
            try:
                async with session.get(
                    url, headers={'x-work-s': request.headers['x-work-s']}
                ) as response:
                    status, body = response.status, await response.read()
            except (aiohttp.ClientError, TimeoutError):
                status, body = 504, b''
            if status == 200:
                break
        return web.Response(status=status, body=body)

    async def open_session(app: web.Application):  # noqa: ANN202
        app['session'] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        )
        yield
        await app['session'].close()

    app = web.Application()
    app.cleanup_ctx.append(open_session)
    app.add_routes([web.get('/{path:.*}', answer)])
    return app


def main() -> None:
    """Parse arguments and serve."""
    os.environ['UV_USE_IO_URING'] = '0'
    import uvloop

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--timeout-s', type=float, required=True)
    parser.add_argument('targets', nargs='+')
    args = parser.parse_args()
    uvloop.install()
    web.run_app(
        build(args.targets, args.timeout_s),
        host='127.0.0.1',
        port=args.port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
