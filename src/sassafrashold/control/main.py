"""Entry point of `sassafras-control`."""

import asyncio

from sassafrashold import process
from sassafrashold.control import _daemon
from sassafrashold.control import _settings


async def _run(
    values: _settings.ControlSettings, stopping: asyncio.Event
) -> None:
    metrics = process.metrics_for("control", values)
    await _daemon.run(values, stopping, metrics)


main = process.command("control", _settings.ControlSettings, _run)

if __name__ == "__main__":
    main()
