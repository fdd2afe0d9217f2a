"""Strict checks of what callers send."""

from collections.abc import Collection
import dataclasses
import json
import re
from typing import Any
import uuid

from sassafrashold import errors
from sassafrashold import table as table_lib

MAX_BODY_BYTES = 1_000_000
DEADLINE_MAX_MS = 60_000
_IDENTIFIER = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_ATTEMPT = re.compile(r"^[1-9][0-9]{0,3}$")


@dataclasses.dataclass(frozen=True)
class SearchInput:
    """The checked body of a search."""

    query: bytes
    """The query as JSON with sorted keys, so that equal queries are equal."""

    deadline_ms: int
    """Time that the caller gives."""

    priority_class: str
    """Class of the request."""

    allow_partial: bool
    """Whether an answer may lack shards."""

    stream: bool
    """Whether the caller wants NDJSON."""


@dataclasses.dataclass(frozen=True)
class DispatchInput:
    """The checked body of a dispatch."""

    body: bytes
    """What is sent to the leaf, as JSON."""

    deadline_ms: int
    """Time that the caller gives."""


def request_id(header: str | None) -> str:
    """Returns the caller's request id, or a new one.

    Raises:
        SassafrasError: BAD_REQUEST, the header is malformed.
    """
    if header is None:
        return uuid.uuid4().hex
    if not _IDENTIFIER.match(header):
        raise bad_request(
            "X-Request-Id", "expected 1 to 128 letters, digits and . _ : -"
        )
    return header


def is_first_attempt(header: str | None) -> bool:
    """Returns whether the caller states that a key was never sent before.

    Raises:
        SassafrasError: BAD_REQUEST, the header is malformed.
    """
    if header is not None and not _ATTEMPT.match(header):
        raise bad_request(
            "Idempotency-Attempt", "expected a whole number from 1 to 9999"
        )
    return header == "1"


def service_row(
    table: table_lib.Table, service: str, kind: table_lib.Kind
) -> table_lib.ServiceRow:
    """Returns the row of a service that takes requests of a kind.

    Raises:
        SassafrasError: UNKNOWN_SERVICE.
    """
    row = table.row_by_service.get(service)
    if row is None:
        raise errors.SearchError(
            errors.ErrorCode.UNKNOWN_SERVICE,
            f"no service {service!r} in table revision {table.revision}",
            field="service",
        )
    if row.kind not in (kind, table_lib.Kind.BOTH):
        raise errors.SearchError(
            errors.ErrorCode.UNKNOWN_SERVICE,
            f"service {service!r} takes {row.kind.value} requests only",
            field="service",
        )
    return row


def search(
    data: bytes, row: table_lib.ServiceRow, classes: Collection[str]
) -> SearchInput:
    """Checks the body of a search.

    Args:
        data: The body.
        row: Row of the service, for the defaults.
        classes: Priority classes of the table.

    Raises:
        SassafrasError: BAD_REQUEST or UNKNOWN_FIELD, with the field.
    """
    body = _object(data)
    _check_known(
        body,
        ("query", "deadline_ms", "priority_class", "allow_partial", "stream"),
    )
    priority_class = body.get("priority_class", row.priority_class)
    if not isinstance(priority_class, str) or priority_class not in classes:
        raise bad_request(
            "priority_class", "expected one of " + ", ".join(sorted(classes))
        )
    return SearchInput(
        _required_json(body, "query"),
        _deadline_ms(body, row),
        priority_class,
        _flag(body, "allow_partial", row.allow_partial),
        _flag(body, "stream", False),
    )


def dispatch(data: bytes, row: table_lib.ServiceRow) -> DispatchInput:
    """Checks the body of a dispatch.

    Raises:
        SassafrasError: BAD_REQUEST or UNKNOWN_FIELD, with the field.
    """
    body = _object(data)
    _check_known(body, ("body", "deadline_ms"))
    return DispatchInput(_required_json(body, "body"), _deadline_ms(body, row))


def bad_request(field: str, message: str) -> errors.SassafrasError:
    """Returns the error for an input that is not allowed."""
    return errors.SassafrasError(
        errors.ErrorCode.BAD_REQUEST, f"{field}: {message}", field=field
    )


def _object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(
            data,
            parse_constant=_reject_constant,
            object_pairs_hook=_unique,
        )
    except (ValueError, RecursionError) as error:
        raise bad_request("body", f"not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise bad_request("body", "expected a JSON object")
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("an object has the same key twice")
    return value


def _check_known(body: dict[str, Any], known: tuple[str, ...]) -> None:
    for name in body:
        if name not in known:
            raise errors.SassafrasError(
                errors.ErrorCode.UNKNOWN_FIELD,
                f"unknown field {name!r}; known are " + ", ".join(known),
                field=name,
            )


def _required_json(body: dict[str, Any], name: str) -> bytes:
    if name not in body:
        raise bad_request(name, "missing; expected any JSON value")
    try:
        text = json.dumps(body[name], separators=(",", ":"), sort_keys=True)
    except (ValueError, RecursionError) as error:
        raise bad_request(name, f"cannot be sent on: {error}") from error
    return text.encode()


def _deadline_ms(body: dict[str, Any], row: table_lib.ServiceRow) -> int:
    value = body.get("deadline_ms", row.deadline_ms)
    wrong_type = not isinstance(value, int) or isinstance(value, bool)
    if wrong_type or not 1 <= value <= DEADLINE_MAX_MS:
        raise bad_request(
            "deadline_ms",
            f"expected a whole number from 1 to {DEADLINE_MAX_MS}",
        )
    return int(value)


def _flag(body: dict[str, Any], name: str, default: bool) -> bool:
    value = body.get(name, default)
    if not isinstance(value, bool):
        raise bad_request(name, "expected true or false")
    return value
