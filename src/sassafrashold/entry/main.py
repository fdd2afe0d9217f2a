"""The binary `sassafras-entry`."""

import asyncio

from sassafrashold import clock
from sassafrashold import process
from sassafrashold.entry import _daemon
from sassafrashold.entry import _settings


async def _run(
    values: _settings.EntrySettings, stopping: asyncio.Event
) -> None:
    await _daemon.Daemon(values, clock.SystemClock()).run(stopping)


main = process.command("entry", _settings.EntrySettings, _run)
