"""Assembles the daemon on the users' platform and runs it."""

import asyncio
import gc
import logging
import pathlib
import random
import signal
import sys

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import front
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold import telemetry
from sassafrashold.platform import boot
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.platform import wire

_LOGGER = logging.getLogger(__name__)
# Part of the memory of a host for leaf answers that are being received; the
# process itself takes up to 60 MB.
_ANSWER_MEMORY_RATIO = 0.25
# Part of it for the connections of clients on all ports, with their requests
# and replies.
_CLIENT_MEMORY_RATIO = 0.25
# Part of it for the bodies of requests. They count three times among what
# clients hold, and are refused before connections are closed for them.
_REQUEST_MEMORY_RATIO = _CLIENT_MEMORY_RATIO / 4
# The platform sets these descriptors aside for files.
_FILE_FDS = 200
# Parts of the other descriptors for connections of callers and of other hosts;
# the rest is for connections to leafs, to the store and to other hosts.
_CALLER_FDS_RATIO = 0.5
_PEER_FDS_RATIO = 0.125
# If the platform sets no limit.
_DEFAULT_MEMORY_MB = 192
_DEFAULT_MAX_FDS = 4096
_BYTES_PER_MB = 2**20


def front_settings(
    values: boot.HostSettings, metrics_port: int
) -> front.FrontSettings:
    """Returns the daemon's settings on this host.

    Args:
        values: What the platform says.
        metrics_port: Where metrics are read; 0 to disable.
    """
    metrics = settings.Address(values.ip, metrics_port)
    memory_mb = values.memory_mb or _DEFAULT_MEMORY_MB
    socket_fds = max((values.max_fds or _DEFAULT_MAX_FDS) - _FILE_FDS, 0)
    return front.FrontSettings(
        host=values.host,
        zone=values.zone,
        readiness_path=wire.READINESS_PATH,
        peer_address=values.peers,
        seeds=values.seeds,
        link_mbps=values.link_mbps,
        max_answer_bytes=_memory_part(memory_mb, _ANSWER_MEMORY_RATIO),
        max_request_bytes=_memory_part(memory_mb, _REQUEST_MEMORY_RATIO),
        max_client_bytes=_memory_part(memory_mb, _CLIENT_MEMORY_RATIO),
        max_caller_connections=max(int(socket_fds * _CALLER_FDS_RATIO), 1),
        max_peer_connections=max(int(socket_fds * _PEER_FDS_RATIO), 1),
        bootstrap=values.bootstrap,
        metrics_address=metrics if metrics_port else None,
        leaf_heartbeat=values.leaf_heartbeat,
        leaf_drain_time=values.bounds.drain,
        shutdown_grace=values.bounds.grace,
        extra_calls_ratio=values.bounds.extra_calls_ratio,
        extra_calls_burst=values.bounds.extra_calls_burst,
        extra_calls_window=values.bounds.extra_calls_window,
        cold_burst_factor=values.bounds.cold_burst_factor,
        cold_slack=values.bounds.cold_slack,
    )


def _memory_part(memory_mb: float, ratio: float) -> int:
    return int(memory_mb * ratio * _BYTES_PER_MB)


def run(
    values: boot.HostSettings,
    path: pathlib.Path,
    listeners: sockets.Listeners,
    metrics_port: int,
    log_level: str,
) -> None:
    """Runs the daemon until SIGTERM.

    Args:
        values: Settings.
        path: Where they were read.
        listeners: Open sockets for callers and for readiness.
        metrics_port: Where metrics are read; 0 to disable.
        log_level: Lowest level that is logged.
    """
    telemetry.configure_logging(
        "front",
        values.host,
        log_level,
        telemetry.NonBlockingHandler(sys.stdout),
    )
    asyncio.run(_run(values, path, listeners, metrics_port))


async def _run(
    values: boot.HostSettings,
    path: pathlib.Path,
    listeners: sockets.Listeners,
    metrics_port: int,
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(
        signal.SIGHUP, _check_changed_settings, path, values
    )
    eras = relay.LatestEra()
    client = store_client.StoreClient(values.store, eras)
    daemon = front.Daemon(
        front_settings(values, metrics_port),
        listeners,
        wire,
        front.Topics(
            topics.ConfigurationTopic(client),
            topics.LeafTopic(client),
            topics.ZonesOutTopic(client),
            eras,
        ),
        topics.HostRegistry(client),
        clock_lib.SystemClock(),
        random.Random(),
    )
    # Exclude objects allocated at start-up from garbage collection: they live
    # as long as the process.
    gc.freeze()
    gc.enable()
    _LOGGER.info("started", extra={"zone": values.zone})
    await daemon.run(stopping)
    await client.close()
    _LOGGER.info("stopped", extra={"store_calls": client.calls})


def _check_changed_settings(
    path: pathlib.Path, running: boot.HostSettings
) -> None:
    """Reads the settings after SIGHUP; changes apply after a restart."""
    try:
        values = boot.load(path)
    except errors.SettingsError as error:
        _LOGGER.error(
            "settings invalid; keeping the running ones",
            extra={"cause": error.message},
        )
        return
    _LOGGER.info("settings read", extra={"changed": values != running})
