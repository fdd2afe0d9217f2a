"""Command line, settings, logging and signal handling of all daemons."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import gc
import logging
import pathlib
import signal
import sys
from typing import Any
from typing import TypeVar

import click

from sassafrashold import errors
from sassafrashold import settings
from sassafrashold import telemetry

_LOGGER = logging.getLogger(__name__)
_EXIT_BAD_SETTINGS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Settings that all daemons share."""

    host: str
    """Host id."""

    zone: str
    """Availability zone of the host."""

    log_level: str = settings.option(
        default="INFO", choices=("DEBUG", "INFO", "WARNING", "ERROR")
    )
    """Lowest level that is logged."""

    statsd: settings.Address | None = None
    """UDP address for statsd metrics; None disables them."""

    trace_file: pathlib.Path | None = None
    """File that each span is written to as a JSON line; None writes none."""


_SettingsT = TypeVar("_SettingsT", bound=ProcessSettings)


def command(
    process: str,
    settings_type: type[_SettingsT],
    run: Callable[[_SettingsT, asyncio.Event], Awaitable[None]],
) -> Any:
    """Returns the click command of a daemon.

    Args:
        process: Name of the process; also the INI section.
        settings_type: Data class of its settings.
        run: Runs the daemon. The event is set on SIGTERM or SIGINT; the daemon
            then drains and returns, and the process exits with 0.
    """

    @click.command(name=f"sassafras-{process}")
    @click.option(
        "--config",
        type=click.Path(path_type=pathlib.Path),
        required=True,
        help="INI file with the settings.",
    )
    @click.option("--check", is_flag=True, help="Check the settings and exit.")
    def main(config: pathlib.Path, check: bool) -> None:
        try:
            values = settings.load(config, process, settings_type)
        except errors.SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(_EXIT_BAD_SETTINGS)
        if check:
            click.echo(f"{config}: [{process}] is valid")
            return
        telemetry.configure_logging(process, values.host, values.log_level)
        asyncio.run(_run(process, values, run))

    main.help = f"Runs the {process} daemon."
    return main


async def _run(
    process: str,
    values: _SettingsT,
    run: Callable[[_SettingsT, asyncio.Event], Awaitable[None]],
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # Objects made by imports live as long as the process. Freezing them keeps
    # full collections short, which would otherwise show in the tail latency.
    gc.collect()
    gc.freeze()
    _LOGGER.info("started", extra={"zone": values.zone})
    await run(values, stop_requested)
    _LOGGER.info("stopped")


def metrics_for(process: str, values: ProcessSettings) -> telemetry.Metrics:
    """Returns a statsd client, or a null sink if no address is set."""
    if values.statsd is None:
        return telemetry.NullMetrics()
    return telemetry.StatsdMetrics(
        values.statsd.ip,
        values.statsd.port,
        f"sassafras.{process}.{values.host.replace('.', '_')}",
    )
