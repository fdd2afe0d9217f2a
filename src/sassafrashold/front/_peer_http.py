"""HTTP client and responses between the hosts of the system."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib
import datetime
import zlib

import aiohttp
from aiohttp import web

from sassafrashold import errors
from sassafrashold import settings
from sassafrashold import sockets

_REQUEST_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Documents repeat their field names, so even the fastest level compresses them
# to a tenth.
_COMPRESSION_LEVEL = 1
_WITHOUT_STORE_STATUS = 503
_COMPRESSED_HEADERS = {"Content-Encoding": "deflate"}


class PeerHttp:
    """HTTP client for other hosts; all tasks share its connection pool.

    The pool is opened at the first call.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self, address: settings.Address, path: str, query: Mapping[str, str]
    ) -> bytes:
        """Sends a GET request; returns the body of the answer.

        Args:
            address: Address of the other host.
            path: Path of the URL.
            query: Query parameters.

        Raises:
            StoreError: The other host did not answer with status 200.
        """
        return await self._call("GET", address, path, query, None)

    async def post(
        self, address: settings.Address, path: str, text: str
    ) -> bytes:
        """Sends a POST request; returns the body of the answer.

        Args:
            address: Address of the other host.
            path: Path of the URL.
            text: Body; sent compressed.

        Raises:
            StoreError: The other host did not answer with status 200.
        """
        return await self._call("POST", address, path, {}, compress(text))

    @contextlib.asynccontextmanager
    async def stream(
        self,
        address: settings.Address,
        path: str,
        body: bytes,
        time_left: datetime.timedelta,
        head_timeout: datetime.timedelta,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends a POST request and yields the answer once its head arrived.

        Leaving the context before the body was read closes the connection.

        Args:
            address: Address of the other host.
            path: Path of the URL.
            body: Body of the request.
            time_left: Time limit for the whole answer.
            head_timeout: Time limit for its head.

        Raises:
            aiohttp.ClientError: The other host did not answer, or stopped.
            TimeoutError: A time limit has passed.
        """
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(total=time_left.total_seconds())
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(head_timeout.total_seconds()):
                response = await stack.enter_async_context(
                    session.post(
                        f"http://{address}{path}", data=body, timeout=timeout
                    )
                )
            yield response

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        address: settings.Address,
        path: str,
        query: Mapping[str, str],
        compressed: bytes | None,
    ) -> bytes:
        session = self._open_session()
        try:
            async with session.request(
                method,
                f"http://{address}{path}",
                params=query,
                data=compressed,
                headers=_COMPRESSED_HEADERS if compressed is not None else None,
            ) as response:
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise unavailable_error(address, repr(error)) from error
        if status == _WITHOUT_STORE_STATUS:
            raise errors.SourceWithoutStoreError(
                errors.ErrorCode.UNAVAILABLE,
                f"host {address}: does not follow the store",
            )
        if status != 200:
            raise unavailable_error(address, f"status {status}")
        return data

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    socket_factory=lambda _: sockets.stream_socket()
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=_REQUEST_TIMEOUT.total_seconds()
                ),
                skip_auto_headers=("User-Agent", "Accept"),
            )
        return self._session


def compress(text: str) -> bytes:
    """Returns a text as a compressed HTTP body in UTF-8."""
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def response(compressed: bytes) -> web.Response:
    """Returns a JSON answer whose body was compressed with `compress`."""
    return web.Response(
        body=compressed,
        content_type="application/json",
        headers=_COMPRESSED_HEADERS,
    )


def unavailable_error(
    address: settings.Address, cause: str
) -> errors.StoreError:
    """Returns the error for a host that did not answer as expected."""
    return errors.StoreError(
        errors.ErrorCode.UNAVAILABLE, f"host {address}: {cause}"
    )
