"""Guards against a burst of calls to a leaf that restarted while idle.

Seen in tests/integration/test_slot_limits.py: the owner noticed the restart by
the first answer only, and had sent more calls by then than a cold leaf bears.
"""

import asyncio
import datetime

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import settings
from sassafrashold.leafs import client as leaf_client

_BOUND = 2


class _Leaf:
    """Answers after a while and counts the calls that run at once."""

    def __init__(self):
        self.running = 0
        self.most = 0
        self.fails = False
        self.work_s = 0.02

    async def handle(self, _request):
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(self.work_s)
        self.running -= 1
        if self.fails:
            return web.Response(status=500)
        return web.json_response(
            {"generation": "g", "index_version": "v", "items": []}
        )


@pytest.fixture
async def world():
    leaf = _Leaf()
    server = web.Server(leaf.handle)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client = leaf_client.LeafClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]),
        8,
        clock_lib.SystemClock(),
        _BOUND,
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


async def test_calls_on_new_connections_are_bounded_until_one_is_answered(
    world,
):
    leaf, server, client = world
    for _ in range(4):
        await _burst(client)
    leaf.most = 0
    for connection in list(server.connections):
        connection.force_close()
    await asyncio.sleep(0.05)
    await _burst(client)
    assert leaf.most <= _BOUND


async def test_calls_on_proven_connections_are_not_bounded(world):
    leaf, _, client = world
    for _ in range(6):
        await _burst(client)
    leaf.most = 0
    await _burst(client)
    assert leaf.most > _BOUND


async def test_failed_calls_free_their_place(world):
    leaf, _, client = world
    leaf.fails = True
    results = await _burst(client)
    assert all(isinstance(r, errors.LeafError) for r in results)
    leaf.fails = False
    await _query(client, 9)


async def test_cancelled_calls_free_their_place(world):
    _, _, client = world
    calls = [asyncio.create_task(_query(client, n)) for n in range(6)]
    await asyncio.sleep(0.01)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    async with asyncio.timeout(2):
        await _burst(client)


async def test_a_call_that_found_no_place_says_that_it_was_not_sent(world):
    """Its caller was told that the outcome is unknown."""
    leaf, _, client = world
    leaf.work_s = 1.0
    results = await _burst(client, _BOUND + 1)
    refused = [r for r in results if isinstance(r, errors.LeafError)]
    assert [r.code for r in refused] == [errors.ErrorCode.LEAF_UNREACHABLE]
    assert refused[0].ran is errors.Ran.NOT_RUN
