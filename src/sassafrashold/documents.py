"""Checked access to the fields of stored JSON documents."""

from collections.abc import Iterator
import json
import re
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
# Python's parser and encoder fail at a depth of about 1,000, less what the
# stack holds.
_MAX_DEPTH = 64
# The list around the documents has a few more levels.
_MAX_PARSED_DEPTH = _MAX_DEPTH + 16
# Python converts no more digits (`sys.int_info.default_max_str_digits`).
_MAX_DIGITS = 4000
# A string without an end reaches to the end of the text, so that the time to
# scan it stays proportional to its length.
_STRING_OR_BRACKET = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)|[\[\]{}]', re.DOTALL
)


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


def parse_list(data: bytes) -> Any:
    """Parses JSON that lists documents of several writers.

    A document that can't be read must not hide the others: numbers with too
    many digits become infinite, bytes that aren't UTF-8 are replaced, and what
    is nested far too deep becomes null. Check the documents with `is_too_deep`.

    Raises:
        ValueError: The data is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode("utf-8", "replace")
        return json.loads("".join(_without_deep_values(text)), parse_int=_int)


def is_too_deep(document: Any) -> bool:
    """Returns whether a document is nested too deep to be passed on."""
    level = [document]
    for _ in range(_MAX_DEPTH):
        inner: list[Any] = []
        for value in level:
            match value:
                case dict():
                    inner.extend(value.values())
                case list():
                    inner.extend(value)
        if not inner:
            return False
        level = inner
    return True


def _without_deep_values(text: str) -> Iterator[str]:
    """Yields the parts of a JSON text, with null for values nested too deep."""
    depth = 0
    copied_to = 0
    for token in _STRING_OR_BRACKET.finditer(text):
        match token.group()[0]:
            case "[" | "{":
                depth += 1
                if depth == _MAX_PARSED_DEPTH:
                    yield text[copied_to : token.start()]
                    yield "null"
            case "]" | "}":
                if depth == _MAX_PARSED_DEPTH:
                    copied_to = token.end()
                depth -= 1
    if depth < _MAX_PARSED_DEPTH:
        yield text[copied_to:]


def _int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


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
