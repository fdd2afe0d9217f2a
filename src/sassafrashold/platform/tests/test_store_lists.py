"""Guards against a host that asks the store for the same page without end."""

import asyncio

from aiohttp import web
import pytest

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.platform import store_client


async def test_page_without_names_ends_the_list():
    pages = 0

    async def answer(_request):
        nonlocal pages
        pages += 1
        first = (
            b'{"items": [{"meta": {"name": "a"}}], "as_of": 9, "more": true}'
        )
        nameless = b'{"items": [{"meta": 3}], "as_of": 9, "more": true}'
        return web.Response(body=first if pages == 1 else nameless)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]),
        relay.LatestEra(),
    )
    with pytest.raises(errors.StoreError, match="name"):
        async with asyncio.timeout(3):
            await client.list("servers")
    assert pages == 2
    await client.close()
    await runner.cleanup()
