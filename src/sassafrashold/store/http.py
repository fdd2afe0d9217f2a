"""HTTP client of the platform's object store and host list.

Only the entry process and the tools import this module: aiohttp does not fit
into the memory budget of control.
"""

import asyncio
import datetime
import json
from typing import Any
import urllib.parse

import aiohttp
import yarl

from sassafrashold import backoff
from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold.store import _interface

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# Bounds all attempts together, so that a store that takes seconds to answer is
# waited for and not sent retries.
_READ_TIMEOUT = datetime.timedelta(seconds=3)
_WRITE_TIMEOUT = datetime.timedelta(seconds=2)
# Python does not convert numbers of thousands of digits.
_MAX_VERSION_DIGITS = 30
# Allowance for the round trip, added to the wait that a watch asks for.
_WATCH_ROUND_TRIP_ALLOWANCE = datetime.timedelta(seconds=1)
# Minimum duration of a watch that returns nothing, so that an
# absent object or a stale replica does not turn a watch into a busy loop.
_MIN_EMPTY_WATCH_DURATION = datetime.timedelta(seconds=1)

_MAX_CONNECTIONS = 64
_READ_BACKOFF = backoff.Backoff(attempts=3)

_WRITE_SUCCESS_STATUSES = frozenset({200, 201, 204})
# Any other 4xx on a write means that nothing was written (protocols.md, 3.1).
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_TOO_MANY_REQUESTS = 429


class _AnswerLostError(Exception):
    """A request was sent, or may have been, and its answer is missing."""


class HttpPlatform:
    """The object store and host list over HTTP/1.1.

    Reads that fail at once are attempted up to three times with full-jitter
    backoff. Writes are sent once: the answer to a repeated write could not be
    told from a conflict.
    """

    def __init__(
        self, address: settings.Address, clock: clock_lib.Clock
    ) -> None:
        """Initializes the client; it connects on its first call.

        Args:
            address: Address of the platform.
            clock: The clock.
        """
        self._base = f"http://{address}/v1"
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections; in-flight calls fail."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> _interface.Stored | None:
        """Returns the object; None if it is absent. May be stale."""
        status, headers, body = await self._read(self._object_url(key))
        if status == 404:
            return None
        return _interface.Stored(key, _version(key, headers), body)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object on the condition that it is at a version."""
        _interface.check_size(key, value)
        headers = await self._write("PUT", key, value, expected_version)
        try:
            return _version(key, headers)
        except errors.StoreError as error:
            raise _interface.ambiguous_error(error.message) from error

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object on the condition that it is at a version."""
        await self._write("DELETE", key, None, expected_version)

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> _interface.Stored | None:
        """Waits for a version newer than `known_version`."""
        started = self._clock.monotonic()
        status, headers, body = await self._read(
            self._object_url(key),
            {
                "If-None-Match": f'"{known_version}"',
                "Prefer": f"wait={wait.total_seconds():g}",
            },
            wait + _WATCH_ROUND_TRIP_ALLOWANCE,
        )
        if status == 200:
            version = _version(key, headers)
            if version > known_version:
                return _interface.Stored(key, version, body)
        elapsed = self._clock.monotonic() - started
        pause = min(wait, _MIN_EMPTY_WATCH_DURATION) - elapsed
        await asyncio.sleep(max(0.0, pause.total_seconds()))
        return None

    async def list(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects by key; may be stale."""
        url = f"{self._base}/objects?prefix=" + urllib.parse.quote(prefix, "")
        _, _, body = await self._read(url)
        try:
            return {
                str(found["key"]): int(found["version"])
                for found in json.loads(body)["objects"]
            }
        except documents.DECODING_ERRORS as error:
            raise _interface.unavailable_error(
                f"malformed list of objects: {error!r}"
            ) from error

    async def host_list(self) -> tuple[int, bytes]:
        """Returns the list's time in Unix milliseconds, and its document."""
        _, _, body = await self._read(f"{self._base}/hosts")
        try:
            return int(json.loads(body)["as_of_unix_ms"]), body
        except documents.DECODING_ERRORS as error:
            raise _interface.unavailable_error(
                f"malformed host list: {error!r}"
            ) from error

    def _object_url(self, key: str) -> str:
        return f"{self._base}/objects/" + urllib.parse.quote(key, "/")

    async def _read(
        self,
        url: str,
        headers: dict[str, str] | None = None,
        timeout: datetime.timedelta | None = None,
    ) -> tuple[int, Any, bytes]:
        """Sends a GET until an answer comes or the attempts are used up.

        Returns:
            The status (200, 304 or 404), the headers and the body.

        Raises:
            StoreError: STORE_UNAVAILABLE.
        """
        reason = ""
        end = self._clock.monotonic() + (timeout or _READ_TIMEOUT)
        for attempt in range(1, _READ_BACKOFF.attempts + 1):
            remaining = end - self._clock.monotonic()
            if remaining <= datetime.timedelta():
                break
            try:
                status, response_headers, body = await self._send(
                    "GET", url, headers or {}, None, remaining
                )
            except (_AnswerLostError, errors.StoreError) as error:
                reason = str(error)
            else:
                if status in {200, 304, 404}:
                    return status, response_headers, body
                reason = f"status {status}"
                if status < 500 and status != _STATUS_TOO_MANY_REQUESTS:
                    break
            if attempt < _READ_BACKOFF.attempts:
                delay = _READ_BACKOFF.delay(attempt)
                await asyncio.sleep(delay.total_seconds())
        raise _interface.unavailable_error(f"GET {url}: {reason}")

    async def _write(
        self, method: str, key: str, value: bytes | None, expected_version: int
    ) -> Any:
        """Sends a conditional write once and returns the headers."""
        condition = (
            {"If-Match": f'"{expected_version}"'}
            if expected_version
            else {"If-None-Match": "*"}
        )
        operation = f"{method} {key!r}"
        try:
            status, headers, _ = await self._send(
                method, self._object_url(key), condition, value, _WRITE_TIMEOUT
            )
        except _AnswerLostError as error:
            raise _interface.ambiguous_error(f"{operation}: {error}") from error
        if status in _WRITE_SUCCESS_STATUSES:
            return headers
        if status == 412 or (status == 404 and expected_version):
            found = 0 if status == 404 else _version_or_zero(headers)
            raise errors.StoreConflictError(key, expected_version, found)
        if 400 <= status < 500 and status != _STATUS_REQUEST_TIMEOUT:
            raise _interface.unavailable_error(f"{operation}: status {status}")
        raise _interface.ambiguous_error(f"{operation}: status {status}")

    async def _send(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: datetime.timedelta,
    ) -> tuple[int, Any, bytes]:
        """Sends one request.

        Raises:
            StoreError: STORE_UNAVAILABLE; the request was not sent.
            _AnswerLostError: It may have been sent.
        """
        try:
            async with self._open_session().request(
                method,
                yarl.URL(url, encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout.total_seconds(),
                    connect=_CONNECT_TIMEOUT.total_seconds(),
                ),
            ) as response:
                return response.status, response.headers, await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _interface.unavailable_error(
                f"cannot connect to the platform: {error}"
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _AnswerLostError(repr(error)) from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=_MAX_CONNECTIONS),
                cookie_jar=aiohttp.DummyCookieJar(),
                middlewares=(_prevent_resend,),
            )
        return self._session


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hides a lost connection from aiohttp, which would send a PUT again.

    The second PUT would meet the version that the first one made, and a write
    that took effect would be reported as a conflict.
    """
    try:
        return await handler(request)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLostError(repr(error)) from error


def _version(key: str, headers: Any) -> int:
    text = headers.get("ETag", "").strip('"')
    if not _is_version(text):
        raise _interface.unavailable_error(f"{key!r}: answer has no version")
    return int(text)


def _version_or_zero(headers: Any) -> int:
    text = headers.get("ETag", "").strip('"')
    return int(text) if _is_version(text) else 0


def _is_version(text: str) -> bool:
    return text.isdecimal() and len(text) <= _MAX_VERSION_DIGITS
