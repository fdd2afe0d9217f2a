"""The HTTP server of one port, which bounds the connections of its clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import heapq
import logging
from typing import Any
from typing import cast

from aiohttp import web

from sassafrashold import routing
from sassafrashold.front import _client_connection
from sassafrashold.front import _connection_limits
from sassafrashold.front import _connection_phases

_LOGGER = logging.getLogger(__name__)
# Time that the HTTP library is given, twice, to end what is left.
_FLUSH_TIME_S = 0.05
# Idle timeout that aiohttp enforces; `close_overdue` enforces the configured
# one.
_MAX_KEEP_ALIVE_S = 3600.0
_MAX_LINE_BYTES = 65536
_MAX_HEADERS = 256
# Part of the connections of a port that are closed at once over the limit, so
# that the next one doesn't need another pass over all of them.
_SPARED_RATIO = 0.02

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionServer(web.Server):
    """An aiohttp server whose connections are `ClientConnection`s."""

    def __init__(
        self,
        handler: Handler,
        limits: _connection_limits.ConnectionLimits,
        **kwargs: Any,
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
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        # aiohttp lists connections until their task has ended.
        self._open: dict[_client_connection.ClientConnection, None] = {}
        # Whether a connection ends once its reply has been sent.
        self._closes_idle = False
        self._connection_arguments = {
            "keepalive_timeout": _MAX_KEEP_ALIVE_S,
            "max_line_size": _MAX_LINE_BYTES,
            "max_field_size": _MAX_LINE_BYTES,
            "max_headers": _MAX_HEADERS,
            "access_log": None,
            **kwargs,
        }

    @property
    def open_connections(self) -> int:
        """Number of open connections, with those that are being set up."""
        return len(self._open)

    def admit(self) -> _client_connection.ClientConnection | None:
        """Returns a new connection, which counts as open from now on.

        None if there is no room for it. Otherwise the caller sets it up, or
        else passes it to `forget`.
        """
        is_full = len(self._open) >= self._limits.max_connections
        if is_full and not self._close_spared():
            self._limits.on_refusal(_connection_limits.Refusal.CONNECTIONS)
            return None
        connection = self()
        self._open[connection] = None
        self._all_closed.clear()
        return connection

    def forget(self, connection: _client_connection.ClientConnection) -> None:
        """Stops counting a connection as open."""
        self._open.pop(connection, None)
        if not self._open:
            self._all_closed.set()

    def __call__(self) -> _client_connection.ClientConnection:
        """Creates the protocol object of a new connection."""
        return _client_connection.ClientConnection(
            self,
            self._limits,
            lambda: self._closes_idle,
            loop=asyncio.get_running_loop(),
            **self._connection_arguments,
        )

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Records that a connection has ended; called by aiohttp."""
        super().connection_lost(handler, exc)
        self.forget(cast(_client_connection.ClientConnection, handler))

    async def close(self, end: float) -> None:
        """Closes idle connections, and others once their reply is sent.

        Requests whose bodies are being received are read and served. The
        listener must have been stopped: when this returns, no request is read
        any more.

        Args:
            end: Event loop time at which connections that are still open are
                cut.
        """
        self._close_idle()
        try:
            async with asyncio.timeout_at(end):
                await self._all_closed.wait()
        except TimeoutError:
            _LOGGER.info(
                "connections open at the end of the drain",
                extra={"connections": len(self._open)},
            )
        await self.shutdown(_FLUSH_TIME_S)

    def _close_idle(self) -> None:
        """Closes the connections without a request.

        aiohttp's `pre_shutdown` would make the others ignore all further bytes,
        also those of a body that is being received.
        """
        self._closes_idle = True
        for connection in list(self._open):
            if isinstance(connection.phase, _connection_phases.IdlePhase):
                connection.force_close()

    def _close_spared(self) -> bool:
        """Closes connections to make room; returns whether there are any.

        A client whose connection is closed before its request was read may send
        the request again.
        """
        spared = heapq.nsmallest(
            max(1, int(self._limits.max_connections * _SPARED_RATIO)),
            [
                connection
                for connection in self._open
                if not connection.is_served
            ],
            key=lambda connection: connection.spare_rank,
        )
        for connection in spared:
            self._limits.on_refusal(_connection_limits.Refusal.CONNECTIONS)
            connection.abort()
            self._open.pop(connection, None)
        return bool(spared)

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
            if not _connection_phases.is_overdue(connection.phase, limits, now):
                continue
            closed += 1
            if isinstance(connection.phase, _connection_phases.ReplyPhase):
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
