"""Requests and answers as callers and leafs of the platform send them."""

from collections.abc import Sequence
import datetime
import functools
import math

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import directory

READINESS_PATH = "/readiness"
_REQUEST_ID = "Request-Id"
_DEADLINE = "Deadline-Ms"
_EXPECT_LEAF = "Expect-Instance"
_SIGNATURE = "Server-Stamp"
_NOT_RUN = "Not-Executed"
_RETRY_AFTER = "Retry-After"
_PART_STAMPS = "Part-Stamps"
_MISSING_PARTS = "Missing-Parts"
_WRONG_LEAF_STATUS = 421
# Idle connections are not kept for longer, whatever a leaf announces.
_MAX_KEEP_ALIVE = datetime.timedelta(hours=1)
_MAX_DIGITS = 9
# Hop-by-hop headers, and headers that the system sets itself.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        _DEADLINE.lower().encode(),
        _EXPECT_LEAF.lower().encode(),
    }
)
_NOT_RETURNED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"date",
        b"server",
    }
)

_REQUEST_ID_KEY = _REQUEST_ID.lower().encode()
_DEADLINE_KEY = _DEADLINE.lower().encode()
_SIGNATURE_KEY = _SIGNATURE.lower().encode()
_NOT_RUN_KEY = _NOT_RUN.lower().encode()

RawHeaders = Sequence[tuple[bytes, bytes]]


def client_request(
    method: str, target: str, headers: RawHeaders, body: bytes
) -> calls.ClientRequest:
    """Decodes a request of a caller.

    Args:
        method: HTTP method.
        target: Request target as sent.
        headers: Header names and values as sent.
        body: The whole body.
    """
    value_by_name = {name.lower(): value for name, value in headers}
    connection_options = (
        value_by_name.get(b"connection", b"").lower().split(b",")
    )
    hop_by_hop_names = {item.strip() for item in connection_options}
    return calls.ClientRequest(
        request_id=_decode_text(value_by_name.get(_REQUEST_ID_KEY)),
        method=method,
        target=target,
        path=target.partition("?")[0],
        host=_decode_text(value_by_name.get(b"host")) or "",
        time_left=_parse_milliseconds(
            _decode_text(value_by_name.get(_DEADLINE_KEY))
        ),
        forwarded_headers=tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in _NOT_FORWARDED
            and name.lower() not in hop_by_hop_names
        ),
        body=body,
    )


def leaf_request(
    request: calls.ClientRequest,
    leaf: directory.LeafEntry,
    time_left: datetime.timedelta,
) -> bytes:
    """Encodes a request for a leaf.

    Args:
        request: Request of the caller; method, target and body stay as sent.
        leaf: The only leaf that may run it.
        time_left: How long the caller still waits.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1".encode(
            "utf-8", "surrogateescape"
        )
    ]
    lines.extend(
        name + b": " + value for name, value in request.forwarded_headers
    )
    milliseconds = max(clock_lib.to_ms(time_left), 1)
    lines.append(f"{_DEADLINE}: {milliseconds}".encode())
    lines.append(f"{_EXPECT_LEAF}: {leaf.ref.leaf_id}".encode())
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def carries_request_id(
    headers: Sequence[tuple[bytes, bytes]], request_id: str | None
) -> bool:
    """Returns whether an answer of a leaf names the request.

    An answer without an id might belong to another request, so it is refused.
    """
    if request_id is None:
        return True
    for name, value in headers:
        if name.lower() == _REQUEST_ID_KEY:
            return value.strip() == request_id.encode(
                "utf-8", "surrogateescape"
            )
    return False


def leaf_answer(
    status: int, headers: RawHeaders, body: bytes
) -> calls.CallResult:
    """Decodes a complete answer of a leaf.

    Args:
        status: HTTP status.
        headers: Header names and values as sent.
        body: The whole body.
    """
    value_by_name = {name.lower(): value for name, value in headers}
    encoding = value_by_name.get(b"content-encoding", b"identity")
    answer = calls.LeafAnswer(
        status=status,
        headers=functools.partial(_returned_headers, headers),
        body=body,
        signature=_decode_signature(value_by_name.get(_SIGNATURE_KEY)),
        not_run=_NOT_RUN_KEY in value_by_name,
        encoded=encoding.strip().lower() != b"identity",
    )
    if status == _WRONG_LEAF_STATUS:
        return calls.Failed(calls.FailureKind.WRONG_LEAF, answer)
    if answer.not_run:
        return calls.Failed(calls.FailureKind.REJECTED, answer)
    if answer.succeeded:
        return calls.Answered(answer)
    if 200 <= status < 300:
        return calls.Failed(
            calls.FailureKind.LOST, None, "success without signature"
        )
    return calls.Failed(calls.FailureKind.ERROR, answer)


def _returned_headers(headers: RawHeaders) -> tuple[tuple[str, str], ...]:
    return tuple(
        (_decode_text(name) or "", _decode_text(value) or "")
        for name, value in headers
        if name.lower() not in _NOT_RETURNED
    )


def gather_headers(signatures: Sequence[str], missing: int) -> dict[str, str]:
    """Returns the headers of a merged answer.

    Args:
        signatures: Signatures of the parts received.
        missing: Number of shards whose part is missing.
    """
    return {_PART_STAMPS: ", ".join(signatures), _MISSING_PARTS: str(missing)}


def retry_after(delay: datetime.timedelta) -> dict[str, str]:
    """Returns the header that tells a caller when to come back."""
    return {_RETRY_AFTER: f"{delay.total_seconds():.2f}"}


def keep_alive_timeout(headers: RawHeaders) -> datetime.timedelta | None:
    """Returns how long a leaf keeps an idle connection, if it says so."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for item in (_decode_text(value) or "").split(","):
            key, _, number = item.strip().partition("=")
            if key.lower() == "timeout" and number.isdecimal():
                return min(
                    datetime.timedelta(seconds=int(number[:_MAX_DIGITS])),
                    _MAX_KEEP_ALIVE,
                )
    return None


def _decode_text(value: bytes | None) -> str | None:
    if value is None:
        return None
    return value.decode("utf-8", "surrogateescape").strip()


def _decode_signature(value: bytes | None) -> str | None:
    text = _decode_text(value)
    return text if text is not None and calls.is_signature(text) else None


def _parse_milliseconds(text: str | None) -> datetime.timedelta | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    if not math.isfinite(value) or not 0 <= value < 1e9:
        return None
    return datetime.timedelta(milliseconds=value)
