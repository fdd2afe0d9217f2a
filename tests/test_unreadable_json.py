"""Guards processes against JSON that Python's parser can't read.

Text that is nested very deeply ends the parser with a `RecursionError`, and
numbers of thousands of digits or without a finite value fail when they are
converted. Where that was not expected, a background task ended.
"""

import contextlib
from types import SimpleNamespace
from typing import Any
from typing import cast

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.entry import _responses
from sassafrashold.entry import _status
from sassafrashold.front import _peers
from sassafrashold.leafs import client as leaf_client
from sassafrashold.logs import _lines
from sassafrashold.store import http

_CLOCK = clock_lib.SystemClock()
_DEEP = b"[" * 100_000
_LONG = b"9" * 5000
_UNREADABLE = pytest.mark.parametrize(
    "data", [_DEEP, b'{"a":' * 100_000, _LONG], ids=["list", "object", "long"]
)


@contextlib.asynccontextmanager
async def _serving(data, headers=None):
    async def answer(_request):
        return web.Response(body=data, headers=headers)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield settings.Address("127.0.0.1", runner.addresses[0][1])
    finally:
        await runner.cleanup()


@_UNREADABLE
async def test_health_report_that_cannot_be_read_is_none(data):
    async with _serving(data) as address:
        client = leaf_client.LeafClient(address, 1, _CLOCK, 1)
        assert await client.health() is None
        assert not await client.cancel("r")
        await client.close()


@pytest.mark.parametrize(
    "data",
    [
        _DEEP,
        _LONG,
        b'{"objects": [{"key": "k", "version": 1e999}]}',
        b'{"as_of_unix_ms": 1e999}',
    ],
    ids=["nested", "long", "infinite version", "infinite time"],
)
async def test_lists_of_the_store_that_cannot_be_read_are_store_errors(data):
    async with _serving(data) as address:
        store = http.HttpPlatform(address, _CLOCK)
        with pytest.raises(errors.StoreError):
            await store.list("")
        with pytest.raises(errors.StoreError):
            await store.host_list()
        await store.close()


async def test_version_of_thousands_of_digits_is_a_store_error():
    async with _serving(b"{}", {"ETag": '"' + "9" * 5000 + '"'}) as address:
        store = http.HttpPlatform(address, _CLOCK)
        with pytest.raises(errors.StoreError):
            await store.get("k")
        await store.close()


@_UNREADABLE
def test_result_that_cannot_be_read_is_passed_on_as_text(data):
    assert _responses._parsed(data) == data.decode()


@_UNREADABLE
async def test_status_that_cannot_be_read_is_unknown(data):
    async def call(*_args, **_values):
        return wire.encode(wire.messages.StatusReply(value=data.decode()))

    status: Any = object.__new__(_status.Status)
    status._clock = _CLOCK
    facts = await status._ask(
        "owner", cast(rpc.Client, SimpleNamespace(call=call))
    )
    assert [fact["value"] for fact in facts] == [None]


@_UNREADABLE
def test_log_line_that_cannot_be_read_is_skipped(data):
    lines = ['{"message": "a"}', "{" + data.decode(), '{"message": "b"}']
    assert [line.fields["message"] for line in _lines.parse(lines)] == [
        "a",
        "b",
    ]


async def test_position_of_thousands_of_digits_is_not_known():
    server = _peers.PeerServer(
        cast(
            Any,
            SimpleNamespace(
                mirror_by_topic={
                    "leafs": SimpleNamespace(changes_since=lambda _: None)
                }
            ),
        ),
        lambda: False,
        lambda: False,
    )
    request = SimpleNamespace(
        path=_peers.FOLLOW_PATH,
        rel_url=SimpleNamespace(query={"leafs": "1." + "9" * 5000}),
    )
    response = await server.handle(cast(Any, request))
    assert response.status == 503
