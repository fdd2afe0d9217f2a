"""The binary `sassafras-entry`."""

import asyncio

from sassafrashold import clock as clock_lib
from sassafrashold import dispatch
from sassafrashold import process
from sassafrashold import store as store_lib
from sassafrashold.entry import _daemon
from sassafrashold.entry import _settings
from sassafrashold.store import http


async def _run(
    values: _settings.EntrySettings, stopping: asyncio.Event
) -> None:
    clock = clock_lib.SystemClock()
    client = http.HttpPlatform(values.platform, clock)

    async def delete_claims(start_key: str) -> str | None:
        result = await dispatch.delete_expired(
            client, clock, start_key=start_key
        )
        return result.next_key

    parts = _daemon.PlatformParts(
        dispatch.Dispatcher(client, values.host, clock),
        delete_claims,
        store_lib.gateway_handlers(client, client),
        client.close,
    )
    await _daemon.Daemon(values, clock, parts).run(stopping)


main = process.command("entry", _settings.EntrySettings, _run)

if __name__ == "__main__":
    main()
