"""Set-up of logs: short sentences, each with the prefix of its part."""

from __future__ import annotations

import logging
import sys
import typing

import structlog

if typing.TYPE_CHECKING:
    from pomelobend import config


def configure(settings: config.Logs) -> None:
    """Write logs to the standard error in the chosen form."""
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    for name in ('sanic', 'picows'):
        logging.getLogger(name).setLevel(logging.CRITICAL)
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.form == 'json'
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
