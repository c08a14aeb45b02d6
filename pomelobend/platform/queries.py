"""Reads from the platform's object API."""

from __future__ import annotations

import json
import typing

import aiohttp
import attrs

from pomelobend import errors

if typing.TYPE_CHECKING:
    from pomelobend.platform import session


@attrs.frozen
class StoredObject:
    """An object as the platform holds it."""

    kind: str
    name: str
    version: int
    value: typing.Any


@attrs.frozen
class Changes:
    """Names of kinds and objects that changed, up to a revision."""

    revision: int
    names: tuple[tuple[str, str], ...]


class Queries:
    """Queries of the platform."""

    def __init__(self, connection: session.Session) -> None:
        self.connection = connection

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return one object.

        Raises
        ------
        errors.PlatformNotFoundError
        errors.PlatformUnavailableError
        """
        body = await self._fetch(f'/objects/{kind}/{name}')
        return StoredObject(kind, name, body['version'], body['value'])

    async def list(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        body = await self._fetch(f'/objects/{kind}')
        return [
            StoredObject(kind, item['name'], item['version'], item['value'])
            for item in body['objects']
        ]

    async def watch(self, kinds: tuple[str, ...], after: int) -> Changes:
        """Wait for changes of some kinds after a revision.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        wait = self.connection.settings.watch.total_seconds()
        body = await self._fetch(
            f'/watch?kinds={",".join(kinds)}&after={after}&wait={wait}',
            extra_s=wait,
        )
        names = tuple((kind, name) for kind, name in body['changed'])
        return Changes(body['revision'], names)

    async def _fetch(self, path: str, extra_s: float = 0.0) -> typing.Any:
        try:
            async with self.connection.request(
                'GET', path, extra_s=extra_s
            ) as response:
                if response.status == 404:
                    raise errors.PlatformNotFoundError(path)
                if response.status != 200:
                    raise errors.PlatformUnavailableError(
                        f'{path}: status {response.status}'
                    )
                return json.loads(await response.read())
        except (TimeoutError, aiohttp.ClientError, ValueError) as err:
            raise errors.PlatformUnavailableError(
                f'{path}: {err or type(err).__name__}'
            ) from err
