"""Requests of the command line to the administration API of a node."""

from __future__ import annotations

import asyncio
import json
import os
import typing

import aiohttp
import attrs

from pomelobend.cmd import exits

TIMEOUT_S = 30.0
"""Longest wait for one answer of a node."""

TOKEN_VARIABLE = 'POMELOBEND_TOKEN'
"""Environment variable that holds the token of the team."""


@attrs.frozen
class Client:
    """Sends requests to one node."""

    address: str

    def get(self, path: str) -> typing.Any:
        """Return the JSON answer to a query.

        Raises
        ------
        exits.AdminError
        exits.AdminUnreachableError
        """
        return asyncio.run(self._request('GET', path, None))

    def put(self, path: str, body: str) -> typing.Any:
        """Send a body and return the JSON answer.

        Raises
        ------
        exits.AdminError
        exits.AdminUnreachableError
        """
        return asyncio.run(self._request('PUT', path, body))

    def post(self, path: str) -> typing.Any:
        """Send a command without a body and return the JSON answer.

        Raises
        ------
        exits.AdminError
        exits.AdminUnreachableError
        """
        return asyncio.run(self._request('POST', path, None))

    async def _request(
        self, method: str, path: str, body: str | None
    ) -> typing.Any:
        token = os.environ.get(TOKEN_VARIABLE, '')
        headers = {'Authorization': f'Bearer {token}'} if token else {}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    f'http://{self.address}{path}',
                    data=body,
                    headers=headers,
                ) as response,
            ):
                answer = json.loads(await response.read())
                if response.status >= 400:
                    raise exits.AdminError(response.status, answer)
                return answer
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise exits.AdminUnreachableError(
                f'{self.address}: {error!r}'
            ) from error
