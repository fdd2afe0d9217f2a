"""Caller connections and the limits on idle time and header time."""

import asyncio
import dataclasses
import datetime
from typing import Any

from aiohttp import web

from sassafrashold import routing

# Callers may still apply the longer idle timeout of an older configuration, so
# idle connections are kept for a multiple of the configured timeout.
_IDLE_TIMEOUT_FACTOR = 4
_ZERO = datetime.timedelta()


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


Phase = IdlePhase | HeadPhase | RequestPhase


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
    return _ZERO < time_limit <= now - since


class CallerConnection(web.RequestHandler):
    """An aiohttp connection that also tracks the phase it is in."""

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        **kwargs: Any,
    ) -> None:
        """Initializes the connection; arguments as in aiohttp."""
        super().__init__(server, loop=loop, **kwargs)
        self._event_loop = loop
        self.phase: Phase = IdlePhase(self._now())

    def data_received(self, data: bytes) -> None:
        """Records the start of a head and passes the bytes to aiohttp."""
        # aiohttp passes no bytes when it goes on with those that it kept.
        if data and isinstance(self.phase, IdlePhase):
            self.phase = HeadPhase(self._now())
        super().data_received(data)

    def request_began(self) -> None:
        """Records that a request head is complete."""
        self.phase = RequestPhase()

    def request_ended(self) -> None:
        """Records that the request was answered or abandoned."""
        self.phase = IdlePhase(self._now())

    def _now(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._event_loop.time())


class ConnectionServer(web.Server):
    """An aiohttp server whose connections are `CallerConnection`s."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initializes the server; arguments as in aiohttp."""
        super().__init__(*args, **kwargs)
        self.all_closed = asyncio.Event()
        """Set while no connection is open."""
        self.all_closed.set()
        self._connection_arguments = {
            name: value
            for name, value in kwargs.items()
            if name not in ("request_factory", "handler_cancellation")
        }

    def __call__(self) -> CallerConnection:
        """Creates the protocol object of a new connection."""
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            **self._connection_arguments,
        )

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Records a connection; called by aiohttp."""
        super().connection_made(handler, transport)
        self.all_closed.clear()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Records that a connection has ended; called by aiohttp."""
        super().connection_lost(handler, exc)
        if not self.connections:
            self.all_closed.set()

    def close_idle(self) -> None:
        """Closes the connections without a request.

        aiohttp's `pre_shutdown` would make the others ignore all further bytes,
        also those of a body that is being received.
        """
        for connection in list(self.connections):
            if isinstance(connection, CallerConnection) and isinstance(
                connection.phase, IdlePhase
            ):
                connection.force_close()

    def close_overdue(self, limits: routing.ClientLimits) -> int:
        """Closes connections that have exceeded the limit of their phase.

        Args:
            limits: Limits in force.

        Returns:
            Number of closed connections.
        """
        now = datetime.timedelta(seconds=asyncio.get_running_loop().time())
        overdue = [
            connection
            for connection in self.connections
            if isinstance(connection, CallerConnection)
            and is_overdue(connection.phase, limits, now)
        ]
        for connection in overdue:
            connection.force_close()
        return len(overdue)
