"""`sassafras-ctl zone` and `sassafras-ctl host`."""

import click

from sassafrashold import errors
from sassafrashold import table as table_lib
from sassafrashold.ctl import _edits
from sassafrashold.ctl import _options
from sassafrashold.ctl import _output
from sassafrashold.ctl import _run
from sassafrashold.ctl import _table_commands


@click.group()
def zone() -> None:
    """Takes availability zones out of service and back."""


@zone.command("out")
@click.argument("name")
@click.option("--force", is_flag=True, help="Accept a zone that no row names.")
@_options.edit_command
def zone_out(options: _options.Options, name: str, force: bool) -> None:
    """Gives a zone no new work."""
    if not force:
        _check_known(options, name)
    _edits.make(options, table_lib.Mark(table_lib.ZONES_COLUMN, name, True))


@zone.command("in")
@click.argument("name")
@_options.edit_command
def zone_in(options: _options.Options, name: str) -> None:
    """Gives a zone work again."""
    _edits.make(options, table_lib.Mark(table_lib.ZONES_COLUMN, name, False))


@zone.command("list")
@_options.command
def zone_list(options: _options.Options) -> None:
    """Lists the zones of the table, and which are out."""
    table = _table_commands.read(options).table
    names = known_zones(table) | table.marks.zones
    _write_names(options, names, table.marks.zones)


@click.group()
def host() -> None:
    """Takes hosts out of service and back."""


@host.command("out")
@click.argument("name")
@_options.edit_command
def host_out(options: _options.Options, name: str) -> None:
    """Gives a host, upstream or of the system, no new work."""
    _edits.make(options, table_lib.Mark(table_lib.HOSTS_COLUMN, name, True))


@host.command("in")
@click.argument("name")
@_options.edit_command
def host_in(options: _options.Options, name: str) -> None:
    """Gives a host work again."""
    _edits.make(options, table_lib.Mark(table_lib.HOSTS_COLUMN, name, False))


@host.command("list")
@_options.command
def host_list(options: _options.Options) -> None:
    """Lists the hosts that are out."""
    out = _table_commands.read(options).table.marks.hosts
    _write_names(options, out, out)


def known_zones(table: table_lib.Table) -> frozenset[str]:
    """Returns the zones that rows name."""
    return frozenset(name for row in table.rows for name in row.weight_by_zone)


def _check_known(options: _options.Options, name: str) -> None:
    """Refuses a zone that no row names: it is probably a misspelt one."""
    known = known_zones(_table_commands.read(options).table)
    if name in known:
        return
    _run.fail(
        options,
        errors.TableError(
            errors.ErrorCode.BAD_TABLE,
            f"no row names the zone {name!r}; known zones: "
            f"{', '.join(sorted(known)) or '(none)'}; --force accepts it",
            field="zone",
        ),
    )


def _write_names(
    options: _options.Options, names: frozenset[str], out: frozenset[str]
) -> None:
    if options.as_json:
        _output.write_json(
            [
                {"name": name, "state": "out" if name in out else "in"}
                for name in sorted(names)
            ]
        )
        return
    for name in sorted(names):
        click.echo(f"{name}: {'out' if name in out else 'in'}")
