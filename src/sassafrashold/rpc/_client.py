"""RPC client: one connection to one peer, reopened on demand."""

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import dataclasses
import datetime
import itertools
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold import wire
from sassafrashold.rpc import _frames

_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True)
class _Item:
    body: bytes


@dataclasses.dataclass(frozen=True)
class _Result:
    body: bytes


@dataclasses.dataclass(frozen=True)
class _Failure:
    error: errors.RpcError
    is_timeout: bool = False


_Event = _Item | _Result | _Failure


class _Connection:
    """One connection to the peer, with the calls that wait on it."""

    def __init__(
        self,
        address: settings.Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        metrics: telemetry.Metrics,
    ) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer
        self._metrics = metrics
        self._queue_by_id: dict[int, asyncio.Queue[_Event]] = {}
        # The peer leaves: it answers what was sent, and gets nothing new.
        self._is_retired = False

    @property
    def takes_calls(self) -> bool:
        """Whether new calls may be sent."""
        return not self._is_retired and not self._writer.is_closing()

    def send(self, correlation_id: int, frame: bytes) -> asyncio.Queue[_Event]:
        """Sends a request; returns the queue of its events."""
        queue: asyncio.Queue[_Event] = asyncio.Queue()
        self._queue_by_id[correlation_id] = queue
        self._writer.write(frame)
        return queue

    def end_call(self, correlation_id: int, *, cancel: bool) -> None:
        """Forgets a call; cancels it at the peer if it may still run."""
        self._queue_by_id.pop(correlation_id, None)
        if cancel and not self._writer.is_closing():
            self._writer.write(_cancel_frame(correlation_id))
        self._close_if_done()

    async def read_frames(self) -> None:
        """Delivers frames to their calls until the connection ends."""
        reason = "connection closed by the peer"
        try:
            while True:
                self._deliver(await _frames.read(self._reader))
        except errors.RpcError as error:
            self._metrics.count("rpc.bad_frames")
            reason = f"invalid frame from the peer: {error.message}"
        except (asyncio.IncompleteReadError, OSError) as error:
            reason = f"connection lost: {error}"
        finally:
            self.close(reason)

    def close(self, reason: str) -> None:
        """Closes the connection and fails all calls that wait on it."""
        self._writer.close()
        queues = list(self._queue_by_id.values())
        self._queue_by_id.clear()
        for queue in queues:
            queue.put_nowait(
                _Failure(
                    errors.RpcError(
                        errors.ErrorCode.CONNECTION_LOST,
                        f"{self._address}: {reason}",
                        ran=errors.Ran.OUTCOME_UNKNOWN,
                    )
                )
            )

    def _deliver(self, frame: Any) -> None:
        if _frames.is_leaving_notice(frame):
            self._is_retired = True
            self._close_if_done()
            return
        queue = self._queue_by_id.get(frame.correlation_id)
        if queue is None:
            self._metrics.count("rpc.late_frames")
            return
        kind = wire.messages.FrameKind
        if frame.kind == kind.ITEM:
            queue.put_nowait(_Item(frame.body or b""))
        elif frame.kind == kind.RESPONSE:
            queue.put_nowait(_Result(frame.body or b""))
        elif frame.kind == kind.ERROR and frame.error is not None:
            queue.put_nowait(_Failure(wire.error_from_wire(frame.error)))
        else:
            raise errors.RpcError(
                errors.ErrorCode.BAD_FRAME, "unexpected frame kind"
            )

    def _close_if_done(self) -> None:
        if self._is_retired and not self._queue_by_id:
            self._writer.close()


class Client:
    """Calls methods of one peer over one connection.

    Every call has its own correlation id. A frame whose id no pending call has
    (a late response) is dropped and counted, so it never reaches another
    call. A connection on which the peer announced that it leaves gets no more
    calls; those that wait on it are answered first.
    """

    def __init__(
        self,
        address: settings.Address,
        clock: clock_lib.Clock,
        metrics: telemetry.Metrics | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._metrics = metrics or telemetry.NullMetrics()
        self._ids = itertools.count(1)
        self._connection: _Connection | None = None
        self._task_by_connection: dict[_Connection, asyncio.Task[None]] = {}
        self._connect_lock = asyncio.Lock()

    @property
    def address(self) -> settings.Address:
        """Address of the peer."""
        return self._address

    async def call(
        self,
        method: str,
        body: bytes,
        *,
        deadline: datetime.datetime,
        traceparent: str | None = None,
    ) -> bytes:
        """Calls a method and returns its result.

        Args:
            method: Name of the method.
            body: The encoded message.
            deadline: Wall time at which to give up; sent to the peer.
            traceparent: W3C trace context.

        Raises:
            RpcError: With `ran` NOT_RUN only if the request was certainly not
                run: it was not sent, or the peer said so.
        """
        async with contextlib.aclosing(
            self.stream(
                method, body, deadline=deadline, traceparent=traceparent
            )
        ) as bodies:
            received = [body async for body in bodies]
        return received[-1]

    async def stream(
        self,
        method: str,
        body: bytes,
        *,
        deadline: datetime.datetime,
        traceparent: str | None = None,
    ) -> AsyncGenerator[bytes, None]:
        """Calls a method and yields its items and finally its result.

        Closing the iterator before its end cancels the request.

        Raises:
            RpcError: As in `call`.
        """
        connection = await self._ensure_connected(deadline)
        correlation_id = next(self._ids)
        data = _frames.pack(
            wire.messages.Frame(
                correlation_id=correlation_id,
                kind=wire.messages.FrameKind.REQUEST,
                method=method,
                body=body,
                traceparent=traceparent,
                deadline_unix_ms=clock_lib.to_unix_ms(deadline),
            )
        )
        queue = connection.send(correlation_id, data)
        finished = False
        # One timer for the whole call is cheaper than one for each item.
        remaining = (deadline - self._clock.now()).total_seconds()
        timer = asyncio.get_running_loop().call_later(
            max(0.0, remaining), queue.put_nowait, self._timeout_failure(method)
        )
        try:
            while not finished:
                event = await queue.get()
                match event:
                    case _Item():
                        yield event.body
                    case _Result():
                        finished = True
                        yield event.body
                    case _Failure():
                        # After a local timeout the peer still runs the
                        # call, so it is cancelled below.
                        finished = not event.is_timeout
                        raise event.error
        finally:
            timer.cancel()
            connection.end_call(correlation_id, cancel=not finished)

    async def close(self) -> None:
        """Closes the connections; pending calls fail."""
        for connection, task in list(self._task_by_connection.items()):
            task.cancel()
            connection.close("client closed")

    def _timeout_failure(self, method: str) -> _Failure:
        return _Failure(
            errors.RpcError(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                f"no answer to {method} from {self._address} in time",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ),
            is_timeout=True,
        )

    async def _ensure_connected(
        self, deadline: datetime.datetime
    ) -> _Connection:
        """Returns an open connection.

        Raises:
            RpcError: UNAVAILABLE or DEADLINE_EXCEEDED, with `ran` NOT_RUN.
        """
        remaining = (deadline - self._clock.now()).total_seconds()
        if remaining <= 0:
            raise errors.RpcError(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                f"no time left to call {self._address}",
            )
        connection = self._connection
        if connection is not None and connection.takes_calls:
            return connection
        try:
            async with asyncio.timeout(
                min(remaining, _CONNECT_TIMEOUT.total_seconds())
            ):
                async with self._connect_lock:
                    return await self._connect()
        except (OSError, TimeoutError) as error:
            raise errors.RpcError(
                errors.ErrorCode.UNAVAILABLE,
                f"cannot connect to {self._address}: {error}",
            ) from error

    async def _connect(self) -> _Connection:
        connection = self._connection
        if connection is not None and connection.takes_calls:
            return connection
        reader, writer = await asyncio.open_connection(
            self._address.ip, self._address.port
        )
        _frames.detect_dead_peer(writer)
        connection = _Connection(self._address, reader, writer, self._metrics)
        task = asyncio.create_task(connection.read_frames())
        self._task_by_connection[connection] = task
        task.add_done_callback(
            lambda _: self._task_by_connection.pop(connection, None)
        )
        self._connection = connection
        return connection


class Pool:
    """One client per peer address."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        metrics: telemetry.Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._client_by_address: dict[settings.Address, Client] = {}

    def get(self, address: settings.Address) -> Client:
        """Returns the client for a peer; connects on its first call."""
        client = self._client_by_address.get(address)
        if client is None:
            client = Client(address, self._clock, self._metrics)
            self._client_by_address[address] = client
        return client

    async def retain(self, addresses: frozenset[settings.Address]) -> None:
        """Closes the clients of all peers that are not in `addresses`."""
        for address in list(self._client_by_address):
            if address not in addresses:
                await self._client_by_address.pop(address).close()

    async def close(self) -> None:
        """Closes all clients."""
        await self.retain(frozenset())


def _cancel_frame(correlation_id: int) -> bytes:
    return _frames.pack(
        wire.messages.Frame(
            correlation_id=correlation_id,
            kind=wire.messages.FrameKind.CANCEL,
        )
    )
