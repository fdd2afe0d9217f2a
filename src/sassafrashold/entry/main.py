"""The binary `sassafras-entry`."""

import asyncio
import datetime

from sassafrashold import clock
from sassafrashold import dispatch
from sassafrashold import platform
from sassafrashold import process
from sassafrashold.entry import _daemon
from sassafrashold.entry import _settings
from sassafrashold.platform import http

# Time for the results of finished dispatches to be recorded at the end.
_RECORD_TIMEOUT = datetime.timedelta(seconds=2)


async def _run(
    values: _settings.EntrySettings, stopping: asyncio.Event
) -> None:
    system_clock = clock.SystemClock()
    client = http.HttpPlatform(values.platform, system_clock)
    dispatcher = dispatch.Dispatcher(client, values.host, system_clock)

    async def close() -> None:
        await dispatcher.drain(_RECORD_TIMEOUT)
        await client.close()

    parts = _daemon.PlatformParts(
        dispatcher, platform.gateway_handlers(client, client), close
    )
    await _daemon.Daemon(values, system_clock, parts).run(stopping)


main = process.command("entry", _settings.EntrySettings, _run)

if __name__ == "__main__":
    main()
