"""Guards against a burst of calls to a leaf that restarted while idle.

The owner detects the restart from the first answer. Without a bound it had by
then sent more calls than a cold leaf can handle, which
tests/integration/test_slot_limits.py showed.
"""

import asyncio
import datetime

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold.leafs import client as leaf_client

_MAX_UNPROVEN_CALLS = 2


class _LeafServer:
    """Answers after a delay and records the number of concurrent calls."""

    def __init__(self):
        self.running = 0
        self.max_running = 0
        self.fails = False
        self.delay_s = 0.02

    async def handle(self, _request):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await asyncio.sleep(self.delay_s)
        self.running -= 1
        if self.fails:
            return web.Response(status=500)
        return web.json_response(
            {"generation": "g", "index_version": "v", "items": []}
        )


@pytest.fixture
async def client_and_server():
    leaf = _LeafServer()
    server = web.Server(leaf.handle)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client = leaf_client.LeafClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]),
        8,
        clock_lib.SystemClock(),
        _MAX_UNPROVEN_CALLS,
    )
    yield leaf, server, client
    await client.close()
    await runner.cleanup()


async def _query(client, number):
    deadline = datetime.datetime.now(datetime.UTC)
    return await client.query(
        f"r{number}", "s", "v", [], deadline + datetime.timedelta(seconds=2)
    )


async def _burst(client, count=6):
    return await asyncio.gather(
        *(_query(client, n) for n in range(count)), return_exceptions=True
    )


async def test_calls_on_new_connections_are_bounded_after_restart(
    client_and_server,
):
    leaf, server, client = client_and_server
    for _ in range(4):
        await _burst(client)
    leaf.max_running = 0
    for connection in list(server.connections):
        connection.force_close()
    await asyncio.sleep(0.05)
    await _burst(client)
    assert leaf.max_running <= _MAX_UNPROVEN_CALLS


async def test_calls_on_proven_connections_are_not_bounded(client_and_server):
    leaf, _, client = client_and_server
    for _ in range(6):
        await _burst(client)
    leaf.max_running = 0
    await _burst(client)
    assert leaf.max_running > _MAX_UNPROVEN_CALLS


async def test_failed_calls_release_their_permit(client_and_server):
    leaf, _, client = client_and_server
    leaf.fails = True
    results = await _burst(client)
    assert all(isinstance(r, errors.LeafError) for r in results)
    leaf.fails = False
    await _query(client, 9)


async def test_cancelled_calls_release_their_permit(client_and_server):
    _, _, client = client_and_server
    calls = [asyncio.create_task(_query(client, n)) for n in range(6)]
    await asyncio.sleep(0.01)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    async with asyncio.timeout(2):
        await _burst(client)


async def test_call_without_permit_fails_as_not_run(client_and_server):
    """Guards against reporting an unsent call as one of unknown outcome."""
    leaf, _, client = client_and_server
    leaf.delay_s = 1.0
    results = await _burst(client, _MAX_UNPROVEN_CALLS + 1)
    refused = [r for r in results if isinstance(r, errors.LeafError)]
    assert [r.code for r in refused] == [errors.ErrorCode.LEAF_UNREACHABLE]
    assert refused[0].ran is errors.Ran.NOT_RUN
