"""The binary `sassafras-front`: the daemon on the users' platform."""

import gc
import importlib
import os
import signal
import sys

from sassafrashold.platform import boot
from sassafrashold.platform import launch


def main() -> None:
    """Runs the daemon; reads the command line if there are options."""
    # The default action of SIGHUP ends the process; the daemon installs its
    # handler once it is loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading allocates many objects that live as long as the process; garbage
    # collections meanwhile would take a fifth of the start-up time.
    gc.disable()
    if len(sys.argv) > 1:
        # Loaded only now, as a start without options does not need it.
        importlib.import_module("sassafrashold.platform.command").command()
    else:
        launch.start(
            boot.settings_path(os.environ),
            launch.METRICS_PORT,
            launch.LOG_LEVEL,
        )


if __name__ == "__main__":
    main()
