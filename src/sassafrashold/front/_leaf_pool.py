"""Connections to leafs and the calls that use them."""

import asyncio
from collections.abc import Callable
import datetime
import socket

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.front import _answer_memory
from sassafrashold.front import _interfaces
from sassafrashold.front import _leaf_connection

# A reachable leaf accepts within a few milliseconds; behind a cut link the
# attempt never ends.
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# A request that must not run twice reuses only a connection that was idle for
# less than this. The leaf may reset one that was idle for longer, and it would
# then be unknown whether the request ran.
_MAX_IDLE_FOR_AT_MOST_ONCE = datetime.timedelta(seconds=1)

# Suits a host with 200 MB of memory.
DEFAULT_MAX_ANSWER_BYTES = 48 * 2**20

OnResult = Callable[[calls.CallResult], None]


class LeafCall:
    """A request that was given to the pool for one leaf."""

    def __init__(self, on_result: OnResult) -> None:
        self._on_result: OnResult | None = on_result
        self.connection: _leaf_connection.LeafConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None

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
        """Ends the call without a result.

        Closes its connection, from which the leaf sees the cancellation.
        """
        connection = self.connection
        connect_task = self.connect_task
        done = self.is_done
        self._release()
        if connection is not None and not done:
            connection.close()
        if connect_task is not None:
            connect_task.cancel()

    def _release(self) -> None:
        self._on_result = None
        self.connection = None


class LeafPool:
    """Pools idle connections for each incarnation of a leaf."""

    def __init__(
        self,
        protocol: _interfaces.WireProtocol,
        clock: clock_lib.Clock,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        """Initializes an empty pool.

        Args:
            protocol: Wire format of leaf requests and answers.
            clock: The clock.
            max_answer_bytes: Maximum size of all open answers together.
        """
        self.answer_memory = _answer_memory.AnswerMemory(max_answer_bytes)
        self._protocol = protocol
        self._clock = clock
        self._idle_by_ref: dict[
            directory.LeafRef,
            list[tuple[datetime.timedelta, _leaf_connection.LeafConnection]],
        ] = {}
        self.connections_opened = 0
        # The event loop holds only weak references to tasks.
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def call(
        self,
        leaf: directory.LeafEntry,
        request: calls.ClientRequest,
        time_left: datetime.timedelta,
        at_most_once: bool,
        on_result: OnResult,
    ) -> LeafCall:
        """Sends a request to a leaf.

        Args:
            leaf: The leaf.
            request: Request of the caller.
            time_left: How long the leaf may work on the request. The pool
                does not enforce it: the owner of the call cancels it.
            at_most_once: Whether the request must not run more than once.
            on_result: Called once from the event loop, never from within this
                method; not called after `LeafCall.cancel`.
        """
        loop = asyncio.get_running_loop()
        call = LeafCall(on_result)
        deadline = self._clock.monotonic() + time_left
        connection = self._acquire_idle(
            leaf.ref, request.request_id, at_most_once
        )
        if connection is not None:
            self._send(call, connection, leaf, request, deadline)
            return call
        call.connect_task = loop.create_task(
            self._connect(call, leaf, request, deadline)
        )
        self._connect_tasks.add(call.connect_task)
        call.connect_task.add_done_callback(self._connect_tasks.discard)
        return call

    async def probe(self, leaf: directory.LeafEntry) -> bool:
        """Returns whether a new connection to a leaf can be opened."""
        try:
            connection = await self._open(leaf)
        except (OSError, TimeoutError):
            return False
        self._release_connection(leaf.ref, connection)
        return True

    def close_leaf_connections(self, ref: directory.LeafRef) -> None:
        """Closes the idle connections to an incarnation of a leaf."""
        for _, connection in self._idle_by_ref.pop(ref, ()):
            connection.close()

    def close_idle(self, max_idle: Callable[[directory.LeafRef], int]) -> None:
        """Closes excess idle connections and those that leafs soon close.

        Args:
            max_idle: Returns how many idle connections to a leaf are kept.
        """
        now = self._clock.monotonic()
        for ref, idle in list(self._idle_by_ref.items()):
            usable = [
                (idle_since, connection)
                for idle_since, connection in idle
                if connection.is_idle
                and now - idle_since < connection.max_idle_time
            ]
            kept = usable[max(len(usable) - max_idle(ref), 0) :]
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
            self.close_leaf_connections(ref)

    def _acquire_idle(
        self,
        ref: directory.LeafRef,
        request_id: str | None,
        at_most_once: bool,
    ) -> _leaf_connection.LeafConnection | None:
        """Takes the idle connection that was used last and suits the request.

        If the request has failed on all of them, one is closed, so that the
        new connection does not add to their number.
        """
        idle = self._idle_by_ref.get(ref, [])
        now = self._clock.monotonic()
        unsuitable = []
        found = None
        while idle and found is None:
            idle_since, connection = idle.pop()
            idle_time = now - idle_since
            if not connection.is_idle or idle_time >= connection.max_idle_time:
                connection.close()
            elif at_most_once and idle_time >= _MAX_IDLE_FOR_AT_MOST_ONCE:
                idle.append((idle_since, connection))
                break
            elif connection.may_carry(request_id):
                found = connection
            else:
                unsuitable.append((idle_since, connection))
        if unsuitable and found is None:
            unsuitable.pop()[1].close()
        idle.extend(reversed(unsuitable))
        return found

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
            call.connect_task = None
            call.finish(
                calls.Failed(
                    calls.FailureKind.NOT_SENT,
                    None,
                    f"connect: {type(error).__name__}: {error}",
                )
            )
            return
        call.connect_task = None
        if call.is_done:
            self._release_connection(leaf.ref, connection)
            return
        self._send(call, connection, leaf, request, deadline)

    async def _open(
        self, leaf: directory.LeafEntry
    ) -> _leaf_connection.LeafConnection:
        loop = asyncio.get_running_loop()
        sock = sockets.stream_socket()
        self.connections_opened += 1
        try:
            await _connect(sock, leaf.address)
            _, connection = await loop.create_connection(
                lambda: _leaf_connection.LeafConnection(
                    loop, self._protocol, self.answer_memory
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
                self._release_connection(leaf.ref, connection)
            call.finish(result)

        connection.send(
            self._protocol.leaf_request(
                request, leaf, deadline - self._clock.monotonic()
            ),
            request.request_id,
            request.method != "HEAD",
            on_result,
        )

    def _release_connection(
        self,
        ref: directory.LeafRef,
        connection: _leaf_connection.LeafConnection,
    ) -> None:
        self._idle_by_ref.setdefault(ref, []).append(
            (self._clock.monotonic(), connection)
        )


async def _connect(sock: socket.socket, address: settings.Address) -> None:
    """Connects a socket.

    Raises:
        OSError: The connection was refused, or no route leads to the address.
        TimeoutError: There was no answer in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT.total_seconds()):
            await loop.sock_connect(sock, (address.ip, address.port))
    except TimeoutError:
        # If the event loop was blocked, the time ran out although the leaf
        # accepted at once.
        if not sockets.is_connected(sock):
            raise
