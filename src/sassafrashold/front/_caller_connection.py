"""Caller connections, and the limits on their time and memory."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import enum
import heapq
import io
from typing import Any
from typing import cast

from aiohttp import streams
from aiohttp import web

from sassafrashold import routing
from sassafrashold.front import _client_memory

# Callers may still apply the longer idle timeout of an older configuration, so
# idle connections are kept for a multiple of the configured timeout.
_IDLE_TIMEOUT_FACTOR = 4
_ZERO = datetime.timedelta()
# Idle timeout that aiohttp enforces; `close_overdue` enforces the configured
# one.
_MAX_KEEP_ALIVE_S = 3600.0
_MAX_LINE_BYTES = 65536
_MAX_HEADERS = 256
# The configured limit applies to the names and values of headers; their
# framing and the request line come on top.
_HEAD_SIZE_FACTOR = 2
_HEAD_SIZE_ALLOWANCE = 4096
# Bytes given to the parser at once: it does not say where in them a request
# ended, so what is counted is exact up to this size.
_PIECE_BYTES = 4096
# A client that takes no byte of its reply for this long no longer waits for it;
# deadlines of requests are shorter.
_REPLY_STALL_TIMEOUT = datetime.timedelta(seconds=30)
# Part of the connections of a port that are closed at once over the limit, so
# that the next one doesn't need another pass over all of them.
_SPARED_RATIO = 0.02
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


@dataclasses.dataclass(frozen=True)
class IdlePhase:
    """No byte of the next request has arrived."""

    since: datetime.timedelta
    """Event loop time at which the connection became idle."""


@dataclasses.dataclass(frozen=True)
class HeadPhase:
    """A request head has arrived in part."""

    since: datetime.timedelta
    """Event loop time at which the first byte of the head arrived."""


@dataclasses.dataclass(frozen=True)
class RequestPhase:
    """A request head was read and the request is not answered yet."""


@dataclasses.dataclass(frozen=True)
class ReplyPhase:
    """A reply is being sent."""

    since: datetime.timedelta
    """Event loop time at which the client last took bytes of it."""

    unsent: int
    """Bytes that waited for the client at that time."""


Phase = IdlePhase | HeadPhase | RequestPhase | ReplyPhase


def is_overdue(
    phase: Phase, limits: routing.ClientLimits, now: datetime.timedelta
) -> bool:
    """Returns whether a connection has exceeded the limit of its phase.

    Args:
        phase: Current phase of the connection.
        limits: Limits in force; 0 means no limit.
        now: Event loop time.
    """
    match phase:
        case IdlePhase(since):
            time_limit = limits.idle_timeout * _IDLE_TIMEOUT_FACTOR
        case HeadPhase(since):
            time_limit = limits.header_timeout
        case RequestPhase():
            return False
        case ReplyPhase(since):
            time_limit = _REPLY_STALL_TIMEOUT
    return _ZERO < time_limit <= now - since


class Refusal(enum.Enum):
    """Why a client was refused or cut off, as metrics show it."""

    HEAD_TOO_LARGE = "head_too_large"
    UNREADABLE = "unreadable"
    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limits on what the clients of one port make this process hold."""

    memory: _client_memory.ClientMemory
    """Bounds all connections of the process together."""

    max_header_bytes: Callable[[], int]
    """Returns the maximum size of the headers of a request."""

    max_connections: int
    """Maximum number of open connections of this port."""

    on_refusal: Callable[[Refusal], None] = lambda _: None
    """Called for each refusal."""


class CallerConnection(web.RequestHandler):
    """An aiohttp connection that also tracks its phase and its memory."""

    def __init__(
        self,
        server: "ConnectionServer",
        limits: ConnectionLimits,
        *,
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,
    ) -> None:
        """Initializes the connection; other arguments as in aiohttp."""
        super().__init__(server, loop=loop, **kwargs)
        self._event_loop = loop
        self._server = server
        self._limits = limits
        self.phase: Phase = IdlePhase(self._now())
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
        self._refused = False

    @property
    def is_served(self) -> bool:
        """Whether a complete request is being served."""
        return isinstance(self.phase, RequestPhase) and not self._receives_body

    @property
    def spare_rank(self) -> tuple[int, datetime.timedelta]:
        """Sorts connections by which is closed first for a new one."""
        match self.phase:
            case IdlePhase():
                rank = 0
            case HeadPhase():
                rank = 1
            case ReplyPhase():
                rank = 2
            case RequestPhase():
                rank = 3
        return rank, self._phase_began

    @property
    def _receives_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    @property
    def _awaits_reply(self) -> bool:
        """Whether a complete request has not been answered yet."""
        return bool(self._messages) or (
            isinstance(self.phase, RequestPhase | ReplyPhase)
            and not self._receives_body
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to count the memory of the connection."""
        super().connection_made(transport)
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
        elif not self._refused:
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
            and not self._refused
            and not self._awaits_reply
            and not self._reading_paused
        ):
            piece = bytes(self._unparsed[:_PIECE_BYTES])
            del self._unparsed[:_PIECE_BYTES]
            if self._receives_body:
                if isinstance(self.phase, RequestPhase):
                    self._body_memory += _BODY_COPIES * len(piece)
                super().data_received(piece)
            else:
                self._parse_head(piece)

    def _parse_head(self, piece: bytes) -> None:
        if isinstance(self.phase, IdlePhase):
            self._enter(HeadPhase(self._now()))
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
        self._refused = True
        self._unparsed.clear()
        self._limits.on_refusal(Refusal.HEAD_TOO_LARGE)
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
        self._limits.on_refusal(Refusal.MEMORY)
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once; unsent bytes are dropped."""
        self._refused = True
        self._unparsed.clear()
        if self.transport is not None:
            self.transport.abort()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self._phase_began = self._now()
        self._limits.memory.restart_age(self)

    def request_began(self, body: streams.StreamReader) -> None:
        """Records that a request head is complete.

        Args:
            body: Reads the body of the request.
        """
        self._body = body
        self._enter(RequestPhase())
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
        self._enter(ReplyPhase(self._now(), body_size))
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
            self._enter(IdlePhase(self._now()))
            if self._server.closes_idle:
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
        self._limits.on_refusal(Refusal.UNREADABLE)
        response = web.Response(status=status)
        response.force_close()
        return response

    def note_reply_progress(self) -> None:
        """Notes whether the client has taken bytes of its reply."""
        if self.transport is None or not isinstance(self.phase, ReplyPhase):
            return
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.phase.unsent:
            self.phase = ReplyPhase(self._now(), unsent)

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


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionServer(web.Server):
    """An aiohttp server whose connections are `CallerConnection`s."""

    def __init__(
        self, handler: Handler, limits: ConnectionLimits, **kwargs: Any
    ) -> None:
        """Initializes the server.

        Args:
            handler: Handles a request.
            limits: Limits on the connections.
            **kwargs: Further arguments of aiohttp's connections.
        """
        super().__init__(
            handler,
            request_factory=_create_request,
            handler_cancellation=True,
        )
        self._limits = limits
        self.all_closed = asyncio.Event()
        """Set while no connection is open."""
        self.all_closed.set()
        # aiohttp lists connections until their task has ended.
        self._open: dict[CallerConnection, None] = {}
        self.closes_idle = False
        """Whether a connection ends once its reply has been sent."""
        self._connection_arguments = {
            "keepalive_timeout": _MAX_KEEP_ALIVE_S,
            "max_line_size": _MAX_LINE_BYTES,
            "max_field_size": _MAX_LINE_BYTES,
            "max_headers": _MAX_HEADERS,
            "access_log": None,
            **kwargs,
        }

    def __call__(self) -> CallerConnection:
        """Creates the protocol object of a new connection."""
        return CallerConnection(
            self,
            self._limits,
            loop=asyncio.get_running_loop(),
            **self._connection_arguments,
        )

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Records a connection; called by aiohttp."""
        super().connection_made(handler, transport)
        self.all_closed.clear()
        connection = cast(CallerConnection, handler)
        self._open[connection] = None
        if len(self._open) > self._limits.max_connections:
            self._close_for(connection)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Records that a connection has ended; called by aiohttp."""
        super().connection_lost(handler, exc)
        self._open.pop(cast(CallerConnection, handler), None)
        if not self._open:
            self.all_closed.set()

    def close_idle(self) -> None:
        """Closes the connections without a request.

        aiohttp's `pre_shutdown` would make the others ignore all further bytes,
        also those of a body that is being received.
        """
        self.closes_idle = True
        for connection in list(self._open):
            if isinstance(connection.phase, IdlePhase):
                connection.force_close()

    def _close_for(self, newest: CallerConnection) -> None:
        """Closes connections that can be spared for the newest, or that one.

        A client whose connection is closed before its request was read may send
        the request again.
        """
        candidates = [
            connection
            for connection in self._open
            if connection is not newest and not connection.is_served
        ]
        spared = heapq.nsmallest(
            max(1, int(self._limits.max_connections * _SPARED_RATIO)),
            candidates,
            key=lambda connection: connection.spare_rank,
        )
        for connection in spared or [newest]:
            self._limits.on_refusal(Refusal.CONNECTIONS)
            connection.abort()
            self._open.pop(connection, None)

    def close_overdue(self, limits: routing.ClientLimits) -> int:
        """Closes connections that have exceeded the limit of their phase.

        Args:
            limits: Limits in force.

        Returns:
            Number of closed connections.
        """
        now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
        closed = 0
        for connection in list(self._open):
            connection.note_reply_progress()
            if not is_overdue(connection.phase, limits, now):
                continue
            closed += 1
            if isinstance(connection.phase, ReplyPhase):
                # Its unsent bytes would keep the connection open.
                connection.abort()
            else:
                connection.force_close()
        return closed


def _create_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    """Creates an aiohttp request and tells its connection that it began."""
    protocol.request_began(payload)
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
    )
