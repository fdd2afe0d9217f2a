"""HTTP server for callers."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import logging
import socket

from aiohttp import web

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import routing
from sassafrashold.front import _connection_limits
from sassafrashold.front import _connection_server
from sassafrashold.front import _interfaces
from sassafrashold.front import _listener
from sassafrashold.front import _metrics
from sassafrashold.front import _request_bodies
from sassafrashold.front import _request_log
from sassafrashold.front import _requests

_LOGGER = logging.getLogger(__name__)
# Retry-After while the bodies of open requests fill their memory.
_BODIES_FULL_RETRY_DELAY = datetime.timedelta(seconds=1)
# Time to read a body if its caller sends no deadline.
_DEFAULT_BODY_TIMEOUT = datetime.timedelta(seconds=30)
_CLIENT_CLOSED_STATUS = 499
# Time to send the replies to requests that the drain has ended.
_REPLY_TIME_S = 0.1


class CallerServer:
    """Accepts requests of callers and writes the replies."""

    def __init__(
        self,
        requests: _requests.RequestServer,
        protocol: _interfaces.WireProtocol,
        bodies: _request_bodies.RequestBodies,
        connection_limits: _connection_limits.ConnectionLimits,
        metrics: _metrics.FrontMetrics,
        log: _request_log.RequestLog,
        clock: clock_lib.Clock,
        ends_connections: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the server.

        Args:
            requests: Serves the requests.
            protocol: Wire format of requests.
            bodies: Bounds on the bodies of requests.
            connection_limits: Limits on what connections hold.
            metrics: Counts requests and closed connections.
            log: Logs how requests ended.
            clock: The clock.
            ends_connections: Returns whether each reply closes its connection,
                so that callers reconnect through the balancer.
        """
        self._ends_connections = ends_connections
        self._requests = requests
        self._protocol = protocol
        self._bodies = bodies
        self._connection_limits = connection_limits
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._server: _connection_server.ConnectionServer | None = None
        self._listener: _listener.Listener | None = None
        self._draining = False
        # Monotonic time at which open requests are ended; None until the drain.
        self._answer_by: datetime.timedelta | None = None
        self._time_limits: set[asyncio.Timeout] = set()
        self.open_requests = 0

    async def start(self, listener: socket.socket) -> None:
        """Starts to accept connections of callers.

        Args:
            listener: A listening socket; owned by the server, which closes it
                in `stop_accepting`.
        """
        self._server = _connection_server.ConnectionServer(
            self._handle,
            self._connection_limits,
            auto_decompress=False,
        )
        self._listener = _listener.Listener(self._server, listener)
        self._listener.start()

    def drain(self, answer_by: datetime.timedelta) -> None:
        """Makes each further reply close its connection.

        Args:
            answer_by: Monotonic time at which requests that are still open get
                status 504: their callers would otherwise see the connection end
                when the process does.
        """
        self._draining = True
        self._answer_by = answer_by
        self._requests.stops_at = answer_by
        for time_limit in self._time_limits:
            time_limit.reschedule(self._end_of_requests())

    def _end_of_requests(self) -> float | None:
        """Returns the event loop time at which open requests are ended."""
        if self._answer_by is None:
            return None
        time_left = self._answer_by - self._clock.monotonic()
        return asyncio.get_running_loop().time() + time_left.total_seconds()

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return 0 if self._server is None else self._server.open_connections

    def close_overdue(self, limits: routing.ClientLimits) -> None:
        """Closes connections over the idle or the header timeout.

        Args:
            limits: Limits in force.
        """
        if self._server is None:
            return
        closed = self._server.close_overdue(limits)
        if closed:
            self._metrics.count_closed_connections(closed)
            _LOGGER.info(
                "caller connections closed by a limit",
                extra={"connections": closed},
            )

    async def stop_accepting(self) -> None:
        """Closes the listening socket; open connections continue.

        All connections that were accepted are open when this returns.
        """
        if self._listener is not None:
            await self._listener.stop()

    async def close(self) -> None:
        """Closes idle connections, and others once their request ends.

        Requests whose bodies are being received are read and served. Requests
        that are open at the time given to `drain` are ended.
        """
        if self._server is None:
            return
        end = self._end_of_requests() or asyncio.get_running_loop().time()
        await self._server.close(end + _REPLY_TIME_S)

    async def _handle(self, message: web.BaseRequest) -> web.StreamResponse:
        arrived_at = self._clock.monotonic()
        self.open_requests += 1
        request: calls.ClientRequest | None = None
        reply: _requests.Reply | None = None
        try:
            request = self._protocol.client_request(
                message.method,
                message.raw_path,
                message.raw_headers,
                b"",
            )
            with self._bodies.open() as body:
                reply = await self._reply(message, request, body)
                return self._to_response(reply)
        finally:
            self.open_requests -= 1
            self._record_end(request, reply, arrived_at)

    async def _reply(
        self,
        message: web.BaseRequest,
        request: calls.ClientRequest,
        body: _request_bodies.OpenBody,
    ) -> _requests.Reply:
        """Reads and serves a request; ends it when the drain does."""
        was_read = False
        time_limit = asyncio.timeout_at(self._end_of_requests())
        self._time_limits.add(time_limit)
        try:
            async with time_limit:
                if message.body_exists:
                    read_result = await self._read_body(message, request, body)
                    if isinstance(read_result, _requests.Reply):
                        return read_result
                    request = read_result
                was_read = True
                return await self._requests.serve(request)
        except TimeoutError:
            if not time_limit.expired():
                raise
            if was_read:
                # A leaf may be at work on it.
                return _requests.local_reply(504, _requests.Cause.STOPPING)
            return _requests.local_reply(
                503,
                _requests.Cause.STOPPING,
                self._protocol.retry_after(datetime.timedelta()),
            )
        finally:
            self._time_limits.discard(time_limit)

    async def _read_body(
        self,
        message: web.BaseRequest,
        request: calls.ClientRequest,
        body: _request_bodies.OpenBody,
    ) -> calls.ClientRequest | _requests.Reply:
        """Returns the request with its body, or a refusal if reading fails."""
        time_limit = request.time_left or _DEFAULT_BODY_TIMEOUT
        try:
            async with asyncio.timeout(time_limit.total_seconds()):
                return dataclasses.replace(
                    request, body=await body.read(message)
                )
        except _request_bodies.BodyTooLargeError:
            return _requests.local_reply(413, _requests.Cause.BODY_TOO_LARGE)
        except _request_bodies.BodiesFullError:
            return _requests.local_reply(
                503,
                _requests.Cause.BODIES_FULL,
                self._protocol.retry_after(_BODIES_FULL_RETRY_DELAY),
            )
        except TimeoutError:
            return _requests.local_reply(408, _requests.Cause.BODY_LATE)

    def _to_response(self, reply: _requests.Reply) -> web.Response:
        response = web.Response(status=reply.status, body=reply.body)
        for name, value in reply.headers:
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        if self._draining or self._ends_connections():
            response.force_close()
        return response

    def _record_end(
        self,
        request: calls.ClientRequest | None,
        reply: _requests.Reply | None,
        arrived_at: datetime.timedelta,
    ) -> None:
        duration = self._clock.monotonic() - arrived_at
        status = _CLIENT_CLOSED_STATUS if reply is None else reply.status
        cause = reply.cause if reply is not None else None
        missing = 0 if reply is None else len(reply.missing)
        self._metrics.count_request(
            status, cause.value if cause else "", duration, missing
        )
        self._log.log_end(request, reply, duration)
