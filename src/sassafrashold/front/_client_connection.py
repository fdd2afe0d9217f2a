"""A connection of a client, which counts and bounds what it holds."""

import asyncio
from collections.abc import Callable
import datetime
import io
from typing import Any
from typing import cast

from aiohttp import streams
from aiohttp import web

from sassafrashold.front import _connection_limits
from sassafrashold.front import _connection_phases

# The configured limit applies to the names and values of headers; their
# framing and the request line come on top.
_HEAD_SIZE_FACTOR = 2
_HEAD_SIZE_ALLOWANCE = 4096
# Bytes given to the parser at once: it does not say where in them a request
# ended, so what is counted is exact up to this size.
_PIECE_BYTES = 4096
# Larger replies are written in pieces, each when the one before was sent.
_REPLY_PIECE_BYTES = 256 * 1024
# Bytes behind an open request for which reading goes on: only a connection that
# is read shows that its client has left.
_MAX_UNPARSED_BYTES = 32 * 1024
# Memory of a connection without a request: parser, task and socket.
_CONNECTION_BYTES = 16 * 1024
# A head is kept as received, as text and as headers to forward; each line also
# takes the objects of its name and value.
_HEAD_COPIES = 3
_HEAD_LINE_BYTES = 512
_UNREADABLE_STATUS = 400
# A body is kept as received, as a whole and in a request to a leaf.
_BODY_COPIES = 3
# Time for a client to read the refusal of its head; bytes that it still sends
# are dropped meanwhile.
_REFUSAL_TIME_S = 1.0
_HEAD_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ClientConnection(web.RequestHandler):
    """An aiohttp connection that also tracks its phase and its memory."""

    def __init__(
        self,
        server: web.Server,
        limits: _connection_limits.ConnectionLimits,
        closes_idle: Callable[[], bool],
        *,
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,
    ) -> None:
        """Initializes the connection.

        Args:
            server: The server of its port.
            limits: Limits of that port.
            closes_idle: Returns whether the connection ends once its reply has
                been sent.
            loop: The event loop.
            **kwargs: Further arguments of aiohttp.
        """
        super().__init__(server, loop=loop, **kwargs)
        self._event_loop = loop
        self._closes_idle = closes_idle
        self._limits = limits
        self.phase: _connection_phases.Phase = _connection_phases.IdlePhase(
            self._now()
        )
        self._phase_began = self._now()
        # Bytes of the head that is being received, with empty lines before it.
        self._head_bytes = 0
        # Memory of that head, or of the last one: aiohttp keeps a request until
        # the next one has ended.
        self._head_memory = 0
        # Reads the body of the open request, or of the last one.
        self._body: streams.StreamReader | None = None
        # Bytes behind that request.
        self._unparsed = bytearray()
        self._is_parsing = False
        self._body_memory = 0
        self._reply_memory = 0
        self._ignores_input = False

    @property
    def is_served(self) -> bool:
        """Whether a complete request is being served."""
        return (
            isinstance(self.phase, _connection_phases.RequestPhase)
            and not self._receives_body
        )

    @property
    def spare_rank(self) -> tuple[int, datetime.timedelta]:
        """Sorts connections by which is closed first for a new one."""
        match self.phase:
            case _connection_phases.IdlePhase():
                rank = 0
            case _connection_phases.HeadPhase():
                rank = 1
            case _connection_phases.ReplyPhase():
                rank = 2
            case _connection_phases.RequestPhase():
                rank = 3
        return rank, self._phase_began

    @property
    def _receives_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    @property
    def _awaits_reply(self) -> bool:
        """Whether a complete request has not been answered yet."""
        return bool(self._messages) or (
            isinstance(
                self.phase,
                _connection_phases.RequestPhase | _connection_phases.ReplyPhase,
            )
            and not self._receives_body
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to count the memory of the connection."""
        super().connection_made(transport)
        if self._ignores_input:
            # Closed while it was being set up.
            self.abort()
            return
        # A reply ends once all its bytes were passed to the kernel.
        cast(asyncio.Transport, transport).set_write_buffer_limits(high=0)
        self._update_memory()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops counting the memory of the connection."""
        super().connection_lost(exc)
        self._limits.memory.release(self)

    def data_received(self, data: bytes) -> None:
        """Counts received bytes and passes them to aiohttp in pieces.

        Bytes behind a request wait until it is answered: aiohttp would keep up
        to 32 requests as objects, and no limit applies to the size of those.
        """
        # aiohttp passes no bytes when it goes on with those that it kept.
        if not data:
            super().data_received(data)
        elif not self._ignores_input:
            self._unparsed += data
            self._parse_received()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Goes on after bytes of a body were read; called by aiohttp."""
        super().resume_reading(resume_parser)
        self._parse_received()

    def _parse_received(self) -> None:
        # The parser calls `resume_reading` at the end of a body.
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            self._parse_pieces()
        finally:
            self._is_parsing = False
        self._update_memory()
        self._limit_unparsed()

    def _parse_pieces(self) -> None:
        while (
            self._unparsed
            and not self._ignores_input
            and not self._awaits_reply
            and not self._reading_paused
        ):
            piece = bytes(self._unparsed[:_PIECE_BYTES])
            del self._unparsed[:_PIECE_BYTES]
            if self._receives_body:
                self._body_memory += _BODY_COPIES * len(piece)
                super().data_received(piece)
            else:
                self._parse_head(piece)

    def _parse_head(self, piece: bytes) -> None:
        if isinstance(self.phase, _connection_phases.IdlePhase):
            self._enter(_connection_phases.HeadPhase(self._now()))
        if not self._head_bytes:
            self._head_memory = 0
        self._head_bytes += len(piece)
        self._head_memory += _HEAD_COPIES * len(piece)
        self._head_memory += _HEAD_LINE_BYTES * piece.count(b"\n")
        super().data_received(piece)
        if self._messages:
            self._head_bytes = 0
        max_bytes = (
            _HEAD_SIZE_FACTOR * self._limits.max_header_bytes()
            + _HEAD_SIZE_ALLOWANCE
        )
        if self._head_bytes > max_bytes:
            self._refuse_head()

    def _refuse_head(self) -> None:
        self._ignores_input = True
        self._unparsed.clear()
        self._limits.on_refusal(_connection_limits.Refusal.HEAD_TOO_LARGE)
        if self.transport is not None:
            self.transport.write(_HEAD_REFUSAL)
        self._event_loop.call_later(_REFUSAL_TIME_S, self.force_close)

    def _limit_unparsed(self) -> None:
        """Stops reading while many bytes wait for the open request."""
        if self.transport is None:
            return
        if len(self._unparsed) > _MAX_UNPARSED_BYTES:
            self.transport.pause_reading()
        elif not self._reading_paused:
            self.transport.resume_reading()

    def _update_memory(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._limits.memory.hold(self, self._memory)

    @property
    def _memory(self) -> int:
        return (
            _CONNECTION_BYTES
            + self._head_memory
            + len(self._unparsed)
            + self._body_memory
            + self._reply_memory
        )

    def give_up(self) -> None:
        """Closes the connection at once, as clients hold too much memory."""
        self._limits.on_refusal(_connection_limits.Refusal.MEMORY)
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once; unsent bytes are dropped."""
        self._ignores_input = True
        self._unparsed.clear()
        if self.transport is not None:
            self.transport.abort()

    def _enter(self, phase: _connection_phases.Phase) -> None:
        self.phase = phase
        self._phase_began = self._now()
        self._limits.memory.restart_age(self)

    def request_began(self, body: streams.StreamReader) -> None:
        """Records that a request head is complete.

        Args:
            body: Reads the body of the request.
        """
        self._body = body
        self._body_memory = 0
        self._enter(_connection_phases.RequestPhase())
        if self._unparsed:
            self._event_loop.call_soon(self._parse_received)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Sends the reply, then goes on with the bytes behind the request."""
        self._body_memory = 0
        body_size = _hold_in_pieces(resp)
        self._enter(_connection_phases.ReplyPhase(self._now(), body_size))
        # The piece that is being sent is a copy.
        self._reply_memory = body_size + min(body_size, 2 * _REPLY_PIECE_BYTES)
        self._update_memory()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            if isinstance(resp, web.Response):
                # aiohttp keeps the reply until the next one.
                resp.body = None
            self._reply_memory = 0
            self._enter(_connection_phases.IdlePhase(self._now()))
            if self._closes_idle():
                self.close()
            elif resp.keep_alive:
                self._parse_received()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Replies to bytes that are no request; called by aiohttp.

        aiohttp would log a traceback with the bytes for each of them.
        """
        if status != _UNREADABLE_STATUS:
            return super().handle_error(request, status, exc, message)
        self._limits.on_refusal(_connection_limits.Refusal.UNREADABLE)
        response = web.Response(status=status)
        response.force_close()
        return response

    def note_reply_progress(self) -> None:
        """Notes whether the client has taken bytes of its reply."""
        if self.transport is None or not isinstance(
            self.phase, _connection_phases.ReplyPhase
        ):
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.phase.unsent:
            self.phase = _connection_phases.ReplyPhase(self._now(), unsent)

    def _now(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._event_loop.time())


def _hold_in_pieces(response: web.StreamResponse) -> int:
    """Makes a large reply be written in pieces; returns the size of its body.

    aiohttp passes a reply to the connection at once, which copies it.
    """
    if not isinstance(response, web.Response):
        return 0
    body = response.body
    if not isinstance(body, bytes):
        return 0
    if len(body) > _REPLY_PIECE_BYTES:
        response.body = io.BytesIO(body)
    return len(body)
