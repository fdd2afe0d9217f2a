"""The binary `sassafras-front`: the daemon on the users' platform."""

import asyncio
import gc
import logging
import os
import pathlib
import random
import signal
import sys

import click

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import front
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold.platform import boot
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.platform import wire

_LOGGER = logging.getLogger(__name__)
_EXIT_BAD_SETTINGS = 2
# The port that deploy/system.toml names.
_METRICS_PORT = 9464


def front_settings(
    values: boot.HostSettings, metrics_port: int
) -> front.FrontSettings:
    """Returns the daemon's settings on this host.

    Args:
        values: What the platform says.
        metrics_port: Where metrics are read; 0 for nowhere.
    """
    metrics = settings.Address(values.ip, metrics_port)
    return front.FrontSettings(
        host=values.host,
        zone=values.zone,
        clients=values.clients,
        readiness=values.readiness,
        readiness_path=wire.READINESS_PATH,
        peers=values.peers,
        seeds=values.seeds,
        bootstrap=values.bootstrap,
        metrics=metrics if metrics_port else None,
        leaf_drain=values.bounds.drain,
        grace=values.bounds.grace,
        extra_calls_ratio=values.bounds.extra_calls_ratio,
        extra_calls_burst=values.bounds.extra_calls_burst,
        cold_burst_factor=values.bounds.cold_burst_factor,
        cold_slack=values.bounds.cold_slack,
    )


async def _run(
    values: boot.HostSettings, path: pathlib.Path, metrics_port: int
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _check_again, path, values)
    clock = clock_lib.SystemClock()
    client = store_client.StoreClient(values.store)
    daemon = front.Daemon(
        front_settings(values, metrics_port),
        wire,
        front.Topics(
            topics.ConfigurationTopic(client),
            topics.LeafTopic(client),
            topics.ZonesOutTopic(client),
        ),
        topics.HostRegistry(client),
        clock,
        random.Random(),
    )
    gc.collect()
    gc.freeze()
    _LOGGER.info("started", extra={"zone": values.zone})
    await daemon.run(stopping)
    await client.close()
    _LOGGER.info("stopped", extra={"store_calls": client.calls})


def _check_again(path: pathlib.Path, running: boot.HostSettings) -> None:
    """Reads the settings after SIGHUP; what differs holds after a restart."""
    try:
        values = boot.load(path)
    except errors.SettingsError as error:
        _LOGGER.error("settings not taken", extra={"cause": error.message})
        return
    _LOGGER.info("settings read", extra={"changed": values != running})


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
    default=_METRICS_PORT,
    show_default=True,
    help="Port of the host's address where metrics are read; 0 for nowhere.",
)
@click.option(
    "--log-level",
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
    default="INFO",
    show_default=True,
    help="Lowest level that is logged.",
)
def main(
    path: pathlib.Path | None, check: bool, metrics_port: int, log_level: str
) -> None:
    """Serves callers and calls leafs on the users' platform."""
    if path is None:
        path = boot.path_from(os.environ)
    try:
        values = boot.load(path)
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: valid")
        return
    telemetry.configure_logging(
        "front",
        values.host,
        log_level,
        telemetry.NonBlockingHandler(sys.stdout),
    )
    asyncio.run(_run(values, path, metrics_port))


if __name__ == "__main__":
    main()
