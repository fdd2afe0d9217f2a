"""Messages between a host and the one that gathers for it."""

import dataclasses
import datetime
import json
from typing import Any

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import errors

# Header names and values, and bodies of callers, are arbitrary bytes.
_BYTES_ENCODING = "latin-1"


@dataclasses.dataclass(frozen=True)
class AggregationRequest:
    """A query that another host is to gather."""

    request: calls.ClientRequest
    """Request of the caller; its time counts from its arrival."""

    configuration_version: int
    """Version of the configuration that must be in force at both hosts."""

    elapsed: datetime.timedelta
    """Time since the request arrived, with the way of both messages."""


@dataclasses.dataclass(frozen=True)
class AggregationReply:
    """The merged answer to a query."""

    status: int
    """HTTP status of the answer to the caller."""

    headers: tuple[tuple[str, str], ...]
    """End-to-end headers."""

    missing: tuple[str, ...]
    """Services whose shards are missing."""

    cause: str | None
    """Why the request was not served; None if it was."""

    not_run: bool
    """Whether no leaf has got the request."""

    body: bytes
    """The whole body."""


def encode_request(message: AggregationRequest) -> bytes:
    """Encodes a request as JSON."""
    request = message.request
    return _to_json(
        {
            "id": request.request_id,
            "method": request.method,
            "target": request.target,
            "path": request.path,
            "host": request.host,
            "time_left_ms": _optional_ms(request.time_left),
            "headers": [
                [name.decode(_BYTES_ENCODING), value.decode(_BYTES_ENCODING)]
                for name, value in request.forwarded_headers
            ],
            "body": request.body.decode(_BYTES_ENCODING),
            "version": message.configuration_version,
            "elapsed_us": message.elapsed // datetime.timedelta(microseconds=1),
        }
    )


def decode_request(data: bytes) -> AggregationRequest:
    """Decodes a request.

    Raises:
        DocumentError: The data is not an encoded request.
    """
    try:
        document = json.loads(data)
        request_id = document["id"]
        time_left_ms = document["time_left_ms"]
        return AggregationRequest(
            calls.ClientRequest(
                request_id=None if request_id is None else str(request_id),
                method=str(document["method"]),
                target=str(document["target"]),
                path=str(document["path"]),
                host=str(document["host"]),
                time_left=(
                    None
                    if time_left_ms is None
                    else datetime.timedelta(milliseconds=float(time_left_ms))
                ),
                forwarded_headers=tuple(
                    (
                        name.encode(_BYTES_ENCODING),
                        value.encode(_BYTES_ENCODING),
                    )
                    for name, value in document["headers"]
                ),
                body=document["body"].encode(_BYTES_ENCODING),
            ),
            int(document["version"]),
            datetime.timedelta(microseconds=int(document["elapsed_us"])),
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise _invalid("aggregation request", error) from error


def encode_reply(reply: AggregationReply) -> bytes:
    """Encodes a reply as a line of JSON, followed by the body."""
    head = _to_json(
        {
            "status": reply.status,
            "headers": reply.headers,
            "missing": reply.missing,
            "cause": reply.cause,
            "not_run": reply.not_run,
            "body_bytes": len(reply.body),
        }
    )
    return head + b"\n" + reply.body


def decode_reply(data: bytes) -> AggregationReply:
    """Decodes a reply.

    Raises:
        DocumentError: The data is not a complete encoded reply.
    """
    head, _, body = data.partition(b"\n")
    try:
        document = json.loads(head)
        if document["body_bytes"] != len(body):
            raise ValueError(
                f"{len(body)} of {document['body_bytes']} body bytes"
            )
        cause = document["cause"]
        return AggregationReply(
            int(document["status"]),
            tuple((str(name), str(text)) for name, text in document["headers"]),
            tuple(str(service) for service in document["missing"]),
            None if cause is None else str(cause),
            bool(document["not_run"]),
            body,
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise _invalid("aggregation reply", error) from error


def _invalid(kind: str, error: Exception) -> errors.DocumentError:
    return errors.DocumentError(
        errors.ErrorCode.BAD_DOCUMENT, f"{kind}: {error!r}"
    )


def _optional_ms(duration: datetime.timedelta | None) -> float | None:
    return None if duration is None else clock_lib.to_ms(duration)


def _to_json(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
