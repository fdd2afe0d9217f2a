"""The rows of the table as CSV, for spreadsheets."""

import csv
import io
from typing import Any

from sassafrashold import errors
from sassafrashold.table import _rows

_HEADER = ",".join(_rows.COLUMNS)


def format_csv(rows: tuple[_rows.ServiceRow, ...]) -> str:
    """Returns a header line and one line for each row."""
    output = io.StringIO(newline="")
    writer = csv.DictWriter(output, _rows.COLUMNS, lineterminator="\n")
    writer.writeheader()
    for row in rows:
        writer.writerow(row.cells())
    return output.getvalue()


def parse_csv(data: bytes) -> tuple[_rows.ServiceRow, ...]:
    """Parses an exported or hand-made file.

    Every column has to be there, in any order: a column that was left out by
    mistake would otherwise be reset to its default. An empty cell stands for
    the default.

    Args:
        data: UTF-8, with or without a byte order mark.

    Returns:
        The rows ordered by service.

    Raises:
        TableError: With the line, row, column and what was expected.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise _error(f"not UTF-8: {error}") from error
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    try:
        return _parse(reader)
    except csv.Error as error:
        raise _error(f"line {reader.line_num}: broken CSV: {error}") from error


def _parse(reader: Any) -> tuple[_rows.ServiceRow, ...]:
    header = [name.strip() for name in next(reader, [])]
    _check_header(header)
    row_by_service: dict[str, _rows.ServiceRow] = {}
    for texts in reader:
        if not texts:
            continue
        row = _parse_line(reader.line_num, header, texts)
        if row.service in row_by_service:
            raise _error(
                f"line {reader.line_num}: row {row.service!r}, column "
                "'service': duplicate; expected one row for each service",
                f"{row.service}.service",
            )
        row_by_service[row.service] = row
    return tuple(row_by_service[name] for name in sorted(row_by_service))


def _check_header(header: list[str]) -> None:
    for name in header:
        if name not in _rows.COLUMNS:
            raise _error(
                f"line 1: unknown column {name!r}; expected {_HEADER}", name
            )
        if header.count(name) > 1:
            raise _error(f"line 1: duplicate column {name!r}", name)
    for name in _rows.COLUMNS:
        if name not in header:
            raise _error(
                f"line 1: column {name!r} is missing; expected {_HEADER}", name
            )


def _parse_line(
    line: int, header: list[str], texts: list[str]
) -> _rows.ServiceRow:
    if len(texts) != len(header):
        raise _error(
            f"line {line}: row {texts[0]!r}: got {len(texts)} cells; expected "
            f"{len(header)}"
        )
    try:
        return _rows.ServiceRow.from_cells(
            dict(zip(header, texts, strict=True))
        )
    except errors.TableError as error:
        raise _error(f"line {line}: {error.message}", error.field) from error


def _error(message: str, field: str | None = None) -> errors.TableError:
    return errors.TableError(errors.ErrorCode.BAD_TABLE, message, field=field)
