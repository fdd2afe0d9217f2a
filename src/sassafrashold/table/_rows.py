"""Rows of the table: their columns, texts and limits."""

from collections.abc import Mapping
import dataclasses
import enum
import math
import re
from typing import Any

from sassafrashold import errors

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Kind(enum.Enum):
    """Which requests a service takes."""

    SEARCH = "search"
    DISPATCH = "dispatch"
    BOTH = "both"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceRow:
    """One row: the weights and limits of a service."""

    service: str
    """Name of the service."""

    kind: Kind = Kind.SEARCH
    """Which requests it takes."""

    weight_by_zone: Mapping[str, int]
    """Relative share of work for each availability zone; 0 for none."""

    slots_per_leaf: int
    """Calls that a leaf runs at once, 1 to 64."""

    connections_per_leaf: int
    """Connections that a leaf accepts from us, 1 to 1024."""

    cold_start_slots: int = 1
    """Calls at once that a cold leaf bears, 1 to `slots_per_leaf`."""

    warmup_successes: int = 20
    """Successes in a row that grow a cold leaf's window by one slot."""

    deadline_ms: int = 1000
    """Deadline of a request that states none, 1 to 60000."""

    hedge_percent: float = 5.0
    """Extra leaf calls by hedges and retries, 0 to 50 percent."""

    priority_class: str = "normal"
    """Class of a request that states none."""

    priority_share: int = 10
    """Weight of the class against other classes, 1 to 100."""

    priority_floor_percent: int = 0
    """Share of the capacity that the class always gets, 0 to 100."""

    queue_limit: int = 1000
    """Requests that may wait, 1 to 100000."""

    allow_partial: bool = True
    """Whether a request that does not say so accepts a partial answer."""

    @classmethod
    def from_cells(cls, cells: Mapping[str, Any]) -> "ServiceRow":
        """Parses a row from the texts (or JSON values) of its columns.

        Raises:
            TableError: With the row, the column and what was expected.
        """
        service = _parse_service(cells)
        unknown = sorted(cells.keys() - COLUMNS)
        if unknown:
            raise cell_error(
                service, unknown[0], "a known column: " + ", ".join(COLUMNS)
            )
        values: dict[str, Any] = {"service": service}
        for column, parser in _PARSER_BY_COLUMN.items():
            if column not in cells or cells[column] == "":
                if column in _REQUIRED:
                    raise cell_error(service, column, parser.expectation)
                continue
            try:
                values[parser.field] = parser.parse(str(cells[column]))
            except ValueError as error:
                raise cell_error(
                    service, column, parser.expectation, str(cells[column])
                ) from error
        row = cls(**values)
        if row.cold_start_slots > row.slots_per_leaf:
            raise cell_error(
                service,
                "cold_start_slots",
                f"at most slots_per_leaf ({row.slots_per_leaf})",
                str(row.cold_start_slots),
            )
        if row.connections_per_leaf < row.slots_per_leaf:
            raise cell_error(
                service,
                "connections_per_leaf",
                f"at least slots_per_leaf ({row.slots_per_leaf})",
                str(row.connections_per_leaf),
            )
        return row

    def cells(self) -> dict[str, str]:
        """Returns the text of each column."""
        texts = {"service": self.service}
        for column, parser in _PARSER_BY_COLUMN.items():
            texts[column] = _format(getattr(self, parser.field))
        return texts

    def with_cell(self, column: str, text: str) -> "ServiceRow":
        """Returns the row with one cell changed.

        Raises:
            TableError: The column is unknown or the value not allowed.
        """
        return ServiceRow.from_cells(self.cells() | {column: text})


@dataclasses.dataclass(frozen=True)
class _Column:
    """How the text of a column is parsed."""

    field: str
    """Field of `ServiceRow`."""

    expectation: str
    """What the column accepts, for messages."""

    kind: str
    """int, float, bool, name, kind or weights."""

    minimum: float = 0
    """Lowest number."""

    maximum: float = math.inf
    """Highest number."""

    def parse(self, text: str) -> Any:
        """Parses a text.

        Raises:
            ValueError: The text is not allowed.
        """
        text = text.strip()
        match self.kind:
            case "int":
                return self._bounded(int(text))
            case "float":
                return self._bounded(float(text))
            case "bool":
                return {"yes": True, "no": False}[_one_of(text, "yes", "no")]
            case "name":
                return check_name(text)
            case "kind":
                return Kind(text)
            case "weights":
                return _parse_weights(text)
        raise AssertionError(self.kind)

    def _bounded(self, number: Any) -> Any:
        if not self.minimum <= number <= self.maximum:
            raise ValueError("out of range")
        return number


def _number(
    field: str, minimum: int, maximum: int, kind: str = "int"
) -> _Column:
    noun = "a whole number" if kind == "int" else "a number"
    return _Column(
        field, f"{noun} from {minimum} to {maximum}", kind, minimum, maximum
    )


_PARSER_BY_COLUMN: dict[str, _Column] = {
    "kind": _Column("kind", "search, dispatch or both", "kind"),
    "zones": _Column(
        "weight_by_zone", "zone=weight;... with weights 0 to 100", "weights"
    ),
    "slots_per_leaf": _number("slots_per_leaf", 1, 64),
    "connections_per_leaf": _number("connections_per_leaf", 1, 1024),
    "cold_start_slots": _number("cold_start_slots", 1, 64),
    "warmup_successes": _number("warmup_successes", 1, 10000),
    "deadline_ms": _number("deadline_ms", 1, 60000),
    "hedge_percent": _number("hedge_percent", 0, 50, "float"),
    "priority_class": _Column("priority_class", "a name", "name"),
    "priority_share": _number("priority_share", 1, 100),
    "priority_floor_percent": _number("priority_floor_percent", 0, 100),
    "queue_limit": _number("queue_limit", 1, 100000),
    "allow_partial": _Column("allow_partial", "yes or no", "bool"),
}

COLUMNS = ("service", *_PARSER_BY_COLUMN)

_REQUIRED = frozenset({"zones", "slots_per_leaf", "connections_per_leaf"})


def check_name(text: str) -> str:
    """Returns a valid name of a service, class, zone or host.

    Raises:
        ValueError: The text is not such a name.
    """
    if not _NAME.fullmatch(text):
        raise ValueError("not a name")
    return text


def cell_error(
    service: str, column: str, expectation: str, text: str | None = None
) -> errors.TableError:
    """Returns the error for a cell, with row, column and expectation."""
    got = "missing" if text is None else f"got {text!r}"
    return errors.TableError(
        errors.ErrorCode.BAD_TABLE,
        f"row {service!r}, column {column!r}: {got}; expected {expectation}",
        field=f"{service}.{column}",
    )


def _parse_service(cells: Mapping[str, Any]) -> str:
    text = str(cells.get("service", "")).strip()
    try:
        return check_name(text)
    except ValueError as error:
        raise cell_error(
            text, "service", "letters, digits and . _ - (up to 64)", text
        ) from error


def _one_of(text: str, *choices: str) -> str:
    if text not in choices:
        raise ValueError("not a choice")
    return text


def _parse_weights(text: str) -> dict[str, int]:
    weights: dict[str, int] = {}
    for part in text.split(";"):
        zone, separator, weight = part.strip().partition("=")
        if not separator or zone in weights:
            raise ValueError("expected zone=weight once for each zone")
        if not 0 <= int(weight) <= 100:
            raise ValueError("weight out of range")
        weights[check_name(zone)] = int(weight)
    return weights


def _format(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case Kind():
            return value.value
        case float():
            return str(int(value)) if value.is_integer() else repr(value)
        case dict():
            return ";".join(f"{zone}={value[zone]}" for zone in sorted(value))
        case _:
            return str(value)
