"""`sassafras-ctl table`."""

import datetime
import pathlib

import click

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import table as table_lib
from sassafrashold.ctl import _edits
from sassafrashold.ctl import _options
from sassafrashold.ctl import _output
from sassafrashold.ctl import _run

_FILE = click.Path(
    path_type=pathlib.Path, exists=True, dir_okay=False, allow_dash=False
)


@click.group()
def table() -> None:
    """Shows and edits the table."""


@table.command("get")
@click.argument("service", required=False)
@click.argument("column", required=False)
@_options.command
def get(
    options: _options.Options, service: str | None, column: str | None
) -> None:
    """Shows the table, a row, or a cell."""
    found = read(options)
    if service is None:
        _write_table(options, found)
        return
    row = found.table.row_by_service.get(service)
    if row is None:
        _run.fail(options, _unknown("service", service))
        return
    cells = row.cells()
    if column is not None:
        if column not in cells:
            _run.fail(options, _unknown("column", column))
        cells = {column: cells[column]}
    if options.as_json:
        _output.write_json(cells)
    elif column is not None:
        click.echo(cells[column])
    else:
        for name, text in cells.items():
            click.echo(f"{name}={text}")


@table.command("set")
@click.argument("service")
@click.argument("cells", nargs=-1, required=True, metavar="COLUMN=VALUE...")
@click.option(
    "--expect",
    multiple=True,
    metavar="COLUMN=VALUE",
    help="Refuse the edit if a cell to set has another value now.",
)
@_options.edit_command
def set_cells(
    options: _options.Options,
    service: str,
    cells: tuple[str, ...],
    expect: tuple[str, ...],
) -> None:
    """Changes cells of a row; an empty value restores the default."""
    texts, expected = _parse(cells), _parse(expect)
    if expected.keys() - texts.keys():
        raise click.UsageError("--expect names a column that is not set")
    _edits.make(options, table_lib.SetCells(service, texts, expected))


@table.command("add")
@click.argument("service")
@click.argument("cells", nargs=-1, metavar="COLUMN=VALUE...")
@_options.edit_command
def add(
    options: _options.Options, service: str, cells: tuple[str, ...]
) -> None:
    """Adds a row."""
    texts = _parse(cells) | {"service": service}
    _edits.make(options, table_lib.AddRow(texts))


@table.command("remove")
@click.argument("service")
@_options.edit_command
def remove(options: _options.Options, service: str) -> None:
    """Removes a row."""
    _edits.make(options, table_lib.RemoveRow(service))


@table.command("import")
@click.argument("file", type=_FILE)
@click.option(
    "--base",
    type=_FILE,
    help="Export that FILE was made from; only the differences are applied.",
)
@_options.edit_command
def import_rows(
    options: _options.Options, file: pathlib.Path, base: pathlib.Path | None
) -> None:
    """Makes the rows equal to a CSV file; marks stay as they are."""
    rows = _read_csv(options, file)
    base_rows = None if base is None else _read_csv(options, base)
    _edits.make(options, table_lib.ReplaceRows(rows, base_rows))


@table.command("export")
@click.argument(
    "file",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    required=False,
)
@_options.command
def export(options: _options.Options, file: pathlib.Path | None) -> None:
    """Writes the rows as CSV to a file or to stdout."""
    text = table_lib.format_csv(read(options).table.rows)
    if file is None:
        click.echo(text, nl=False)
        return
    try:
        file.write_text(text, encoding="utf-8", newline="")
    except OSError as error:
        _run.fail(options, _file_error(file, error))


@table.command("diff")
@click.argument("file", type=_FILE)
@_options.command
def diff(options: _options.Options, file: pathlib.Path) -> None:
    """Shows what importing a CSV file would change now."""
    rows = _read_csv(options, file)
    found = read(options)
    cells = table_lib.cells_of(table_lib.ReplaceRows(rows), found.table)
    if options.as_json:
        _output.write_json(
            {
                "revision": found.table.revision,
                "cells": _output.cell_documents(cells),
            }
        )
        return
    click.echo(f"{len(cells)} cells differ from revision {_revision(found)}")
    _output.write_cells(cells)


@table.command("history")
@click.option("--limit", type=click.IntRange(min=1), default=20)
@click.option("--service", help="Only edits of this row.")
@_options.command
def history(options: _options.Options, limit: int, service: str | None) -> None:
    """Shows accepted edits, newest first."""
    revisions = _run.with_platform(
        options,
        lambda client: table_lib.Editor(
            client, clock_lib.SystemClock()
        ).history(),
    )
    chosen = [
        revision
        for revision in reversed(revisions)
        if service is None
        or any(cell.service == service for cell in revision.edit.cells)
    ][:limit]
    if options.as_json:
        _output.write_json([_revision_document(found) for found in chosen])
        return
    for found in chosen:
        edit = found.edit
        click.echo(
            f"revision {found.number}  {_moment(edit.at)}  {edit.who}  "
            f"{edit.note or '(no note)'}"
        )
        _output.write_cells(edit.cells)


def read(options: _options.Options) -> table_lib.Read:
    """Reads the table from the platform; exits on an error."""
    return _run.with_platform(
        options,
        lambda client: table_lib.Editor(client, clock_lib.SystemClock()).read(),
    )


def _write_table(options: _options.Options, found: table_lib.Read) -> None:
    table_found = found.table
    if options.as_json:
        _output.write_json(
            {
                "revision": table_found.revision,
                "rows": [row.cells() for row in table_found.rows],
                "marks": {
                    "zones": sorted(table_found.marks.zones),
                    "hosts": sorted(table_found.marks.hosts),
                },
            }
        )
        return
    click.echo(f"revision {_revision(found)}")
    for column in (table_lib.ZONES_COLUMN, table_lib.HOSTS_COLUMN):
        names = sorted(table_found.marks.names(column))
        click.echo(f"{column} out: {', '.join(names) or '(none)'}")
    click.echo(table_lib.format_csv(table_found.rows), nl=False)


def _revision(found: table_lib.Read) -> str:
    if found.version == 0:
        return "0 (there is no table yet)"
    return str(found.table.revision)


def _parse(texts: tuple[str, ...]) -> dict[str, str]:
    """Parses `column=value` arguments.

    Raises:
        click.UsageError: An argument has no `=` or a column comes twice.
    """
    text_by_column: dict[str, str] = {}
    for text in texts:
        column, separator, value = text.partition("=")
        if not separator or column in text_by_column:
            raise click.UsageError(
                f"{text!r}: expected COLUMN=VALUE once for each column"
            )
        text_by_column[column] = value
    return text_by_column


def _read_csv(
    options: _options.Options, file: pathlib.Path
) -> tuple[table_lib.ServiceRow, ...]:
    try:
        return table_lib.parse_csv(file.read_bytes())
    except OSError as error:
        _run.fail(options, _file_error(file, error))
    except errors.TableError as error:
        _run.fail(
            options,
            errors.TableError(
                error.code, f"{file}: {error.message}", field=error.field
            ),
        )
    raise AssertionError("unreachable: fail exits")


def _file_error(file: pathlib.Path, error: OSError) -> errors.TableError:
    return errors.TableError(
        errors.ErrorCode.BAD_REQUEST, f"{file}: {error.strerror}"
    )


def _unknown(kind: str, name: str) -> errors.TableError:
    return errors.TableError(
        errors.ErrorCode.BAD_TABLE, f"there is no {kind} {name!r}", field=kind
    )


def _moment(moment: datetime.datetime) -> str:
    return moment.isoformat(timespec="seconds")


def _revision_document(found: table_lib.Revision) -> dict[str, object]:
    edit = found.edit
    return {
        "revision": found.number,
        "id": edit.edit_id,
        "who": edit.who,
        "at": edit.at.isoformat(),
        "note": edit.note,
        "cells": _output.cell_documents(edit.cells),
    }
