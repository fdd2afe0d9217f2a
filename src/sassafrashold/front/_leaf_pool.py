"""Connections to leafs and the calls that use them."""

import asyncio
from collections.abc import Callable
import datetime

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import sockets
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_connection

# A leaf accepts within a few milliseconds; one behind a cut link never does.
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# A request that must not run twice gets a connection that was used recently:
# a reset of an idle one would leave open whether it has run.
_FRESH_FOR_SINGLE_RUN = datetime.timedelta(seconds=1)

OnResult = Callable[[calls.CallResult], None]


class LeafCall:
    """A request on its way to a leaf."""

    def __init__(self, on_result: OnResult) -> None:
        self._on_result: OnResult | None = on_result
        self.connection: _leaf_connection.LeafConnection | None = None
        self.connecting: asyncio.Task[None] | None = None

    @property
    def is_done(self) -> bool:
        """Whether the result was delivered or the call was cancelled."""
        return self._on_result is None

    def finish(self, result: calls.CallResult) -> None:
        """Delivers the result, once."""
        on_result = self._on_result
        self._release()
        if on_result is not None:
            on_result(result)

    def cancel(self) -> None:
        """Ends the call; the leaf notices that its connection is closed."""
        connection = self.connection
        connecting = self.connecting
        done = self.is_done
        self._release()
        if connection is not None and not done:
            connection.close()
        if connecting is not None:
            connecting.cancel()

    def _release(self) -> None:
        self._on_result = None
        self.connection = None


class LeafPool:
    """Keeps idle connections by incarnation of a leaf."""

    def __init__(
        self, protocol: _interfaces.Protocol, clock: clock_lib.Clock
    ) -> None:
        """Initializes an empty pool.

        Args:
            protocol: How leafs spell requests and answers.
            clock: The clock.
        """
        self._protocol = protocol
        self._clock = clock
        self._idle_by_ref: dict[
            directory.LeafRef,
            list[tuple[datetime.timedelta, _leaf_connection.LeafConnection]],
        ] = {}
        self.opened = 0
        # Connection attempts are referenced until they end.
        self._tasks: set[asyncio.Task[None]] = set()

    def call(
        self,
        leaf: directory.LeafEntry,
        request: calls.ClientRequest,
        time_left: datetime.timedelta,
        runs_once: bool,
        on_result: OnResult,
    ) -> LeafCall:
        """Sends a request to a leaf.

        Args:
            leaf: The leaf.
            request: Request of the caller.
            time_left: How long the leaf may work; the owner of the call
                cancels it when it no longer waits.
            runs_once: Whether the request must not run twice.
            on_result: Called once from the loop, never from within this call;
                not called after `cancel`.
        """
        loop = asyncio.get_running_loop()
        call = LeafCall(on_result)
        deadline = self._clock.monotonic() + time_left
        connection = self._take_idle(leaf.ref, runs_once)
        if connection is not None:
            self._send(call, connection, leaf, request, deadline)
            return call
        call.connecting = loop.create_task(
            self._connect(call, leaf, request, deadline)
        )
        self._tasks.add(call.connecting)
        call.connecting.add_done_callback(self._tasks.discard)
        return call

    async def probe(self, leaf: directory.LeafEntry) -> bool:
        """Returns whether a new connection to a leaf comes about."""
        try:
            connection = await self._open(leaf)
        except (OSError, TimeoutError):
            return False
        self._keep(leaf.ref, connection)
        return True

    def forget(self, ref: directory.LeafRef) -> None:
        """Closes the idle connections to an incarnation that ended."""
        for _, connection in self._idle_by_ref.pop(ref, ()):
            connection.close()

    def close_idle(self, limit: Callable[[directory.LeafRef], int]) -> None:
        """Closes idle connections that leafs are about to close.

        Args:
            limit: Returns how many idle connections to a leaf are kept.
        """
        now = self._clock.monotonic()
        for ref, idle in list(self._idle_by_ref.items()):
            kept = [
                (since, connection)
                for since, connection in idle
                if connection.is_idle and now - since < connection.keep_open
            ][-limit(ref) :]
            for item in idle:
                if item not in kept:
                    item[1].close()
            if kept:
                self._idle_by_ref[ref] = kept
            else:
                del self._idle_by_ref[ref]

    def close(self) -> None:
        """Closes all idle connections."""
        for ref in list(self._idle_by_ref):
            self.forget(ref)

    def _take_idle(
        self, ref: directory.LeafRef, runs_once: bool
    ) -> _leaf_connection.LeafConnection | None:
        idle = self._idle_by_ref.get(ref)
        now = self._clock.monotonic()
        while idle:
            since, connection = idle.pop()
            age = now - since
            if connection.is_idle and age < connection.keep_open:
                if not runs_once or age < _FRESH_FOR_SINGLE_RUN:
                    return connection
                idle.append((since, connection))
                return None
            connection.close()
        return None

    async def _connect(
        self,
        call: LeafCall,
        leaf: directory.LeafEntry,
        request: calls.ClientRequest,
        deadline: datetime.timedelta,
    ) -> None:
        try:
            connection = await self._open(leaf)
        except (OSError, TimeoutError) as error:
            call.connecting = None
            call.finish(
                calls.Failed(
                    calls.FailureKind.NOT_SENT,
                    None,
                    f"connect: {type(error).__name__}: {error}",
                )
            )
            return
        call.connecting = None
        if call.is_done:
            self._keep(leaf.ref, connection)
            return
        self._send(call, connection, leaf, request, deadline)

    async def _open(
        self, leaf: directory.LeafEntry
    ) -> _leaf_connection.LeafConnection:
        loop = asyncio.get_running_loop()
        sock = sockets.stream_socket()
        self.opened += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT.total_seconds()):
                await loop.sock_connect(
                    sock, (leaf.address.ip, leaf.address.port)
                )
                _, connection = await loop.create_connection(
                    lambda: _leaf_connection.LeafConnection(
                        loop, self._protocol
                    ),
                    sock=sock,
                )
        except BaseException:
            sock.close()
            raise
        return connection

    def _send(
        self,
        call: LeafCall,
        connection: _leaf_connection.LeafConnection,
        leaf: directory.LeafEntry,
        request: calls.ClientRequest,
        deadline: datetime.timedelta,
    ) -> None:
        call.connection = connection

        def on_result(result: calls.CallResult) -> None:
            if connection.is_idle:
                self._keep(leaf.ref, connection)
            call.finish(result)

        connection.send(
            self._protocol.leaf_request(
                request, leaf, deadline - self._clock.monotonic()
            ),
            request.request_id,
            request.method != "HEAD",
            on_result,
        )

    def _keep(
        self,
        ref: directory.LeafRef,
        connection: _leaf_connection.LeafConnection,
    ) -> None:
        self._idle_by_ref.setdefault(ref, []).append(
            (self._clock.monotonic(), connection)
        )
