"""Opens the sockets of the daemon, then loads and runs the rest of it.

Callers connect as soon as the sockets are open, and wait in their queue while
the rest of the program is loaded, which takes most of a start. So this module
imports little, and the rest only after the sockets are open.
"""

import importlib
import pathlib
import sys

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import sockets
from sassafrashold.platform import boot

EXIT_BAD_SETTINGS = 2
# The port that deploy/system.toml names.
METRICS_PORT = 9464
LOG_LEVEL = "INFO"


def start(path: pathlib.Path, metrics_port: int, log_level: str) -> None:
    """Opens the sockets, loads the rest of the program and runs it.

    Args:
        path: Settings file.
        metrics_port: Where metrics are read; 0 to disable.
        log_level: Lowest level that is logged.
    """
    try:
        values = boot.load(path)
    except errors.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    listeners = sockets.Listeners(
        clients=sockets.listening_socket(values.clients),
        readiness=sockets.listening_socket(values.readiness),
        opened=clock_lib.SystemClock().monotonic(),
    )
    process = importlib.import_module("sassafrashold.platform.process")
    process.run(values, path, listeners, metrics_port, log_level)
