"""Changes that operators ask for, as cells; differences and merging."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import typing

from sassafrashold import errors
from sassafrashold.table import _rows
from sassafrashold.table import _table


@dataclasses.dataclass(frozen=True)
class SetCells:
    """Changes some cells of one row."""

    service: str
    """Row."""

    text_by_column: Mapping[str, str]
    """New texts; an empty text restores the default."""

    expected_by_column: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    """Texts that the operator saw, of columns in `text_by_column`; another
    text in the table is a conflict."""


@dataclasses.dataclass(frozen=True)
class AddRow:
    """Adds a row."""

    text_by_column: Mapping[str, str]
    """Texts by column, the service included."""


@dataclasses.dataclass(frozen=True)
class RemoveRow:
    """Removes a row."""

    service: str
    """Row."""


@dataclasses.dataclass(frozen=True)
class ReplaceRows:
    """Makes the rows equal to an imported list."""

    rows: tuple[_rows.ServiceRow, ...]
    """All rows."""

    base: tuple[_rows.ServiceRow, ...] | None = None
    """Rows that the list was made from; the rows in force if None."""


@dataclasses.dataclass(frozen=True)
class Mark:
    """Takes a zone or host out of service, or back in."""

    column: str
    """`zones` or `hosts`."""

    name: str
    """Zone or host."""

    out: bool
    """Whether it gets no new work."""


Change = SetCells | AddRow | RemoveRow | ReplaceRows | Mark


def cells_of(change: Change, table: _table.Table) -> tuple[_table.Cell, ...]:
    """Returns the cells that a change sets in a table.

    Cells that an operator names are included even if they have the new text
    already, because the table at hand may be older than the one in force.

    Raises:
        TableError: A row, column or value is not allowed.
    """
    match change:
        case SetCells():
            return _set_cells(change, table)
        case AddRow():
            row = _rows.ServiceRow.from_cells(change.text_by_column)
            if row.service in table.row_by_service:
                raise _row_error(row.service, "exists already")
            return _row_cells(None, row)
        case RemoveRow():
            return _row_cells(_existing(table, change.service), None)
        case ReplaceRows():
            base = table.rows if change.base is None else change.base
            return _rows_difference(base, change.rows)
        case Mark():
            return _mark_cells(change, table)
    typing.assert_never(change)


def difference(old: _table.Table, new: _table.Table) -> tuple[_table.Cell, ...]:
    """Returns the cells in which two tables differ, ordered."""
    marks = [
        cell
        for column in (_table.ZONES_COLUMN, _table.HOSTS_COLUMN)
        for cell in _marks_difference(
            column, old.marks.names(column), new.marks.names(column)
        )
    ]
    return (*marks, *_rows_difference(old.rows, new.rows))


def merge(
    change: Change, base: _table.Table, current: _table.Table
) -> tuple[_table.Cell, ...]:
    """Returns the cells of a change that are still to change in a table.

    Args:
        change: The change.
        base: Table that the change was made from.
        current: Table in force; edits may have come between.

    Raises:
        EditConflictError: A cell has another text than in `base`, and than the
            change wants.
        TableError: The change is not allowed.
    """
    cells = cells_of(change, base)
    if isinstance(change, Mark) and not cells:
        # There is no cell for a mark that stays absent, but a mark that another
        # operator has changed since is a conflict all the same.
        cells = cells_of(change, current)
        if cells:
            raise errors.EditConflictError(
                (_conflict(cells[0], cells[0].new, cells[0].old),)
            )
    return _rebase(cells, current)


def _rebase(
    cells: Iterable[_table.Cell], table: _table.Table
) -> tuple[_table.Cell, ...]:
    """Returns the cells that are still to change in a newer table."""
    remaining = []
    conflicts = []
    for cell in cells:
        theirs = table.text_at(cell)
        if theirs == cell.new:
            continue
        remaining.append(cell)
        if theirs != cell.old:
            conflicts.append(_conflict(cell, cell.old, theirs))
    if conflicts:
        raise errors.EditConflictError(tuple(conflicts))
    return tuple(remaining)


def _conflict(
    cell: _table.Cell, base: str | None, theirs: str | None
) -> errors.CellConflict:
    return errors.CellConflict(
        service=cell.service,
        column=cell.column,
        base=base,
        theirs=theirs,
        ours=cell.new,
    )


def _set_cells(
    change: SetCells, table: _table.Table
) -> tuple[_table.Cell, ...]:
    row = _existing(table, change.service)
    changes = {"service": change.service} | dict(change.text_by_column)
    if changes["service"] != change.service:
        raise _rows.cell_error(
            change.service,
            "service",
            "the name of the row; remove it and add another instead",
            changes["service"],
        )
    before = row.cells()
    after = _rows.ServiceRow.from_cells(before | changes).cells()
    expected = _expected_texts(change, row)
    return tuple(
        _table.Cell(
            change.service, column, expected.get(column, text), after[column]
        )
        for column, text in before.items()
        if after[column] != text or column in change.text_by_column
    )


def _expected_texts(change: SetCells, row: _rows.ServiceRow) -> dict[str, str]:
    """Returns the texts that the operator saw, in their canonical form."""
    if not change.expected_by_column:
        return {}
    cells = row.cells() | dict(change.expected_by_column)
    canonical = _rows.ServiceRow.from_cells(cells).cells()
    return {column: canonical[column] for column in change.expected_by_column}


def _mark_cells(change: Mark, table: _table.Table) -> tuple[_table.Cell, ...]:
    try:
        name = _rows.check_name(change.name)
    except ValueError as error:
        raise _rows.cell_error(
            _table.MARKS_SERVICE, change.column, "a name", change.name
        ) from error
    before = table.marks.names(change.column)
    after = before | {name} if change.out else before - {name}
    return tuple(_marks_difference(change.column, before, after))


def _marks_difference(
    column: str, old: frozenset[str], new: frozenset[str]
) -> list[_table.Cell]:
    return [
        _table.Cell(
            _table.MARKS_SERVICE,
            column,
            name if name in old else None,
            name if name in new else None,
        )
        for name in sorted(old ^ new)
    ]


def _rows_difference(
    old: tuple[_rows.ServiceRow, ...], new: tuple[_rows.ServiceRow, ...]
) -> tuple[_table.Cell, ...]:
    old_by_service = {row.service: row for row in old}
    new_by_service = {row.service: row for row in new}
    return tuple(
        cell
        for service in sorted(old_by_service.keys() | new_by_service.keys())
        for cell in _row_cells(
            old_by_service.get(service), new_by_service.get(service)
        )
    )


def _row_cells(
    old: _rows.ServiceRow | None, new: _rows.ServiceRow | None
) -> tuple[_table.Cell, ...]:
    """Returns the cells in which two rows of one service differ."""
    old_texts = {} if old is None else old.cells()
    new_texts = {} if new is None else new.cells()
    service = (old_texts | new_texts).get("service", "")
    return tuple(
        _table.Cell(
            service, column, old_texts.get(column), new_texts.get(column)
        )
        for column in _rows.COLUMNS
        if old_texts.get(column) != new_texts.get(column)
    )


def _existing(table: _table.Table, service: str) -> _rows.ServiceRow:
    row = table.row_by_service.get(service)
    if row is None:
        raise _row_error(service, "there is no such row")
    return row


def _row_error(service: str, message: str) -> errors.TableError:
    return errors.TableError(
        errors.ErrorCode.BAD_TABLE,
        f"row {service!r}: {message}",
        field=service,
    )
