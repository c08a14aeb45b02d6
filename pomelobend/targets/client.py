"""HTTP calls to the local target."""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import attrs
import yarl

from pomelobend import calls
from pomelobend import errors

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks

WHOLE_BYTES = 64 * 1024
"""Largest answer that is read as a whole before it is passed on."""

_SKIPPED = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


@attrs.define(eq=False)
class Client:
    """Calls the target over a bounded number of kept connections."""

    clock: clocks.Clock
    session: aiohttp.ClientSession
    base: str = ''

    @classmethod
    def from_config(cls, clock: clocks.Clock) -> Client:
        """Open a client; call it inside the event loop."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED,
            timeout=aiohttp.ClientTimeout(),
            max_line_size=65_536,
            max_field_size=65_536,
        )
        # A call that is not idempotent must not be sent twice, whatever its
        # method; aiohttp would repeat PUT and DELETE on a stale connection.
        session._retry_connection = False
        return cls(clock, session)

    def use(self, address: str) -> None:
        """Call the target at an address from now on."""
        self.base = f'http://{address}'

    async def call(self, call: calls.Call) -> calls.Answer:
        """Run a call on the target.

        Raises
        ------
        errors.CallRefusedError
            ``NOT_RUN`` only where no connection could be had.
        """
        left = call.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._exchange(call, left)
        except TimeoutError as error:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_TIMEOUT, errors.Run.UNKNOWN
            ) from error
        except aiohttp.ClientConnectorError as error:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_UNREACHABLE, detail=str(error)
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.CallRefusedError(
                errors.Reason.TARGET_LOST,
                errors.Run.UNKNOWN,
                f'{type(error).__name__} {error}',
            ) from error

    async def close(self) -> None:
        """Close all connections to the target."""
        await self.session.close()

    async def _exchange(self, call: calls.Call, left: float) -> calls.Answer:
        response = await self.session.request(
            call.method,
            yarl.URL(self.base + call.path.decode('ascii'), encoded=True),
            headers=_request_headers(call, left),
            data=call.body if call.rest is None else call.rest,
            allow_redirects=False,
        )
        length = response.content_length
        has_no_body = call.method == 'HEAD'
        if has_no_body or (length is not None and length <= WHOLE_BYTES):
            body = await response.read()
            return calls.Answer(
                response.status, _answer_headers(response), body
            )
        return calls.Answer(
            response.status,
            _answer_headers(response),
            b'',
            _parts(response),
        )


def _request_headers(call: calls.Call, left: float) -> calls.Headers:
    headers = [
        (name, value)
        for name, value in call.headers
        if name != 'content-length' or call.rest is not None
    ]
    headers.append((calls.DEADLINE_HEADER, str(int(left * 1000))))
    headers.append((calls.ATTEMPT_HEADER, str(call.attempt)))
    return headers


def _answer_headers(response: aiohttp.ClientResponse) -> calls.Headers:
    return calls.end_to_end(
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in response.raw_headers
    )


async def _parts(
    response: aiohttp.ClientResponse,
) -> abc.AsyncIterator[bytes]:
    """Yield the body of an answer as it arrives."""
    try:
        async for part in response.content.iter_any():
            yield part
    except (aiohttp.ClientError, OSError) as error:
        raise errors.AnswerBrokenError(
            f'{type(error).__name__} {error}'
        ) from error
    finally:
        response.close()
