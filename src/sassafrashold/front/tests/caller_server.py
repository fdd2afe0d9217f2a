"""A server for callers that runs in the process of a test."""

import asyncio
import datetime
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import routing
from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.front import _client_memory
from sassafrashold.front import _connection_limits
from sassafrashold.front import _metrics
from sassafrashold.front import _request_bodies
from sassafrashold.front import _request_log
from sassafrashold.front import _requests
from sassafrashold.front import _server
from sassafrashold.platform import wire

S = datetime.timedelta(seconds=1)
LIMITS = routing.ClientLimits(
    max_header_bytes=1000,
    max_body_bytes=1000,
    header_timeout=3 * S,
    idle_timeout=15 * S,
)


class EchoRequestServer:
    """Replies to every request with the body of the request."""

    stops_at = None

    async def serve(self, request):
        return _requests.Reply(200, (), request.body)


class RunningServer:
    """An asynchronous context manager around a `CallerServer`."""

    def __init__(
        self,
        requests=None,
        max_request_bytes=10_000,
        max_client_bytes=10**8,
        max_connections=1000,
        max_body_bytes=LIMITS.max_body_bytes,
    ):
        self._max_connections = max_connections
        self._requests: Any = requests or EchoRequestServer()
        self.bodies = _request_bodies.RequestBodies(
            max_request_bytes, lambda: max_body_bytes
        )
        self.memory = _client_memory.ClientMemory(
            max_client_bytes, clock_lib.SystemClock()
        )

    async def __aenter__(self):
        clock = clock_lib.SystemClock()
        self.server = _server.CallerServer(
            self._requests,
            wire,
            self.bodies,
            _connection_limits.ConnectionLimits(
                memory=self.memory,
                max_header_bytes=lambda: LIMITS.max_header_bytes,
                max_connections=self._max_connections,
            ),
            _metrics.FrontMetrics(),
            _request_log.RequestLog(clock),
            clock,
        )
        listener = sockets.listening_socket(settings.Address("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        await self.server.start(listener)
        return self

    async def __aexit__(self, *_):
        await self.server.stop_accepting()
        await self.server.close()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    def close_overdue(self, **limits):
        values = {"header_timeout": 100 * S, "idle_timeout": 100 * S, **limits}
        self.server.close_overdue(
            routing.ClientLimits(
                max_header_bytes=1000, max_body_bytes=1000, **values
            )
        )
