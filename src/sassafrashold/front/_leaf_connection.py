"""One connection to a leaf, which carries one request at a time."""

import asyncio
from collections.abc import Callable
import datetime
import logging
from typing import Any
from typing import cast

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from sassafrashold import calls
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
# Parts are a few kilobytes; a larger answer is read in several steps.
_READ_BYTES = 2**20
_MAX_HEADER_BYTES = 32768
_MAX_BODY_BYTES = 64 * 2**20
# A leaf that names no time keeps idle connections at least this long.
_DEFAULT_KEEP_OPEN = datetime.timedelta(seconds=4)
# Requests on the way cross the leaf's close within this time.
_CLOSE_MARGIN = datetime.timedelta(milliseconds=600)


class LeafConnection(asyncio.Protocol):
    """Sends a request and takes the answer that belongs to it.

    Bytes that arrive while no request is open, and answers to earlier
    requests, never reach a request. After anything unexpected the connection
    is closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: _interfaces.Protocol,
    ) -> None:
        """Initializes the connection; the loop connects it."""
        self._loop = loop
        self._protocol = protocol
        self.transport: asyncio.Transport | None = None
        # Part of the interface that aiohttp's body readers expect.
        self._reading_paused = False
        self._parser: Any = None
        self._body_bytes = 0
        self._waiting: list[tuple[Any, streams.StreamReader]] = []
        self._chunks: list[bytes] = []
        self._request_id: str | None = None
        self._on_result: Callable[[calls.CallResult], None] | None = None
        self._ended_cleanly = False
        self.keep_open = _DEFAULT_KEEP_OPEN - _CLOSE_MARGIN

    @property
    def is_idle(self) -> bool:
        """Whether a request can be sent."""
        return (
            self._on_result is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def send(
        self,
        data: bytes,
        request_id: str | None,
        has_body: bool,
        on_result: Callable[[calls.CallResult], None],
    ) -> None:
        """Sends a request.

        Args:
            data: The whole request.
            request_id: Id that the answer has to name.
            has_body: Whether answers to this method have a body.
            on_result: Called once, unless the connection is closed before.
        """
        self._parser = http_parser.HttpResponseParser(
            cast(base_protocol.BaseProtocol, self),
            self._loop,
            _READ_BYTES,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._waiting.clear()
        self._chunks.clear()
        self._body_bytes = 0
        self._request_id = request_id
        self._on_result = on_result
        if self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Ends the connection at once; an open request gets no result."""
        self._on_result = None
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connected transport."""
        self.transport = cast(asyncio.Transport, transport)

    def pause_reading(self) -> None:
        """Does nothing: bodies are read as they arrive, up to a limit."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Does nothing; aiohttp's body readers call it."""

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the leaf."""
        if self._on_result is None:
            self.close()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._fail(f"unreadable answer: {error.message[:200]}")
            return
        self._waiting.extend(messages)
        self._read_messages()

    def eof_received(self) -> bool:
        """Notes that the leaf has ended its side in an orderly way."""
        self._ended_cleanly = True
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the open request."""
        self.transport = None
        if self._on_result is not None:
            if exc is None and self._ended_cleanly:
                self._finish_at_end()
            if self._on_result is not None:
                self._fail(f"connection ended: {exc}")

    def _finish_at_end(self) -> None:
        """Completes an answer without length: its connection ends it."""
        if len(self._waiting) != 1:
            return
        message, payload = self._waiting[0]
        if message.chunked or "Content-Length" in message.headers:
            return
        try:
            self._parser.feed_eof()
        except http_exceptions.HttpProcessingError as error:
            self._fail(f"unreadable answer: {error.message[:200]}")
            return
        if payload.exception() is None:
            self._read_messages()

    def _read_messages(self) -> None:
        while self._waiting and self._on_result is not None:
            message, payload = self._waiting[0]
            error = payload.exception()
            if error is not None:
                self._fail(f"unreadable answer: {error}")
                return
            if not payload.at_eof():
                chunk = payload.read_nowait(-1)
                self._body_bytes += len(chunk)
                if self._body_bytes > _MAX_BODY_BYTES:
                    self._fail("answer is larger than is read")
                    return
                self._chunks.append(chunk)
            if not payload.is_eof():
                return
            self._waiting.pop(0)
            body = b"".join(self._chunks)
            self._chunks.clear()
            if 100 <= message.code < 200:
                continue
            if not self._protocol.answer_belongs(
                message.raw_headers, self._request_id
            ):
                _LOGGER.info(
                    "answer to an earlier request dropped",
                    extra={"request": self._request_id},
                )
                continue
            self._deliver(message, body)

    def _deliver(self, message: Any, body: bytes) -> None:
        stays_open = self._protocol.keep_open(message.raw_headers)
        if stays_open is not None:
            self.keep_open = stays_open - _CLOSE_MARGIN
        on_result = self._on_result
        self._on_result = None
        transport = self.transport
        reusable = (
            transport is not None
            and not message.should_close
            and not self._waiting
            and not transport.get_write_buffer_size()
        )
        if not reusable and transport is not None:
            transport.abort()
        if on_result is not None:
            on_result(
                self._protocol.leaf_answer(
                    message.code, message.raw_headers, body
                )
            )

    def _fail(self, detail: str) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(calls.Failed(calls.FailureKind.LOST, None, detail))
