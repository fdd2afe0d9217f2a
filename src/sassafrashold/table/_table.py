"""The whole table with its marks and edits, and its stored form."""

import dataclasses
import datetime
import functools
from typing import Any

from sassafrashold import documents
from sassafrashold.table import _rows

TABLE_KEY = "config/table"
MARKS_SERVICE = "*marks"
ZONES_COLUMN = "zones"
HOSTS_COLUMN = "hosts"


@dataclasses.dataclass(frozen=True)
class Marks:
    """Zones and hosts that operators have taken out of service."""

    zones: frozenset[str] = frozenset()
    """Availability zones that get no new work."""

    hosts: frozenset[str] = frozenset()
    """Hosts (upstream or of the system) that get no new work."""

    def names(self, column: str) -> frozenset[str]:
        """Returns the marked names of a column, `zones` or `hosts`."""
        return self.zones if column == ZONES_COLUMN else self.hosts


@dataclasses.dataclass(frozen=True)
class Cell:
    """A change of one cell.

    Each zone and host is a cell of its own in the row `*marks`. Its text is its
    name while it is out of service, and None while it is not.
    """

    service: str
    """Row; `*marks` for the marks."""

    column: str
    """Column; `zones` or `hosts` for the marks."""

    old: str | None
    """Text before; None if there was no row."""

    new: str | None
    """Text after; None if the row was removed."""


@dataclasses.dataclass(frozen=True)
class Edit:
    """One accepted change of the table."""

    edit_id: str
    """Unique id, to resolve a lost answer."""

    who: str
    """Operator."""

    at: datetime.datetime
    """When the edit was made, UTC."""

    note: str
    """Reason given by the operator."""

    cells: tuple[Cell, ...]
    """What changed."""


@dataclasses.dataclass(frozen=True)
class Table:
    """The whole configuration of a deployment."""

    revision: int = 0
    """Grows by one with each accepted edit."""

    rows: tuple[_rows.ServiceRow, ...] = ()
    """Rows ordered by service."""

    marks: Marks = Marks()
    """What is out of service."""

    edits: tuple[Edit, ...] = ()
    """The newest edits, oldest first."""

    @functools.cached_property
    def row_by_service(self) -> dict[str, _rows.ServiceRow]:
        """Rows by service name."""
        return {row.service: row for row in self.rows}

    @property
    def first_revision(self) -> int:
        """Revision that the oldest listed edit made."""
        return self.revision - len(self.edits) + 1

    def text_at(self, cell: Cell) -> str | None:
        """Returns the present text of the place that a cell names."""
        if cell.service == MARKS_SERVICE:
            name = cell.new if cell.old is None else cell.old
            return name if name in self.marks.names(cell.column) else None
        row = self.row_by_service.get(cell.service)
        return None if row is None else row.cells().get(cell.column)

    def has_edit(self, edit_id: str) -> bool:
        """Returns whether an edit is among the listed ones."""
        return any(edit.edit_id == edit_id for edit in self.edits)

    def with_edit(self, edit: Edit) -> "Table":
        """Returns the next revision, with the cells of an edit changed.

        Raises:
            TableError: A changed row is not allowed.
        """
        return Table(
            self.revision + 1,
            _changed_rows(self.row_by_service, edit.cells),
            Marks(
                _changed_names(self.marks.zones, ZONES_COLUMN, edit.cells),
                _changed_names(self.marks.hosts, HOSTS_COLUMN, edit.cells),
            ),
            (*self.edits, edit),
        )

    def with_edits_from(self, position: int) -> "Table":
        """Returns the same revision without the oldest listed edits.

        Args:
            position: Number of edits to drop.
        """
        return dataclasses.replace(self, edits=self.edits[position:])

    @classmethod
    def decode(cls, data: bytes) -> "Table":
        """Parses the stored document.

        Raises:
            DocumentError: It is malformed.
            TableError: A cell holds a value that is not allowed.
        """
        key = TABLE_KEY
        document = documents.parse(key, data)
        marks = documents.get(key, document, "marks", dict)
        return cls(
            documents.get(key, document, "revision", int),
            tuple(
                _rows.ServiceRow.from_cells(_object(key, row))
                for row in documents.get(key, document, "rows", list)
            ),
            Marks(
                _decode_names(key, marks, ZONES_COLUMN),
                _decode_names(key, marks, HOSTS_COLUMN),
            ),
            decode_edits(key, document),
        )

    def encode(self) -> bytes:
        """Returns the stored form."""
        return documents.dump(
            {
                "revision": self.revision,
                "rows": [row.cells() for row in self.rows],
                "marks": {
                    "zones": sorted(self.marks.zones),
                    "hosts": sorted(self.marks.hosts),
                },
                "edits": encode_edits(self.edits),
            }
        )


def decode_edits(key: str, document: dict[str, Any]) -> tuple[Edit, ...]:
    """Parses the field `edits` of a stored document.

    Raises:
        DocumentError: It is malformed.
    """
    return tuple(
        _decode_edit(key, _object(key, edit))
        for edit in documents.get(key, document, "edits", list)
    )


def encode_edits(edits: tuple[Edit, ...]) -> list[dict[str, Any]]:
    """Returns the stored form of edits."""
    return [
        {
            "id": edit.edit_id,
            "who": edit.who,
            "at": edit.at.isoformat(),
            "note": edit.note,
            "cells": [dataclasses.asdict(cell) for cell in edit.cells],
        }
        for edit in edits
    ]


def _changed_rows(
    row_by_service: dict[str, _rows.ServiceRow], cells: tuple[Cell, ...]
) -> tuple[_rows.ServiceRow, ...]:
    """Returns the rows, ordered, after a change of some cells."""
    texts_by_service: dict[str, dict[str, str | None]] = {}
    for cell in cells:
        if cell.service != MARKS_SERVICE:
            texts = texts_by_service.setdefault(cell.service, {})
            texts[cell.column] = cell.new
    changed = dict(row_by_service)
    for service, texts in texts_by_service.items():
        if None in texts.values():
            changed.pop(service, None)
            continue
        row = row_by_service.get(service)
        before = {"service": service} if row is None else row.cells()
        changed[service] = _rows.ServiceRow.from_cells(before | texts)
    return tuple(changed[service] for service in sorted(changed))


def _changed_names(
    names: frozenset[str], column: str, cells: tuple[Cell, ...]
) -> frozenset[str]:
    """Returns the marked names after a change of some cells."""
    changed = set(names)
    for cell in cells:
        if cell.service != MARKS_SERVICE or cell.column != column:
            continue
        if cell.new is None:
            changed.discard(cell.old or "")
        else:
            changed.add(cell.new)
    return frozenset(changed)


def _decode_names(
    key: str, document: dict[str, Any], column: str
) -> frozenset[str]:
    names = documents.get(key, document, column, list)
    if not all(isinstance(name, str) for name in names):
        raise documents.invalid(key, f"marks.{column}: expected names")
    return frozenset(names)


def _object(key: str, value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise documents.invalid(key, "expected objects")
    return value


def _decode_edit(key: str, document: dict[str, Any]) -> Edit:
    try:
        at = datetime.datetime.fromisoformat(
            documents.get(key, document, "at", str)
        )
    except ValueError as error:
        raise documents.invalid(key, f"edits.at: {error}") from error
    return Edit(
        documents.get(key, document, "id", str),
        documents.get(key, document, "who", str),
        at,
        documents.get(key, document, "note", str),
        tuple(
            _decode_cell(key, _object(key, cell))
            for cell in documents.get(key, document, "cells", list)
        ),
    )


def _decode_cell(key: str, document: dict[str, Any]) -> Cell:
    old, new = document.get("old"), document.get("new")
    for text in (old, new):
        if text is not None and not isinstance(text, str):
            raise documents.invalid(key, "edits.cells: expected texts")
    return Cell(
        documents.get(key, document, "service", str),
        documents.get(key, document, "column", str),
        old,
        new,
    )
