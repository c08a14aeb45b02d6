"""The command that runs a node."""

from __future__ import annotations

import pathlib

from pomelobend.cmd import base
from pomelobend import config


@base.app.command
@base.reported
def node(*, settings: pathlib.Path) -> None:
    """Run the node of a VM until SIGTERM.

    Parameters
    ----------
    settings
        Settings of the node, in JSON with comments.
    """
    read = config.Settings.from_file(settings)

    from pomelobend import app as apps
    from pomelobend import logs
    from pomelobend import loop

    logs.configure(read.logs)

    async def serve() -> None:
        await apps.Node.from_config(read).run()

    loop.run(serve)
