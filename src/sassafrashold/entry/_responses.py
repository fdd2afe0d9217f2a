"""The forms of answers and refusals."""

from collections.abc import Iterable
import json
import math
from typing import Any

from aiohttp import web

from sassafrashold import clock
from sassafrashold import errors
from sassafrashold import search

REQUEST_ID_HEADER = "X-Request-Id"
TRACEPARENT_HEADER = "traceparent"
_INTERNAL_STATUS = 500

_STATUS_BY_CODE = {
    errors.ErrorCode.BAD_REQUEST: 400,
    errors.ErrorCode.UNKNOWN_FIELD: 400,
    errors.ErrorCode.KEY_MISSING: 400,
    errors.ErrorCode.UNKNOWN_SERVICE: 404,
    errors.ErrorCode.UNKNOWN_METHOD: 404,
    errors.ErrorCode.UNKNOWN_REQUEST: 404,
    errors.ErrorCode.KEY_REUSED: 409,
    errors.ErrorCode.BODY_TOO_LARGE: 413,
    errors.ErrorCode.OVERLOADED: 429,
    errors.ErrorCode.CANCELLED: 499,
    errors.ErrorCode.OUTCOME_UNKNOWN: 502,
    errors.ErrorCode.LEAF_FAILED: 502,
    errors.ErrorCode.CONNECTION_LOST: 502,
    errors.ErrorCode.DEADLINE_TOO_SHORT: 503,
    errors.ErrorCode.NOT_READY: 503,
    errors.ErrorCode.DRAINING: 503,
    errors.ErrorCode.UNAVAILABLE: 503,
    errors.ErrorCode.NO_FULL_VERSION: 503,
    errors.ErrorCode.PARTIAL_NOT_ALLOWED: 503,
    errors.ErrorCode.STORE_UNAVAILABLE: 503,
    errors.ErrorCode.STORE_AMBIGUOUS: 503,
    errors.ErrorCode.LEAF_SHED: 503,
    errors.ErrorCode.LEAF_BUSY: 503,
    errors.ErrorCode.LEAF_RESTARTED: 503,
    errors.ErrorCode.LEAF_UNREACHABLE: 503,
    errors.ErrorCode.NOT_OWNER: 503,
    errors.ErrorCode.NO_ENTITLEMENT: 503,
    errors.ErrorCode.ZONE_OUT: 503,
    errors.ErrorCode.HOST_OUT: 503,
    errors.ErrorCode.LEAVING: 503,
    errors.ErrorCode.DEADLINE_EXCEEDED: 504,
}


def headers(request_id: str, traceparent: str | None) -> dict[str, str]:
    """Returns the headers by which a caller can find its request again."""
    values = {REQUEST_ID_HEADER: request_id}
    if traceparent is not None:
        values[TRACEPARENT_HEADER] = traceparent
    return values


def refusal(
    error: errors.SassafrasError,
    request_id: str,
    status: int | None = None,
    traceparent: str | None = None,
) -> web.Response:
    """Returns the response for an error.

    Args:
        error: The error.
        request_id: Id that the caller sees.
        status: HTTP status; by default that of the code.
        traceparent: W3C trace context of the request.
    """
    fields = headers(request_id, traceparent)
    if error.retry_after is not None:
        seconds = math.ceil(error.retry_after.total_seconds())
        fields["Retry-After"] = str(seconds)
    return web.Response(
        status=status or _STATUS_BY_CODE.get(error.code, _INTERNAL_STATUS),
        body=_dump({"request_id": request_id, **error_document(error)}),
        content_type="application/json",
        headers=fields,
    )


def error_document(error: errors.SassafrasError) -> dict[str, Any]:
    """Returns the JSON form of an error."""
    value: dict[str, Any] = {
        "code": error.code.value,
        "message": error.message,
        "ran": error.ran.value,
    }
    if error.field is not None:
        value["field"] = error.field
    if error.retry_after is not None:
        value["retry_after_ms"] = max(1, clock.to_ms(error.retry_after))
    return {"error": value}


def answer(
    answer: search.SearchAnswer, request_id: str, traceparent: str
) -> web.Response:
    """Returns the response for a search."""
    head = _dump(_coverage(answer, request_id))
    body = b"".join((head[:-1], b',"rows":[', _join(answer.rows), b"]}"))
    return web.Response(
        body=body,
        content_type="application/json",
        headers=headers(request_id, traceparent),
    )


def shard_line(rows: search.ShardRows) -> bytes:
    """Returns the NDJSON line of one shard."""
    head = _dump({"shard": rows.shard, "index_version": rows.version})
    # A line break in JSON is white space, but would split the line.
    body = rows.rows.replace(b"\n", b" ")
    return b"".join((head[:-1], b',"rows":', body, b"}\n"))


def last_line(answer: search.SearchAnswer, request_id: str) -> bytes:
    """Returns the NDJSON line that completes a streamed answer."""
    return _dump(_coverage(answer, request_id)) + b"\n"


def error_line(error: errors.SassafrasError, request_id: str) -> bytes:
    """Returns the NDJSON line of a search that failed after its start."""
    return _dump({"request_id": request_id, **error_document(error)}) + b"\n"


def dispatched(
    result: bytes, replayed: bool, request_id: str, traceparent: str
) -> web.Response:
    """Returns the response for a dispatch."""
    return web.Response(
        body=_dump(
            {
                "request_id": request_id,
                "result": _parsed(result),
                "replayed": replayed,
            }
        ),
        content_type="application/json",
        headers=headers(request_id, traceparent),
    )


def text(lines: Iterable[str]) -> web.Response:
    """Returns a plain text response."""
    return web.Response(text="".join(f"{line}\n" for line in lines))


def document(value: Any, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        status=status, body=_dump(value), content_type="application/json"
    )


def _coverage(answer: search.SearchAnswer, request_id: str) -> dict[str, Any]:
    coverage = answer.coverage
    return {
        "request_id": request_id,
        "index_version": answer.version,
        "shards_asked": coverage.shards_asked,
        "shards_answered": coverage.shards_answered,
        "partial": coverage.partial,
        "missing_shards": coverage.missing_shards,
    }


def _join(arrays: Iterable[bytes]) -> bytes:
    """Returns the items of JSON arrays, without parsing them."""
    items = (array[1:-1].strip() for array in arrays)
    return b",".join(item for item in items if item)


def _dump(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _parsed(result: bytes) -> Any:
    """Returns a JSON result as a value, and any other as a text."""
    try:
        return json.loads(result)
    except (ValueError, RecursionError):
        return result.decode(errors="replace")
