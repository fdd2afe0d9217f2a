"""Checked access to the fields of stored JSON documents."""

import json
from typing import Any
from typing import TypeVar

from sassafrashold import errors

_ValueT = TypeVar("_ValueT")
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What reading the fields of a malformed JSON document may raise."""


def parse(key: str, data: bytes) -> dict[str, Any]:
    """Parses a stored document.

    Args:
        key: Key of the stored object, for error messages.
        data: UTF-8 JSON whose top-level value is an object.

    Raises:
        DocumentError: The data is not JSON, or its top-level value is not an
            object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise invalid(key, str(error)) from error
    if not isinstance(value, dict):
        raise invalid(key, "expected a JSON object")
    return value


def dump(value: Any) -> bytes:
    """Returns compact UTF-8 JSON."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode()


def get(
    key: str, document: dict[str, Any], name: str, kind: type[_ValueT]
) -> _ValueT:
    """Returns a field of a document after checking its type.

    Raises:
        DocumentError: The field is missing or of another type.
    """
    value = document.get(name)
    is_unexpected_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_unexpected_bool:
        raise invalid(key, f"{name}: expected {kind.__name__}")
    return value


def invalid(key: str, message: str) -> errors.DocumentError:
    """Returns the error for an unreadable document."""
    return errors.DocumentError(
        errors.ErrorCode.BAD_DOCUMENT, f"{key}: {message}"
    )
