"""A connection to a leaf, which carries one request at a time."""

import asyncio
from collections.abc import Callable
import datetime
import logging
import re
from typing import Any
from typing import cast

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams

from sassafrashold import calls
from sassafrashold.front import _answer_memory
from sassafrashold.front import _interfaces

_LOGGER = logging.getLogger(__name__)
# Most answers are a few kilobytes; larger ones are read in several chunks.
_READ_BUFFER_BYTES = 2**20
_MAX_HEADER_BYTES = 32768
# All bytes up to the end of the head, with interim answers.
_MAX_HEAD_BYTES = 4 * 2**16
# All bytes of an answer, with its framing and any answers that it replaces.
_MAX_ANSWER_BYTES = 16 * 2**20
# HTTP has no other statuses; the parser takes any three digits.
_MIN_STATUS = 100
_MAX_STATUS = 599
# Control characters that HTTP forbids in the value of a header. The parser of
# answers takes all but line ends and NUL.
_FORBIDDEN_IN_HEADER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# A leaf that sends no keep-alive timeout keeps idle connections at least this
# long.
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=4)
# A connection is replaced after this many failed requests, whose ids it knows.
_MAX_FAILED_IDS = 64
# Idle connections are given up this long before the leaf closes them, so that
# no request is in flight when it does.
_KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=600)


class LeafConnection(asyncio.Protocol):
    """Sends one request at a time and delivers only its own answer.

    An answer to an earlier request is dropped. Bytes that arrive while no
    request is open, and answers that can't be parsed, close the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: _interfaces.WireProtocol,
        memory: _answer_memory.AnswerMemory,
    ) -> None:
        """Initializes the connection, which is not connected yet.

        Args:
            loop: The event loop.
            protocol: Wire format of leaf answers.
            memory: Bounds the open answers of all connections.
        """
        self._memory = memory
        self._loop = loop
        self._protocol = protocol
        self.transport: asyncio.Transport | None = None
        # aiohttp's body readers read this attribute.
        self._reading_paused = False
        self._parser: Any = None
        self._answer_bytes = 0
        self._pending_messages: list[tuple[Any, streams.StreamReader]] = []
        self._chunks: list[bytes] = []
        self._request_id: str | None = None
        self._on_result: Callable[[calls.CallResult], None] | None = None
        self._received_eof = False
        self._was_used = False
        # Hashes, as callers choose the ids; two ids with the same hash only
        # cost a new connection.
        self._failed_id_hashes: set[int] = set()
        self.max_idle_time = _DEFAULT_KEEP_ALIVE - _KEEP_ALIVE_MARGIN

    @property
    def is_idle(self) -> bool:
        """Whether the connection is up and has no open request."""
        return (
            self._on_result is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def may_carry(self, request_id: str | None) -> bool:
        """Returns whether a late copy can't pass for the request's answer.

        A leaf may send an answer twice. If the request failed here before, a
        copy of that answer has the right id; without an id, any copy has.

        Args:
            request_id: Id of the request to send; None if it has none.
        """
        if request_id is None:
            return not self._was_used
        return hash(request_id) not in self._failed_id_hashes

    def send(
        self,
        data: bytes,
        request_id: str | None,
        has_body: bool,
        on_result: Callable[[calls.CallResult], None],
    ) -> None:
        """Sends a request.

        Args:
            data: The encoded request, head and body.
            request_id: Id that the answer must carry; None accepts any.
            has_body: Whether answers to the request's method have a body.
            on_result: Called once, unless `close` is called before.
        """
        self._parser = http_parser.HttpResponseParser(
            cast(base_protocol.BaseProtocol, self),
            self._loop,
            _READ_BUFFER_BYTES,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._pending_messages.clear()
        self._chunks.clear()
        self._answer_bytes = 0
        self._was_used = True
        self._request_id = request_id
        self._on_result = on_result
        if self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Aborts the connection; an open request gets no result."""
        self._on_result = None
        self._memory.release(self)
        self._chunks.clear()
        self._pending_messages.clear()
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the connected transport."""
        self.transport = cast(asyncio.Transport, transport)

    def pause_reading(self) -> None:
        """Does nothing: bodies are read as they arrive, up to a size limit."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Does nothing; aiohttp's body readers call it."""

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the leaf; closes if no request is open."""
        if self._on_result is None:
            self.close()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._fail(f"unreadable answer: {error.message[:200]}")
            return
        self._pending_messages.extend(messages)
        self._read_messages()
        if self._on_result is not None:
            self._count_bytes(len(data))

    def _count_bytes(self, count: int) -> None:
        """Counts bytes of the open answer; fails it over a limit."""
        self._answer_bytes += count
        if self._answer_bytes > _MAX_ANSWER_BYTES:
            self._fail(f"answer exceeds {_MAX_ANSWER_BYTES} bytes")
        elif (
            self._answer_bytes > _MAX_HEAD_BYTES and not self._pending_messages
        ):
            self._fail(f"head of the answer exceeds {_MAX_HEAD_BYTES} bytes")
        else:
            self._memory.add(self, count)

    def give_up(self, detail: str) -> None:
        """Fails the open request, as answers take too much memory."""
        if self._on_result is not None:
            self._fail(detail)

    def eof_received(self) -> bool:
        """Records that the leaf closed its side without a reset."""
        self._received_eof = True
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the open request, as lost unless the close completes it."""
        self.transport = None
        if self._on_result is not None:
            if exc is None and self._received_eof:
                self._finish_at_eof()
            if self._on_result is not None:
                self._fail(f"connection ended: {exc}")

    def _finish_at_eof(self) -> None:
        """Completes an answer whose end is marked by the connection close."""
        if len(self._pending_messages) != 1:
            return
        message, payload = self._pending_messages[0]
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
        while self._pending_messages and self._on_result is not None:
            message, payload = self._pending_messages[0]
            if not _MIN_STATUS <= message.code <= _MAX_STATUS:
                self._fail(f"unreadable answer: status {message.code:03}")
                return
            for name, value in message.raw_headers:
                if _FORBIDDEN_IN_HEADER.search(value):
                    self._fail(f"unreadable answer: control character, {name}")
                    return
            error = payload.exception()
            if error is not None:
                self._fail(f"unreadable answer: {error}")
                return
            if not payload.at_eof():
                self._chunks.append(payload.read_nowait(-1))
            if not payload.is_eof():
                return
            self._pending_messages.pop(0)
            body = b"".join(self._chunks)
            self._chunks.clear()
            if 100 <= message.code < 200:
                continue
            if not self._protocol.carries_request_id(
                message.raw_headers, self._request_id
            ):
                _LOGGER.info(
                    "answer to an earlier request dropped",
                    extra={"request": self._request_id},
                )
                continue
            self._deliver(message, body)

    def _deliver(self, message: Any, body: bytes) -> None:
        keep_alive = self._protocol.keep_alive_timeout(message.raw_headers)
        if keep_alive is not None:
            self.max_idle_time = keep_alive - _KEEP_ALIVE_MARGIN
        on_result = self._on_result
        self._on_result = None
        self._memory.release(self)
        result = self._protocol.leaf_answer(
            message.code, message.raw_headers, body
        )
        if isinstance(result, calls.Failed) and self._request_id is not None:
            self._failed_id_hashes.add(hash(self._request_id))
        transport = self.transport
        reusable = (
            transport is not None
            and not message.should_close
            and len(self._failed_id_hashes) < _MAX_FAILED_IDS
            and not self._pending_messages
            and not transport.get_write_buffer_size()
        )
        if not reusable and transport is not None:
            transport.abort()
        if on_result is not None:
            on_result(result)

    def _fail(self, detail: str) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(calls.Failed(calls.FailureKind.LOST, None, detail))
