"""HTTP client of one leaf (leaf protocol, section 4.3 of docs/design.md)."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import json
import types
from typing import Any

import aiohttp

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import leafs
from sassafrashold import settings

_CONNECT_TIMEOUT_S = 0.5
_BEST_EFFORT_TIMEOUT_S = 0.5
_MAX_CLOCK_SKEW_S = leafs.MAX_CLOCK_SKEW.total_seconds()
_KEEPALIVE_TIMEOUT_S = 3600.0
# A faulty leaf may send a body without end.
_MAX_ANSWER_BYTES = 16 * 2**20
_HEADERS = {"Content-Type": "application/json"}
_CODE_BY_REFUSAL = {
    (409, "GENERATION_CHANGED"): errors.ErrorCode.LEAF_RESTARTED,
    (410, "VERSION_GONE"): errors.ErrorCode.VERSION_GONE,
    (503, "SHED"): errors.ErrorCode.LEAF_SHED,
    (503, "DRAINING"): errors.ErrorCode.DRAINING,
    (504, "EXPIRED"): errors.ErrorCode.DEADLINE_EXCEEDED,
}


@dataclasses.dataclass(frozen=True)
class Item:
    """One item of a query call."""

    item_id: str
    """Unique within the call."""

    shard: int
    """Shard to search."""

    query: bytes
    """JSON text; the caller must have validated it."""


@dataclasses.dataclass(frozen=True)
class QueryAnswer:
    """Answer to a query call."""

    generation: str
    """Changes when the leaf restarts."""

    rows_by_id: Mapping[str, bytes]
    """JSON rows by item id."""


@dataclasses.dataclass(frozen=True)
class DispatchAnswer:
    """Answer to a dispatch call."""

    generation: str
    """Changes when the leaf restarts."""

    result: bytes
    """JSON result."""


@dataclasses.dataclass(frozen=True)
class Health:
    """Health report of the leaf; a hint that may be outdated or wrong."""

    generation: str
    """Changes when the leaf restarts."""

    draining: bool
    """Whether the leaf reports that it drains."""


class LeafClient:
    """HTTP client of one leaf with a bounded number of connections."""

    def __init__(
        self,
        address: settings.Address,
        connections: int,
        clock: clock_lib.Clock,
        unproven_calls: int,
    ) -> None:
        """Initializes the client, which connects on the first call.

        Args:
            address: Listen address of the leaf.
            connections: Maximum number of connections, kept open between calls.
            clock: Source of wall time for the deadlines.
            unproven_calls: Maximum number of concurrent calls on unproven
                connections, that is ones that have not carried an answer yet.
                A restart of the leaf closes all connections, so this bounds the
                calls to a restarted leaf before its first answer shows that it
                is cold.
        """
        self._unproven_calls = asyncio.Semaphore(unproven_calls)
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_start.append(self._before_connect)
        tracing.on_request_end.append(self._after_request)
        tracing.on_request_exception.append(self._after_request)
        self._base_url = f"http://{address}/v1/"
        self._address = address
        self._clock = clock
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[tracing],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            auto_decompress=False,
        )
        # Health reports and cancellations share one connection at most, which
        # leaves the others to queries and dispatches.
        self._best_effort_lock = asyncio.Lock()

    async def query(
        self,
        request_id: str,
        service: str,
        index_version: str,
        items: Sequence[Item],
        deadline: datetime.datetime,
        traceparent: str | None = None,
        generation: str | None = None,
    ) -> QueryAnswer:
        """Searches shards of the leaf.

        Args:
            request_id: Unique id, with which the call can be cancelled.
            service: Service of the shards.
            index_version: Index version that the answer must come from.
            items: Shards and queries.
            deadline: Wall time at which the leaf stops; at most 2 s ahead.
            traceparent: W3C trace context; None to send none.
            generation: Generation that must run the call. A leaf that has
                restarted since refuses it, so that calls on their way can't
                exceed what a cold leaf bears. None for any generation.

        Raises:
            LeafError: NOT_RUN only if the leaf said so or nothing was sent.
                DEADLINE_EXCEEDED only when the leaf has stopped working on the
                call, at most 0.5 s after the deadline.
        """
        head = documents.dump(
            {
                "request_id": request_id,
                "service": service,
                "index_version": index_version,
                "deadline_unix_ms": clock_lib.to_unix_ms(deadline),
                **_generation_field(generation),
            }
        )
        parts = [
            b'{"id":%s,"shard":%d,"query":%s}'
            % (json.dumps(item.item_id).encode(), item.shard, item.query)
            for item in items
        ]
        body = head[:-1] + b',"items":[' + b",".join(parts) + b"]}"
        document = await self._post("query", body, deadline, traceparent)
        if document.get("index_version") != index_version:
            raise errors.LeafError(
                errors.ErrorCode.VERSION_MISMATCH,
                f"asked for {index_version!r}, the leaf answered from "
                f"{document.get('index_version')!r}",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            )
        return QueryAnswer(_generation(document), _rows(document))

    async def dispatch(
        self,
        idempotency_key: str,
        claim_id: str,
        body: bytes,
        deadline: datetime.datetime,
        traceparent: str | None = None,
        generation: str | None = None,
    ) -> DispatchAnswer:
        """Makes a non-idempotent call; the errors are those of `query`.

        Args:
            idempotency_key: Key of the caller.
            claim_id: Id of the claim on the key.
            body: JSON text.
            deadline: As in `query`.
            traceparent: As in `query`.
            generation: As in `query`.
        """
        head = documents.dump(
            {
                "idempotency_key": idempotency_key,
                "claim_id": claim_id,
                "deadline_unix_ms": clock_lib.to_unix_ms(deadline),
                **_generation_field(generation),
            }
        )
        content = head[:-1] + b',"body":' + body + b"}"
        document = await self._post("dispatch", content, deadline, traceparent)
        if "result" not in document:
            raise _failure_error("the answer has no result")
        return DispatchAnswer(
            _generation(document), documents.dump(document["result"])
        )

    async def cancel(self, request_id: str) -> bool:
        """Asks the leaf to stop a query call.

        Returns:
            Whether the leaf has confirmed that it is not working on the call:
            it has stopped the call or does not know it.
        """
        document = await self._best_effort_call(
            "DELETE", f"requests/{request_id}"
        )
        return document is not None and "cancelled" in document

    async def health(self) -> Health | None:
        """Returns the health report of the leaf; None if it gives none."""
        document = await self._best_effort_call("GET", "health")
        if document is None or "generation" not in document:
            return None
        return Health(
            str(document["generation"]), document.get("state") == "draining"
        )

    async def close(self) -> None:
        """Closes all connections; calls in flight fail."""
        await self._session.close()

    async def _before_connect(
        self, _session: Any, context: types.SimpleNamespace, _event: Any
    ) -> None:
        # A request that aiohttp resends on another connection already counts.
        if getattr(context, "unproven", False):
            return
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await self._unproven_calls.acquire()
        except TimeoutError as error:
            # Nothing was sent, so this must not be taken for a late answer,
            # whose outcome is unknown.
            raise aiohttp.ConnectionTimeoutError(
                f"{self._address} has not answered on its new connections"
            ) from error
        context.unproven = True

    async def _after_request(
        self, _session: Any, context: types.SimpleNamespace, _event: Any
    ) -> None:
        if getattr(context, "unproven", False):
            context.unproven = False
            self._unproven_calls.release()

    async def _best_effort_call(
        self, method: str, path: str
    ) -> dict[str, Any] | None:
        """Makes a best-effort call; returns None if it fails."""
        timeout = aiohttp.ClientTimeout(total=_BEST_EFFORT_TIMEOUT_S)
        async with self._best_effort_lock:
            try:
                async with self._session.request(
                    method, self._base_url + path, timeout=timeout
                ) as response:
                    if response.status != 200:
                        return None
                    document = json.loads(await _read(response))
            except (
                aiohttp.ClientError,
                TimeoutError,
                OSError,
                *documents.DECODING_ERRORS,
            ):
                return None
        return document if isinstance(document, dict) else None

    async def _post(
        self,
        path: str,
        body: bytes,
        deadline: datetime.datetime,
        traceparent: str | None,
    ) -> dict[str, Any]:
        remaining = (deadline - self._clock.now()).total_seconds()
        if remaining <= 0:
            raise errors.LeafError(
                errors.ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the leaf call was sent",
            )
        headers = _HEADERS
        if traceparent is not None:
            headers = {**_HEADERS, "traceparent": traceparent}
        # The leaf ends the call at the deadline by its own clock. After this
        # timeout it has certainly ended, so the slot is free.
        timeout = aiohttp.ClientTimeout(
            total=remaining + _MAX_CLOCK_SKEW_S,
            sock_connect=min(remaining, _CONNECT_TIMEOUT_S),
        )
        try:
            async with self._session.post(
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                status = response.status
                data = await _read(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._transport_error(error) from error
        document = _parse(data)
        if status != 200:
            raise _error_from_response(status, document)
        if document is None:
            raise _failure_error("the answer is not a JSON object")
        return document

    def _transport_error(self, error: Exception) -> errors.LeafError:
        """Converts a transport error of a call that got no answer."""
        match error:
            case (
                aiohttp.ClientConnectorError()
                | aiohttp.ConnectionTimeoutError()
            ):
                return errors.LeafError(
                    errors.ErrorCode.LEAF_UNREACHABLE,
                    f"cannot connect to {self._address}: {error}",
                )
            case TimeoutError():
                return errors.LeafError(
                    errors.ErrorCode.DEADLINE_EXCEEDED,
                    "the leaf did not answer in time",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                )
            case _:
                return errors.LeafError(
                    errors.ErrorCode.CONNECTION_LOST,
                    f"lost the connection to {self._address}: {error!r}",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                )


async def _read(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body of an answer.

    Raises:
        aiohttp.ClientPayloadError: It exceeds the limit.
    """
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            # Nothing more is read: the connection ends, and the leaf sees it.
            response.close()
            raise aiohttp.ClientPayloadError(
                f"answer exceeds {_MAX_ANSWER_BYTES} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _parse(data: bytes) -> dict[str, Any] | None:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _generation_field(generation: str | None) -> dict[str, str]:
    return {} if generation is None else {"generation": generation}


def _generation(document: dict[str, Any]) -> str:
    return str(document.get("generation", ""))


def _rows(document: dict[str, Any]) -> dict[str, bytes]:
    items = document.get("items")
    if not isinstance(items, list):
        raise _failure_error("the answer has no items")
    return {
        str(item.get("id")): documents.dump(item["rows"])
        for item in items
        if isinstance(item, dict) and isinstance(item.get("rows"), list)
    }


def _error_from_response(
    status: int, document: dict[str, Any] | None
) -> errors.LeafError:
    """Converts an answer with a status other than 200 to an error."""
    body = document or {}
    if isinstance(body.get("error"), dict):
        body = {"error": body["error"].get("code"), **body["error"]}
    name = body.get("error")
    code = _CODE_BY_REFUSAL.get((status, str(name)))
    if code is not None and body.get("ran") is False:
        retry_after = body.get("retry_after_ms")
        return errors.LeafError(
            code,
            f"the leaf refused the call: {name}",
            retry_after=(
                clock_lib.from_ms(retry_after)
                if isinstance(retry_after, int) and retry_after >= 0
                else None
            ),
        )
    if status == 504:
        return errors.LeafError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            "the leaf did not finish in time",
            ran=errors.Ran.OUTCOME_UNKNOWN,
        )
    return _failure_error(f"status {status}: {name}")


def _failure_error(message: str) -> errors.LeafError:
    return errors.LeafError(
        errors.ErrorCode.LEAF_FAILED,
        f"the leaf failed the call: {message}",
        ran=errors.Ran.OUTCOME_UNKNOWN,
    )
