import asyncio
import contextlib
import datetime

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold.store import http
from sassafrashold.store.tests import fake_http

_CLOCK = clock_lib.SystemClock()
_NOT_RUN = errors.Ran.NOT_RUN
_UNKNOWN = errors.Ran.OUTCOME_UNKNOWN
_UNAVAILABLE = errors.ErrorCode.STORE_UNAVAILABLE
_AMBIGUOUS = errors.ErrorCode.STORE_AMBIGUOUS
_CONFLICT = errors.ErrorCode.STORE_CONFLICT


@contextlib.asynccontextmanager
async def _gateway(store):
    handlers = store_lib.gateway_handlers(store, store)
    server = rpc.Server(handlers, _CLOCK)
    client = rpc.Client(
        await server.start(settings.Address("127.0.0.1", 0)), _CLOCK
    )
    try:
        yield store_lib.GatewayStore(client, _CLOCK), server
    finally:
        await client.close()
        await server.close()


@contextlib.asynccontextmanager
async def _http(store):
    async with fake_http.serving(fake_http.application(store)) as address:
        client = http.HttpPlatform(address, _CLOCK)
        try:
            yield client
        finally:
            await client.close()


@contextlib.asynccontextmanager
async def _serving_answers(*answers):
    """Serves raw answers in turn; None closes the connection instead."""
    requests = []
    pending = list(answers)

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: 1" in head:
                    await reader.readexactly(1)
                requests.append(head.split(b" ", 1)[0].decode())
                answer = pending.pop(0) if len(pending) > 1 else pending[0]
                if answer is None:
                    break
                writer.write(
                    b"HTTP/1.1 " + answer + b"\r\nContent-Length: 0\r\n\r\n"
                )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    client = http.HttpPlatform(settings.Address(ip, port), _CLOCK)
    try:
        yield client, requests
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize(
    ("answer", "code", "ran"),
    [
        (None, _AMBIGUOUS, _UNKNOWN),
        (b"503 Busy", _AMBIGUOUS, _UNKNOWN),
        (b"500 Oops", _AMBIGUOUS, _UNKNOWN),
        (b"200 OK", _AMBIGUOUS, _UNKNOWN),
        (b"429 Slow down", _UNAVAILABLE, _NOT_RUN),
        (b"404 Gone", _CONFLICT, _NOT_RUN),
        (b"408 Slow", _AMBIGUOUS, _UNKNOWN),
        (b"422 No", _UNAVAILABLE, _NOT_RUN),
        (b'412 No\r\nETag: "9"', _CONFLICT, _NOT_RUN),
    ],
)
async def test_http_write_is_sent_once_with_exact_outcome(answer, code, ran):
    async with _serving_answers(answer) as (client, requests):
        with pytest.raises(errors.StoreError) as caught:
            await client.put("k", b"x", 3)
    assert (caught.value.code, caught.value.ran) == (code, ran)
    assert requests == ["PUT"]


async def test_write_on_reused_connection_is_not_resent():
    async with _serving_answers(b'200 OK\r\nETag: "1"', None) as (
        client,
        requests,
    ):
        assert await client.put("k", b"x", 0) == 1
        with pytest.raises(errors.StoreError) as caught:
            await client.put("k", b"x", 1)
    assert caught.value.ran is _UNKNOWN
    assert requests == ["PUT", "PUT"]


async def test_read_attempts_are_bounded():
    ok = b'200 OK\r\nETag: "4"'
    async with _serving_answers(None, b"503 Busy", ok) as (client, requests):
        assert await client.get("k") == store_lib.Stored("k", 4, b"")
        assert requests == ["GET"] * 3
    async with _serving_answers(b"503 Busy") as (client, requests):
        with pytest.raises(errors.StoreError) as caught:
            await client.get("k")
        assert caught.value.code is _UNAVAILABLE
        assert requests == ["GET"] * 3


async def test_read_is_not_retried_while_store_is_slow(monkeypatch):
    monkeypatch.setattr(
        http, "_READ_TIMEOUT", datetime.timedelta(milliseconds=300)
    )
    requests = []

    async def never(request):
        requests.append(request.path)
        await asyncio.sleep(5)

    app = web.Application()
    app.router.add_get("/{path:.*}", never)
    async with fake_http.serving(app) as address:
        client = http.HttpPlatform(address, _CLOCK)
        started = _CLOCK.monotonic()
        with pytest.raises(errors.StoreError) as caught:
            await client.get("k")
        elapsed = _CLOCK.monotonic() - started
        await client.close()
    assert caught.value.code is _UNAVAILABLE
    assert requests == ["/v1/objects/k"]
    assert elapsed < datetime.timedelta(seconds=2)


async def test_write_to_closed_port_is_not_run():
    async with _serving_answers(None) as (client, _):
        pass
    with pytest.raises(errors.StoreError) as caught:
        await client.put("k", b"x", 0)
    assert (caught.value.code, caught.value.ran) == (_UNAVAILABLE, _NOT_RUN)
    await client.close()


@pytest.mark.parametrize(
    ("fault", "expected_version", "code", "ran"),
    [
        (store_lib.Fault.DOWN, 1, _UNAVAILABLE, _NOT_RUN),
        (store_lib.Fault.LOST_ANSWER, 1, _AMBIGUOUS, _UNKNOWN),
        (store_lib.Fault.LOST_REQUEST, 1, _AMBIGUOUS, _UNKNOWN),
        (store_lib.Fault.NONE, 7, _CONFLICT, _NOT_RUN),
    ],
)
async def test_gateway_preserves_write_outcome(
    fault, expected_version, code, ran
):
    store = store_lib.MemoryStore()
    await store.put("k", b"a", 0)
    async with _gateway(store) as (client, _):
        for write in (
            client.put("k", b"b", expected_version),
            client.delete("k", expected_version),
        ):
            store.faults.append(fault)
            with pytest.raises(errors.StoreError) as caught:
                await write
            assert (caught.value.code, caught.value.ran) == (code, ran)
            await _reset(store)


async def _reset(store):
    stored = store.current("k")
    if stored is None or stored.version != 1:
        store.__init__()
        await store.put("k", b"a", 0)


async def test_write_is_ambiguous_when_gateway_fails():
    class Broken(store_lib.MemoryStore):
        async def put(self, key, value, expected_version):
            if key == "bug":
                raise RuntimeError("after the write")
            await server.close()
            await asyncio.sleep(5)

    async with _gateway(Broken()) as (client, server):
        for key in ("bug", "death"):
            with pytest.raises(errors.StoreError) as caught:
                await client.put(key, b"x", 0)
            assert caught.value.code is _AMBIGUOUS
        with pytest.raises(errors.StoreError) as caught:
            await client.put("none", b"x", 0)
        assert (caught.value.code, caught.value.ran) == (_UNAVAILABLE, _NOT_RUN)


async def _check_store_protocol(store):
    key = "claims/s/a%2Fb c?d#ü"
    wait = datetime.timedelta(seconds=5)
    watch = asyncio.create_task(store.watch(key, 0, wait))
    assert await store.get(key) is None
    assert await store.put(key, b"1", 0) == 1
    assert await store.watch(key, 0, wait) == store_lib.Stored(key, 1, b"1")
    later = asyncio.create_task(store.watch(key, 1, wait))
    await asyncio.sleep(0)
    assert await store.put(key, b"2", 1) == 2
    assert await later == store_lib.Stored(key, 2, b"2")
    with pytest.raises(errors.StoreConflictError) as conflict:
        await store.put(key, b"3", 1)
    assert conflict.value.found == 2
    assert await store.list("claims/") == {key: 2}
    assert await store.host_list() == (0, b'{"as_of_unix_ms":0,"hosts":[]}')
    await store.delete(key, 2)
    assert await store.list("") == {}
    assert await store.put(key, b"4", 0) > 2
    with pytest.raises(errors.StoreError) as caught:
        await store.put(key, b"x" * 1_000_001, 3)
    assert caught.value.ran is _NOT_RUN
    await asyncio.wait_for(watch, 5)


async def test_all_stores_implement_the_protocol():
    await _check_store_protocol(store_lib.MemoryStore())
    async with _gateway(store_lib.MemoryStore()) as (client, _):
        await _check_store_protocol(client)
    async with _http(store_lib.MemoryStore()) as client:
        await _check_store_protocol(client)


async def test_empty_watch_takes_at_least_its_wait():
    async with _http(store_lib.MemoryStore()) as client:
        started = _CLOCK.monotonic()
        wait = datetime.timedelta(milliseconds=200)
        assert await client.watch("absent", 0, wait) is None
        assert _CLOCK.monotonic() - started >= wait
