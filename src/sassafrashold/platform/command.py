"""Command line of `sassafras-front`."""

import os
import pathlib
import sys

import click

from sassafrashold import errors
from sassafrashold.platform import boot
from sassafrashold.platform import launch


@click.command(name="sassafras-front")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    help=f"Settings file; {boot.PATH_VARIABLE} names it by default.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=launch.METRICS_PORT,
    show_default=True,
    help="Port of the host's address where metrics are read; 0 to disable.",
)
@click.option(
    "--log-level",
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
    default=launch.LOG_LEVEL,
    show_default=True,
    help="Lowest level that is logged.",
)
def command(
    path: pathlib.Path | None, check: bool, metrics_port: int, log_level: str
) -> None:
    """Serves callers and calls leafs on the users' platform."""
    if path is None:
        path = boot.settings_path(os.environ)
    if check:
        try:
            boot.load(path)
        except errors.SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(launch.EXIT_BAD_SETTINGS)
        click.echo(f"{path}: valid")
        return
    launch.start(path, metrics_port, log_level)
