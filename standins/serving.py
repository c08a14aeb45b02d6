"""Serving a stand-in over HTTP until it is ended."""

from __future__ import annotations

import argparse
import typing

from aiohttp import web

if typing.TYPE_CHECKING:
    from collections import abc


def serve_by_arguments(
    description: str, build: abc.Callable[[], web.Application]
) -> None:
    """Serve an application on the port that the arguments name."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    web.run_app(
        build(),
        host='127.0.0.1',
        port=args.port,
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )
