"""Guards the store semantics and faults that other tests rely on."""

import asyncio
import datetime
import json

import aiohttp
from aiohttp import test_utils
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold.standins import _platform_server
from sassafrashold.standins import _store
from sassafrashold.standins import _waiting

_SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
async def platform():
    clock = clock_lib.ManualClock(
        datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    )
    hosts = _store.HostList(
        clock, (_store.HostLine("h", "z", "live"),), _SECOND, _SECOND
    )
    served = _platform_server.Platform(
        _store.Store(clock), hosts, clock, seed=1
    )
    async with test_utils.TestClient(
        test_utils.TestServer(served.application())
    ) as client:
        yield served, client, clock


async def _call(client, method, key="k", headers=None, data=None):
    async with client.request(
        method, f"/v1/objects/{key}", headers=headers or {}, data=data
    ) as response:
        etag = response.headers.get("ETag")
        return response.status, etag, await response.read()


async def test_version_is_not_reused_after_a_delete(platform):
    _, client, _ = platform
    create = {"If-None-Match": "*"}
    assert (await _call(client, "PUT", headers=create, data=b"a"))[1] == '"1"'
    assert (await _call(client, "PUT", headers=create, data=b"b"))[:2] == (
        412,
        '"1"',
    )
    removed = await _call(client, "DELETE", headers={"If-Match": '"1"'})
    assert removed[0] == 204
    assert (await _call(client, "GET"))[0] == 404
    stale = await _call(client, "PUT", headers={"If-Match": '"1"'}, data=b"c")
    assert stale[:2] == (412, '"0"')
    assert (await _call(client, "PUT", headers=create, data=b"d"))[1] == '"3"'


async def test_watch_returns_the_change_and_counts_as_one_call(platform):
    served, client, _ = platform
    served.change("k", b"a", None)
    watch = asyncio.create_task(
        _call(
            client,
            "GET",
            headers={"If-None-Match": '"1"', "Prefer": "wait=10"},
        )
    )
    await _waiting.until(lambda: served.count_by_kind["watch"] > 0, "watch")
    await _call(client, "PUT", headers={"If-Match": '"1"'}, data=b"b")
    assert await watch == (200, '"2"', b"b")
    assert dict(served.count_by_kind) == {"watch": 1, "put": 1}


async def test_watch_without_a_change_ends_with_304(platform):
    served, client, _ = platform
    served.change("k", b"a", None)
    headers = {"If-None-Match": '"1"', "Prefer": "wait=0.01"}
    assert (await _call(client, "GET", headers=headers))[:2] == (304, '"1"')


async def test_lost_answer_takes_effect(platform):
    served, client, _ = platform
    served.faults = served.faults.with_changes({"lost_answers": 1})
    with pytest.raises(aiohttp.ClientError):
        await _call(client, "PUT", data=b"a")
    assert served.store.get("k").value == b"a"
    assert (await _call(client, "PUT", data=b"b"))[0] == 200


async def test_stale_read_gives_the_older_version(platform):
    served, client, clock = platform
    served.change("k", b"old", None)
    clock.advance(_SECOND)
    served.change("k", b"new", None)
    served.faults = served.faults.with_changes({"stale_ms": 500})
    assert await _call(client, "GET") == (200, '"1"', b"old")


@pytest.mark.parametrize(
    ("faults", "status"),
    [({"down": "error"}, 503), ({"reads_per_second": 0.001}, 429)],
)
async def test_down_and_rate_limits_refuse(platform, faults, status):
    served, client, _ = platform
    served.faults = served.faults.with_changes(faults)
    assert (await _call(client, "GET"))[0] == status


async def test_value_above_one_megabyte_is_refused(platform):
    _, client, _ = platform
    assert (await _call(client, "PUT", data=b"x" * 1_000_001))[0] == 413


async def test_host_list_lags_and_its_time_grows(platform):
    served, client, clock = platform

    async def states():
        async with client.get("/v1/hosts") as response:
            body = json.loads(await response.read())
        return body["as_of_unix_ms"], [h["state"] for h in body["hosts"]]

    first, before = await states()
    served.hosts.set((_store.HostLine("h", "z", "leaving"),))
    clock.advance(_SECOND / 2)
    assert (await states()) == (first, before)
    clock.advance(_SECOND)
    assert await states() == (first + 1000, ["leaving"])
