"""The binary `sassafras-entry`."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from sassafrashold import clock
from sassafrashold import errors
from sassafrashold import platform
from sassafrashold import process
from sassafrashold.entry import _daemon
from sassafrashold.entry import _sender
from sassafrashold.entry import _settings
from sassafrashold.platform import http


class _NoDispatcher:
    """Stands in until the dispatch package is there."""

    async def run(
        self,
        service: str,
        key: str,
        body: bytes,
        deadline: datetime.datetime,
        send: Callable[[str], Awaitable[bytes]],
    ) -> _sender.DispatchOutcome:
        """Refuses each dispatch."""
        raise errors.DispatchError(
            errors.ErrorCode.STORE_UNAVAILABLE, "dispatches are not served yet"
        )


async def _run(
    values: _settings.EntrySettings, stopping: asyncio.Event
) -> None:
    system_clock = clock.SystemClock()
    client = http.HttpPlatform(values.platform, system_clock)
    parts = _daemon.PlatformParts(
        _NoDispatcher(),
        platform.gateway_handlers(client, client),
        client.close,
    )
    await _daemon.Daemon(values, system_clock, parts).run(stopping)


main = process.command("entry", _settings.EntrySettings, _run)

if __name__ == "__main__":
    main()
