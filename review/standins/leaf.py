"""Stand-in of a leaf, as `PROTOCOL.md` describes one.

It runs `slots` requests at the same time, queues a few more, rejects the rest
with `Not-Executed`, echoes `Request-Id`, signs what it ran, stops at the
deadline and drops a request whose connection closes.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time

HEALTH_PATH = "/health"


@dataclasses.dataclass(frozen=True)
class Message:
    """A request as a leaf received it."""

    method: str
    target: str
    header_by_name: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the client's attempt."""
        return self.header_by_name.get("request-id", "")


@dataclasses.dataclass
class Arrival:
    """A request that reached a leaf, and what became of it."""

    at: float
    request_id: str
    leaf_id: str
    body: bytes
    began_at: float | None = None
    ended: str = ""


class Leaf:
    """One incarnation of a leaf."""

    def __init__(
        self,
        leaf_id: str,
        service: str,
        zone: str,
        ip: str,
        *,
        slots: int,
        queue: int,
        work_s: float,
        seed: int = 0,
    ) -> None:
        """Initializes a leaf that does not listen yet."""
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.ip = ip
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.address = ""
        self.arrivals: list[Arrival] = []
        # Share of the answers that are sent a second time (`garble`, `extra
        # late`): the copy comes when the next answer is expected.
        self.extra_share = 0.0
        self.extra_answers = 0
        self._random = random.Random(f"{leaf_id}/{seed}")
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self) -> None:
        """Begins to listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), self.ip, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns what the leaf writes about itself into the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1790000000000,
        }

    def added(self, connection: "_Connection") -> None:
        """Records an open connection."""
        self._connections.add(connection)

    def removed(self, connection: "_Connection") -> None:
        """Records that a connection has ended."""
        self._connections.discard(connection)

    def sends_extra(self) -> bool:
        """Draws whether an answer is sent a second time."""
        return self._random.random() < self.extra_share

    async def answer(self, message: Message) -> bytes:
        """Serves one request; cancelled when its connection closes."""
        request_id = message.request_id
        if message.target == HEALTH_PATH:
            return _encode(200, [("Instance-Id", self.leaf_id)], b"")
        arrival = Arrival(
            time.monotonic(), request_id, self.leaf_id, message.body
        )
        self.arrivals.append(arrival)
        headers = [("Request-Id", request_id)]
        if message.header_by_name.get("expect-instance") != self.leaf_id:
            arrival.ended = "421"
            return _encode(421, [*headers, ("Instance-Id", self.leaf_id)], b"")
        rejection = [*headers, ("Not-Executed", "1")]
        if self._running >= self.slots and len(self._waiting) >= self.queue:
            arrival.ended = "503 not executed"
            return _encode(503, rejection, b"full")
        deadline_s = float(message.header_by_name["deadline-ms"]) / 1000
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline_s
        try:
            await self._take_slot(end)
        except TimeoutError:
            arrival.ended = "503 not executed, deadline"
            return _encode(503, rejection, b"late")
        except asyncio.CancelledError:
            arrival.ended = "dropped in the queue"
            raise
        arrival.began_at = time.monotonic()
        signed = [*headers, ("Server-Stamp", f"{self.leaf_id}.{request_id}")]
        work = self.work_s * self._random.uniform(0.5, 1.5)
        try:
            async with asyncio.timeout_at(end):
                await asyncio.sleep(work)
        except TimeoutError:
            arrival.ended = "504"
            return _encode(504, signed, b"deadline")
        except asyncio.CancelledError:
            arrival.ended = "dropped while it ran"
            raise
        finally:
            self._free_slot()
        arrival.ended = "200"
        body = f"{self.service}/{self.leaf_id}/{request_id}".encode()
        return _encode(200, signed, body)

    async def _take_slot(self, end: float) -> None:
        if self._running < self.slots:
            self._running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout_at(end):
                await turn
        except BaseException:
            if turn.done() and not turn.cancelled():
                self._free_slot()
            with contextlib.suppress(ValueError):
                self._waiting.remove(turn)
            raise

    def _free_slot(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1


class _Connection(asyncio.Protocol):
    """Serves the requests of one connection in order."""

    def __init__(self, leaf: Leaf) -> None:
        self._leaf = leaf
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._messages: asyncio.Queue[Message] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._leaf.added(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        self._leaf.removed(self)
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while True:
            message, size = parse_request(self._buffer)
            if message is None:
                return
            self._buffer = self._buffer[size:]
            self._messages.put_nowait(message)

    async def _serve(self) -> None:
        assert self._transport is not None
        extra: bytes | None = None
        while True:
            message = await self._messages.get()
            if extra is not None:
                self._leaf.extra_answers += 1
                self._transport.write(extra)
                extra = None
            answer = await self._leaf.answer(message)
            self._transport.write(answer)
            if self._leaf.sends_extra():
                extra = answer


def parse_request(data: bytes) -> tuple[Message | None, int]:
    """Returns the first whole request in `data` and its size, or None."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None, 0
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    header_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        header_by_name[name.strip().lower()] = value.strip()
    length = int(header_by_name.get("content-length", "0"))
    if len(rest) < length:
        return None, 0
    return (
        Message(method, target, header_by_name, rest[:length]),
        len(head) + len(separator) + length,
    )


_REASON_BY_STATUS = {
    200: "OK",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _encode(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {_REASON_BY_STATUS[status]}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
