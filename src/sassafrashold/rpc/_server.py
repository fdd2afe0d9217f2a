"""RPC server: one task per connection and one per request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import logging
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold import wire
from sassafrashold.rpc import _frames

_LOGGER = logging.getLogger(__name__)
_MAX_REQUESTS_PER_CONNECTION = 10_000
_CLOSE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """Metadata of a request, passed to its handler."""

    method: str
    """Name of the called method."""

    peer: str
    """Remote ip:port."""

    deadline: datetime.datetime | None
    """Wall time at which the caller stops waiting; None without a deadline."""

    traceparent: str | None
    """W3C trace context of the caller."""

    emit: Callable[[bytes], Awaitable[None]]
    """Sends one item of a streamed result."""


Handler = Callable[[RequestContext, bytes], Awaitable[bytes]]


class Server:
    """Listens on one address and runs handlers.

    A handler gets the request context and the encoded message and returns the
    encoded result. A `SassafrasError` that it raises is sent to the caller. Its
    task is cancelled when the caller cancels, the deadline passes or the
    connection ends.
    """

    def __init__(
        self,
        handler_by_method: Mapping[str, Handler],
        clock: clock_lib.Clock,
        metrics: telemetry.Metrics | None = None,
    ) -> None:
        self._handler_by_method = dict(handler_by_method)
        self._clock = clock
        self._metrics = metrics or telemetry.NullMetrics()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: settings.Address) -> settings.Address:
        """Binds the address and starts to accept connections.

        Returns:
            The bound address, with the real port if port 0 was asked for.
        """
        self._server = await asyncio.start_server(
            self._accept, address.ip, address.port, reuse_port=False
        )
        ip, port = self._server.sockets[0].getsockname()[:2]
        return settings.Address(ip, port)

    def in_flight(self) -> int:
        """Returns the number of requests whose handlers still run."""
        return sum(len(c.task_by_id) for c in self._connections)

    async def drain(self, timeout: datetime.timedelta) -> None:
        """Stops accepting and answers callers until they have left.

        Each caller is told that this process leaves. A request in flight still
        gets an answer: after an immediate close its caller would not know
        whether it ran. Handlers have to refuse new work by now.

        Args:
            timeout: How long to wait for the callers.
        """
        if self._server is not None:
            # Accepts the connections that wait in the backlog.
            await asyncio.sleep(0)
            self._server.close()
        for connection in list(self._connections):
            connection.announce_leaving()
        if self._connection_tasks:
            await asyncio.wait(
                self._connection_tasks, timeout=timeout.total_seconds()
            )

    async def close(self) -> None:
        """Stops accepting, cancels running handlers and closes connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        # Python 3.11 logs an error for each connection task that the end of
        # the event loop cancels, so they have to end first.
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=_CLOSE_TIMEOUT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(
            reader, writer, self._handler_by_method, self._clock, self._metrics
        )
        self._connections.add(connection)
        task = asyncio.current_task()
        if task is not None:
            self._connection_tasks.add(task)
            task.add_done_callback(self._connection_tasks.discard)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class _Connection:
    """One accepted connection; owns its socket and its request tasks."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler_by_method: Mapping[str, Handler],
        clock: clock_lib.Clock,
        metrics: telemetry.Metrics,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler_by_method = handler_by_method
        self._clock = clock
        self._metrics = metrics
        remote = writer.get_extra_info("peername") or ("unknown", 0)
        self._peer = f"{remote[0]}:{remote[1]}"
        _frames.detect_dead_peer(writer)
        self.task_by_id: dict[int, asyncio.Task[None]] = {}

    def announce_leaving(self) -> None:
        """Asks the caller to send no more and to close the connection."""
        if not self._writer.is_closing():
            self._writer.write(_frames.leaving_notice())

    def close(self) -> None:
        """Cancels all requests and closes the socket."""
        for task in list(self.task_by_id.values()):
            task.cancel()
        self._writer.close()

    async def run(self) -> None:
        """Reads frames until the connection ends."""
        try:
            while True:
                self._dispatch(await _frames.read(self._reader))
        except errors.RpcError as error:
            self._metrics.count("rpc.bad_frames")
            _LOGGER.warning(
                "closing connection after an invalid frame",
                extra={"peer": self._peer, "code": error.code.value},
            )
            self._send_error(0, error)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.close()

    def _dispatch(self, frame: Any) -> None:
        kind = wire.messages.FrameKind
        if frame.kind == kind.CANCEL:
            task = self.task_by_id.get(frame.correlation_id)
            if task is not None:
                task.cancel()
            return
        if frame.kind != kind.REQUEST or frame.method is None:
            raise errors.RpcError(
                errors.ErrorCode.BAD_FRAME, "expected REQUEST or CANCEL"
            )
        if frame.correlation_id in self.task_by_id:
            raise errors.RpcError(
                errors.ErrorCode.BAD_FRAME, "correlation id is in use"
            )
        handler = self._handler_by_method.get(frame.method)
        if handler is None:
            self._send_error(
                frame.correlation_id,
                errors.RpcError(
                    errors.ErrorCode.UNKNOWN_METHOD,
                    f"no method {frame.method!r}",
                    field="method",
                ),
            )
            return
        if len(self.task_by_id) >= _MAX_REQUESTS_PER_CONNECTION:
            self._send_error(
                frame.correlation_id,
                errors.RpcError(
                    errors.ErrorCode.OVERLOADED, "too many open requests"
                ),
            )
            return
        task = asyncio.create_task(self._serve(handler, frame))
        self.task_by_id[frame.correlation_id] = task
        task.add_done_callback(
            lambda _: self.task_by_id.pop(frame.correlation_id, None)
        )

    async def _serve(self, handler: Handler, frame: Any) -> None:
        deadline = None
        timeout: float | None = None
        if frame.deadline_unix_ms is not None:
            try:
                deadline = clock_lib.from_unix_ms(frame.deadline_unix_ms)
            except OverflowError:
                self._send_error(
                    frame.correlation_id,
                    errors.RpcError(
                        errors.ErrorCode.BAD_REQUEST,
                        "deadline out of range",
                        field="deadline_unix_ms",
                    ),
                )
                return
            timeout = (deadline - self._clock.now()).total_seconds()
        if timeout is not None and timeout <= 0:
            self._send_error(
                frame.correlation_id,
                errors.RpcError(
                    errors.ErrorCode.DEADLINE_EXCEEDED,
                    "the deadline passed before the request started",
                ),
            )
            return
        context = RequestContext(
            frame.method,
            self._peer,
            deadline,
            frame.traceparent,
            lambda item: self._emit(frame.correlation_id, item),
        )
        await self._run_handler(handler, context, frame, timeout)

    async def _run_handler(
        self,
        handler: Handler,
        context: RequestContext,
        frame: Any,
        timeout: float | None,
    ) -> None:
        try:
            async with asyncio.timeout(timeout):
                result = await handler(context, frame.body or b"")
            self._send_result(frame.correlation_id, result)
        except TimeoutError:
            self._send_error(
                frame.correlation_id,
                errors.RpcError(
                    errors.ErrorCode.DEADLINE_EXCEEDED,
                    f"{frame.method} did not finish in time",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                ),
            )
        except errors.SassafrasError as error:
            self._send_error(frame.correlation_id, error)
        except OSError:
            self._writer.close()
        except Exception as error:
            self._metrics.count("rpc.handler_failures")
            _LOGGER.exception("handler failed", extra={"method": frame.method})
            self._send_error(
                frame.correlation_id,
                errors.RpcError(
                    errors.ErrorCode.INTERNAL,
                    f"{type(error).__name__} in {frame.method}",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                ),
            )

    def _send_result(self, correlation_id: int, result: bytes) -> None:
        try:
            self._send(
                wire.messages.Frame(
                    correlation_id=correlation_id,
                    kind=wire.messages.FrameKind.RESPONSE,
                    body=result,
                )
            )
        except errors.RpcError as error:
            # The handler has run, so the error must not say "not run".
            raise errors.RpcError(
                error.code, error.message, ran=errors.Ran.OUTCOME_UNKNOWN
            ) from error

    async def _emit(self, correlation_id: int, item: bytes) -> None:
        self._send(
            wire.messages.Frame(
                correlation_id=correlation_id,
                kind=wire.messages.FrameKind.ITEM,
                body=item,
            )
        )
        await self._writer.drain()

    def _send(self, frame: Any) -> None:
        if not self._writer.is_closing():
            self._writer.write(_frames.pack(frame))

    def _send_error(
        self, correlation_id: int, error: errors.SassafrasError
    ) -> None:
        self._send(
            wire.messages.Frame(
                correlation_id=correlation_id,
                kind=wire.messages.FrameKind.ERROR,
                error=wire.error_to_wire(error),
            )
        )
