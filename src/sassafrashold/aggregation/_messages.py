"""Messages between a host and the one that gathers for it."""

from collections.abc import Mapping
import dataclasses
import datetime
import json
from typing import Any

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import documents

# Header names and values, and bodies of callers, are arbitrary bytes.
_BYTES_ENCODING = "latin-1"
_MAX_RECORD_BYTES = 2**20


@dataclasses.dataclass(frozen=True)
class AggregationRequest:
    """A query that another host is to gather."""

    request: calls.ClientRequest
    """Request of the caller; its time counts from its arrival."""

    configuration_version: int
    """Version of the configuration that must be in force at both hosts."""

    elapsed: datetime.timedelta
    """Time since the request arrived, with the way of both messages."""

    shards: tuple[int, ...]
    """Indices of the shards to gather, in the order of the configuration."""

    max_missing: int
    """Number of these shards that the answer may leave out."""


@dataclasses.dataclass(frozen=True)
class MergedParts:
    """Parts of an answer that came in together, merged.

    A reply is a series of these. The first one is sent once all shards have
    answered, or when the answer is due; later ones hold only later parts.
    """

    signature_by_shard: Mapping[int, str]
    """Signatures of the parts, by index of the shard."""

    records: bytes
    """The greatest records of these parts, in descending order."""

    final: bool
    """Whether no further parts follow."""

    sent: bool
    """Whether a leaf may have run the request."""


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
            "shards": message.shards,
            "max_missing": message.max_missing,
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
            tuple(_index(shard) for shard in document["shards"]),
            int(document["max_missing"]),
        )
    except documents.DECODING_ERRORS as error:
        raise documents.invalid("aggregation request", repr(error)) from error


def encode_parts(parts: MergedParts) -> bytes:
    """Encodes parts as a line of JSON, followed by the records."""
    head = _to_json(
        {
            "parts": list(parts.signature_by_shard.items()),
            "final": parts.final,
            "sent": parts.sent,
            "record_bytes": len(parts.records),
        }
    )
    return head + b"\n" + parts.records


def decode_parts_head(line: bytes) -> tuple[MergedParts, int]:
    """Decodes the line before the records.

    Returns:
        The parts without their records, and the size of these in bytes.

    Raises:
        DocumentError: The line is not complete or not such a line.
    """
    try:
        if not line.endswith(b"\n"):
            raise ValueError("line not complete")
        document = json.loads(line)
        signature_by_shard = {
            _index(shard): _signature(signature)
            for shard, signature in document["parts"]
        }
        if len(signature_by_shard) != len(document["parts"]):
            raise ValueError("shard listed twice")
        record_bytes = _index(document["record_bytes"])
        if record_bytes > _MAX_RECORD_BYTES:
            raise ValueError(f"{record_bytes} bytes of records")
        return (
            MergedParts(
                signature_by_shard,
                b"",
                _boolean(document["final"]),
                _boolean(document["sent"]),
            ),
            record_bytes,
        )
    except documents.DECODING_ERRORS as error:
        raise documents.invalid("merged parts", repr(error)) from error


def _index(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not an index")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _signature(value: Any) -> str:
    text = _text(value)
    if not calls.is_signature(text):
        raise ValueError(f"{value!r} is not a signature")
    return text


def _boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not a boolean")
    return value


def _optional_ms(duration: datetime.timedelta | None) -> float | None:
    return None if duration is None else clock_lib.to_ms(duration)


def _to_json(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
