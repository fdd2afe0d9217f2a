"""The HTTP side of a stand-in leaf (protocol: docs/design.md, 4.3)."""

import asyncio
import collections
import dataclasses
import json
from typing import Any

from aiohttp import web

from sassafrashold import documents
from sassafrashold import errors
from sassafrashold.standins import _leaf

_KEEPALIVE_S = 3600.0
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, eq=False)
class _Waiter:
    """A call that waits for a slot."""

    request: _leaf.Request
    """What it asks for."""

    turn: asyncio.Future[_leaf.Call]
    """Gets the started call."""


class _ConnectionLimit(web.Server):
    """Closes connections beyond the limit and dates new ones."""

    def __init__(self, leaf: _leaf.Leaf, handler: Any) -> None:
        super().__init__(
            handler, keepalive_timeout=_KEEPALIVE_S, access_log=None
        )
        self._leaf = leaf
        self.ready_ms_by_connection: dict[Any, float] = {}

    def connection_made(
        self, handler: Any, transport: asyncio.Transport
    ) -> None:
        """Admits a connection or closes it."""
        super().connection_made(handler, transport)
        profile = self._leaf.profile
        if self._leaf.faults.unreachable:
            transport.abort()
            return
        self._leaf.count("connections")
        if len(self.ready_ms_by_connection) >= profile.connections:
            self._leaf.count("refused_connections")
            transport.abort()
            return
        self.ready_ms_by_connection[handler] = (
            self._leaf.now_ms + profile.connect_ms
        )

    def connection_lost(
        self, handler: Any, exc: BaseException | None = None
    ) -> None:
        """Forgets a connection."""
        super().connection_lost(handler, exc)
        self.ready_ms_by_connection.pop(handler, None)

    def abort_all(self) -> None:
        """Resets every connection."""
        for handler in list(self.ready_ms_by_connection):
            if handler.transport is not None:
                handler.transport.abort()


class LeafServer:
    """Serves one leaf at its own address."""

    def __init__(self, leaf: _leaf.Leaf) -> None:
        self.leaf = leaf
        self._connections = _ConnectionLimit(leaf, self._handle)
        self._server: asyncio.Server | None = None
        self._waiting: collections.deque[_Waiter] = collections.deque()
        self._tasks_by_request: dict[str, set[asyncio.Task[Any]]] = (
            collections.defaultdict(set)
        )

    async def start(self) -> None:
        """Listens at the leaf's address."""
        address = self.leaf.leaf.address
        self._server = await asyncio.get_running_loop().create_server(
            self._connections, address.ip, address.port, backlog=_BACKLOG
        )

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        await self._connections.shutdown(0)

    async def restart(self, down_s: float) -> None:
        """Acts like a restarted process: lost calls, then a cold start."""
        if self._server is not None:
            self._server.close()
        for tasks in list(self._tasks_by_request.values()):
            for task in tasks:
                task.cancel()
        self._connections.abort_all()
        await asyncio.sleep(down_s)
        self.leaf.turn_cold()
        await self.start()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        ready_ms = self._connections.ready_ms_by_connection.get(
            request.protocol
        )
        if ready_ms is not None and ready_ms > self.leaf.now_ms:
            await asyncio.sleep((ready_ms - self.leaf.now_ms) / 1000)
        match request.method, request.path:
            case "POST", "/v1/query":
                return await self._post(request, "query")
            case "POST", "/v1/dispatch":
                return await self._post(request, "dispatch")
            case "DELETE", path if path.startswith("/v1/requests/"):
                return await self._cancel(path.removeprefix("/v1/requests/"))
            case "GET", "/v1/health":
                return _json(200, self.leaf.health())
        return _json(404, {"error": "NOT_FOUND", "ran": False})

    async def _post(
        self, request: web.BaseRequest, kind: str
    ) -> web.StreamResponse:
        try:
            document = documents.parse("body", await request.read())
            parsed = _parse(document, kind, self.leaf.service)
        except errors.DocumentError as error:
            return _json(
                400,
                {"error": "BAD_REQUEST", "message": str(error), "ran": False},
            )
        refusal = self.leaf.arrive(parsed)
        if refusal is not None:
            return _refused(refusal)
        # The slot is taken before anything else can run, so that calls which
        # arrive together do not see the same free slot.
        free = self.leaf.running < self.leaf.profile.slots
        call = self.leaf.start(parsed) if free else None
        # The work has its own task, so that a cancellation ends the work and
        # not the connection that carries the answer.
        work = asyncio.create_task(self._work(parsed, document, call))
        if call is not None:
            # A task that is cancelled before its first step runs no code.
            work.add_done_callback(lambda _: self._release(call))
        tasks = self._tasks_by_request[parsed.request_id]
        tasks.add(work)
        try:
            return await self._answer(request, work)
        finally:
            tasks.discard(work)
            if not tasks:
                self._tasks_by_request.pop(parsed.request_id, None)

    async def _answer(
        self,
        request: web.BaseRequest,
        work: asyncio.Task[web.StreamResponse | None],
    ) -> web.StreamResponse:
        await asyncio.wait([work])
        if work.cancelled():
            return _json(499, {"error": "CANCELLED"})
        response = work.result()
        if response is None:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        return response

    async def _work(
        self,
        parsed: _leaf.Request,
        document: dict[str, Any],
        call: _leaf.Call | None,
    ) -> web.StreamResponse | None:
        """Runs a call; None means that the connection has to be closed."""
        if call is None:
            call = await self._wait_for_slot(parsed)
        if call is None:
            return _refused(_leaf.Refusal(504, "EXPIRED"))
        outcome = _leaf.Outcome.CANCELLED
        try:
            outcome = await self._run(call)
        finally:
            self.leaf.finish(call, outcome)
            self._wake_next()
        match outcome:
            case _leaf.Outcome.OK:
                return _json(200, self._result(call, document))
            case _leaf.Outcome.TIMED_OUT:
                return _json(504, {"error": "TIMED_OUT"})
            case _leaf.Outcome.LOST:
                return None
        return _json(500, {"error": "FAILED"})

    def _release(self, call: _leaf.Call) -> None:
        """Frees the slot of a call that has not ended by itself."""
        if call.end_ms is None:
            self.leaf.finish(call, _leaf.Outcome.CANCELLED)
            self._wake_next()

    async def _run(self, call: _leaf.Call) -> _leaf.Outcome:
        """Spends the service time of a call, at most up to its deadline."""
        remaining = self.leaf.remaining(call.request).total_seconds()
        duration = self.leaf.draw_service_time(call).total_seconds()
        if self.leaf.faults.hang or duration > remaining:
            await asyncio.sleep(max(0.0, remaining))
            return _leaf.Outcome.TIMED_OUT
        await asyncio.sleep(duration)
        return self.leaf.draw_outcome()

    async def _wait_for_slot(self, parsed: _leaf.Request) -> _leaf.Call | None:
        """Waits in arrival order; None if the deadline comes first."""
        waiter = _Waiter(parsed, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(
                self.leaf.remaining(parsed).total_seconds()
            ):
                return await waiter.turn
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            elif waiter.turn.done() and not waiter.turn.cancelled():
                self.leaf.finish(waiter.turn.result(), _leaf.Outcome.CANCELLED)
                self._wake_next()
            if isinstance(error, asyncio.CancelledError):
                raise
            return None

    def _wake_next(self) -> None:
        """Gives the free slot to the call that waits longest."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.turn.done():
                waiter.turn.set_result(self.leaf.start(waiter.request))
                return

    async def _cancel(self, request_id: str) -> web.StreamResponse:
        """Ends all work of a request before it answers."""
        tasks = list(self._tasks_by_request.get(request_id, ()))
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        return _json(200, {"cancelled": len(tasks)})

    def _result(
        self, call: _leaf.Call, document: dict[str, Any]
    ) -> dict[str, Any]:
        generation = self.leaf.announce()
        if call.request.kind == "dispatch":
            return {
                "result": {
                    "leaf": self.leaf.leaf.leaf_id,
                    "idempotency_key": call.request.idempotency_key,
                    "body": document.get("body"),
                },
                "generation": generation,
            }
        version = str(call.request.version)
        claimed = self.leaf.faults.answered_version or version
        return {
            "index_version": claimed,
            "generation": generation,
            "items": [
                {
                    "id": item["id"],
                    "rows": self.leaf.rows(
                        item["shard"], claimed, item.get("query")
                    ),
                }
                for item in document["items"]
            ],
        }


def _parse(document: dict[str, Any], kind: str, service: str) -> _leaf.Request:
    """Parses the body of a call.

    Raises:
        DocumentError: A field is missing or of another type.
    """
    deadline = documents.get("body", document, "deadline_unix_ms", int)
    generation = document.get("generation")
    if generation is not None and not isinstance(generation, str):
        raise documents.invalid("body", "generation: expected text")
    if kind == "dispatch":
        return _leaf.Request(
            documents.get("body", document, "claim_id", str),
            kind,
            service,
            None,
            (),
            documents.get("body", document, "idempotency_key", str),
            deadline,
            generation=generation,
        )
    items = documents.get("body", document, "items", list)
    if not items or not all(isinstance(item, dict) for item in items):
        raise documents.invalid("body", "items: expected objects")
    return _leaf.Request(
        documents.get("body", document, "request_id", str),
        kind,
        documents.get("body", document, "service", str),
        documents.get("body", document, "index_version", str),
        tuple(documents.get("items", item, "shard", int) for item in items),
        None,
        deadline,
        tuple(str(item.get("id")) for item in items),
        generation,
    )


def _refused(refusal: _leaf.Refusal) -> web.Response:
    return _json(refusal.status, refusal.body())


def _json(status: int, value: Any) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(value, separators=(",", ":")).encode(),
        content_type="application/json",
    )
