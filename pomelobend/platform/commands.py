"""Writes to the platform's object API, all of them conditional."""

from __future__ import annotations

import json
import typing

import aiohttp

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend.platform import session

ABSENT = 0
"""Version that a write names where the object must not exist yet."""


class Commands:
    """Commands to the platform."""

    def __init__(self, connection: session.Session) -> None:
        self.connection = connection

    async def put(
        self, kind: str, name: str, value: typing.Any, version: int
    ) -> int:
        """Write an object if its current version is the one named.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        errors.PlatformConflictError
            The current version is another one; nothing was written.
        errors.PlatformUnavailableError
            The platform refused; nothing was written.
        errors.PlatformOutcomeUnknownError
            The write was sent and may have taken effect.
        """
        body = json.dumps(value, separators=(',', ':')).encode()
        path = f'/objects/{kind}/{name}'
        try:
            async with self.connection.request(
                'PUT', path, data=body, headers={'If-Match': str(version)}
            ) as response:
                answer = await response.read()
                return _settle(path, response.status, answer)
        except aiohttp.ClientConnectorError as error:
            raise errors.PlatformUnavailableError(
                f'{path}: {error}'
            ) from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as err:
            raise errors.PlatformOutcomeUnknownError(
                f'{path}: {err or type(err).__name__}'
            ) from err


def _settle(path: str, status: int, answer: bytes) -> int:
    if status == 200:
        return json.loads(answer)['version']
    if status == 409:
        current = json.loads(answer)['version']
        raise errors.PlatformConflictError(
            f'{path}: the current version is {current}', current
        )
    if status in (429, 503):
        raise errors.PlatformUnavailableError(f'{path}: status {status}')
    raise errors.PlatformOutcomeUnknownError(f'{path}: status {status}')
