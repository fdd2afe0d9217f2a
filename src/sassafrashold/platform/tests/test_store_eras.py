"""Guards against answers of one history of the store read as another's."""

import contextlib
import dataclasses
import datetime
import json
from typing import Any

from aiohttp import web
import pytest

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.standins import objects_store

_NO_WAIT = datetime.timedelta()
_LONG_NUMBERS = ("9" * 19, "9" * 5000)


@dataclasses.dataclass(frozen=True)
class _Answer:
    era: str | None
    body: Any = dataclasses.field(
        default_factory=lambda: {"items": [], "events": [], "as_of": 7}
    )
    status: int = 200


@dataclasses.dataclass(frozen=True)
class _World:
    client: store_client.StoreClient
    eras: relay.LatestEra
    rises: list[int]


@contextlib.asynccontextmanager
async def _serving(runner):
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    eras = relay.LatestEra()
    rises: list[int] = []
    eras.on_rise = rises.append
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]), eras
    )
    try:
        yield _World(client, eras, rises)
    finally:
        await client.close()
        await runner.cleanup()


def _answering(*answers):
    """Serves the given answers, one for each call."""
    waiting = list(answers)

    async def answer(_request):
        chosen = waiting.pop(0)
        headers = {} if chosen.era is None else {"Store-Era": chosen.era}
        return web.Response(
            status=chosen.status,
            body=json.dumps(chosen.body).encode(),
            headers=headers,
        )

    return _serving(web.ServerRunner(web.Server(answer)))


def _page(*names, as_of, more=False):
    return {
        "items": [{"meta": {"name": name}, "spec": {}} for name in names],
        "as_of": as_of,
        "more": more,
    }


async def _list(client):
    return (await client.list("servers")).position


async def _watch(client):
    return (await client.watch("servers", 3, _NO_WAIT)).position


async def _stale_watch(client):
    found = await client.watch("servers", 3, _NO_WAIT, stale=True)
    return found.position


_reads = pytest.mark.parametrize("read", [_list, _watch, _stale_watch])


@_reads
async def test_position_has_the_era_of_the_answer(read):
    async with _answering(_Answer("5"), _Answer("5")) as world:
        for _ in range(2):
            assert await read(world.client) == relay.Position(5, 7)
        assert world.rises == [5]


@_reads
async def test_store_without_the_header_has_era_0(read):
    async with _answering(_Answer(None), _Answer(None)) as world:
        for _ in range(2):
            assert await read(world.client) == relay.Position(0, 7)
        assert world.rises == []


@_reads
async def test_rise_is_told_once_and_before_the_answer_is_used(read):
    async with _answering(
        _Answer("5"), _Answer("6"), _Answer("6"), _Answer("8")
    ) as world:
        eras = [(await read(world.client)).era for _ in range(4)]
        assert (eras, world.rises) == ([5, 6, 6, 8], [5, 6, 8])


@_reads
async def test_answer_of_an_earlier_era_is_refused(read):
    # A call that was on its way when the store came back.
    async with _answering(_Answer("6"), _Answer("5"), _Answer("6")) as world:
        await read(world.client)
        with pytest.raises(errors.StoreError, match="era 5"):
            await read(world.client)
        assert world.eras.value == 6
        assert await read(world.client) == relay.Position(6, 7)


@_reads
async def test_answer_without_the_header_belongs_to_the_latest_era(read):
    async with _answering(_Answer("6"), _Answer(None)) as world:
        await read(world.client)
        assert await read(world.client) == relay.Position(6, 7)
        assert world.rises == [6]


@_reads
@pytest.mark.parametrize(
    "header",
    ["", "x", "-6", "+6", "6.0", "6, 7", "0x6", "1e3", "6_0", *_LONG_NUMBERS],
)
async def test_malformed_header_is_refused(read, header):
    async with _answering(_Answer("5"), _Answer(header)) as world:
        await read(world.client)
        with pytest.raises(errors.StoreError, match="Store-Era"):
            await read(world.client)
        assert (world.eras.value, world.rises) == (5, [5])


async def test_header_of_other_digits_is_refused():
    # int() would read the Arabic-Indic digit.
    async with _answering(_Answer("5"), _Answer("\u0666")) as world:
        await _list(world.client)
        with pytest.raises(errors.StoreError):
            await _list(world.client)
        assert world.eras.value == 5


@pytest.mark.parametrize("second_era", ["6", "4"])
async def test_list_with_pages_of_two_eras_is_not_used(second_era):
    async with _answering(
        _Answer("5", _page("a", as_of=7, more=True)),
        _Answer(second_era, _page("b", as_of=4)),
    ) as world:
        with pytest.raises(errors.StoreError):
            await world.client.list("servers")
        assert world.eras.value == max(5, int(second_era))


async def test_list_with_pages_of_two_eras_is_read_again():
    async with _answering(
        _Answer("5", _page("a", as_of=7, more=True)),
        _Answer("6", _page("b", as_of=4)),
        _Answer("6", _page("a", as_of=4, more=True)),
        _Answer("6", _page("b", as_of=5)),
    ) as world:
        with pytest.raises(errors.HistoryGoneError):
            await world.client.list("servers")
        found = await world.client.list("servers")
        assert [item.name for item in found.objects] == ["a", "b"]
        assert found.position == relay.Position(6, 4)


@pytest.mark.parametrize(
    ("status", "error_type"),
    [
        (410, errors.HistoryGoneError),
        (503, errors.StoreError),
        (429, errors.StoreError),
        (404, errors.StoreError),
        (409, errors.StoreConflictError),
    ],
)
async def test_refusal_tells_of_a_new_era(status, error_type):
    async with _answering(
        _Answer("5"), _Answer("6", {}, status=status)
    ) as world:
        await _watch(world.client)
        with pytest.raises(error_type):
            await _watch(world.client)
        assert world.rises == [5, 6]


async def test_late_410_of_an_earlier_era_does_not_count_as_dropped_history():
    async with _answering(_Answer("6"), _Answer("5", {}, status=410)) as world:
        await _watch(world.client)
        with pytest.raises(errors.StoreError, match="era 5"):
            await _watch(world.client)


async def test_answers_to_writes_tell_of_a_new_era():
    async with _answering(
        _Answer("5"),
        _Answer("6", {}, status=201),
        _Answer("7", {}),
        _Answer("8", {}),
    ) as world:
        await _list(world.client)
        await world.client.put("hosts", "h1", {})
        await world.client.put("hosts", "h1", {}, exists=True)
        await world.client.delete("hosts", "h1")
        assert world.rises == [5, 6, 7, 8]


async def test_object_that_a_return_has_lost_is_created_again():
    # Guards against writes that rely on what the store held before.
    store = objects_store.ObjectsStore()
    async with _serving(web.AppRunner(store.application())) as world:
        older = store.take_copy()
        await world.client.put("hosts", "h1", {"beat": 1})
        await store.restore(older)
        await world.client.put("hosts", "h1", {"beat": 2}, exists=True)
        found = await world.client.list("hosts")
        assert [item.spec for item in found.objects] == [{"beat": 2}]


async def test_object_that_a_return_has_brought_back_is_replaced():
    store = objects_store.ObjectsStore()
    async with _serving(web.AppRunner(store.application())) as world:
        await world.client.put("hosts", "h1", {"beat": 1})
        older = store.take_copy()
        await world.client.delete("hosts", "h1")
        await store.restore(older)
        await world.client.put("hosts", "h1", {"beat": 2})
        found = await world.client.list("hosts")
        assert [item.spec for item in found.objects] == [{"beat": 2}]


async def test_changes_from_an_old_revision_are_not_applied_after_a_return():
    # The store passes the old revision, so that it answers without a 410.
    store = objects_store.ObjectsStore()
    async with _serving(web.AppRunner(store.application())) as world:
        topic = topics.LeafTopic(world.client)
        older = store.take_copy()
        for number in range(3):
            await store.put("servers", "a", {"number": number})
        mirror = relay.Mirror()
        mirror.apply(await topic.snapshot())
        reached = mirror.position
        assert reached is not None
        await store.restore(older)
        for number in range(9):
            await store.put("servers", f"b{number}", {})
        changes = await topic.changes(reached, _NO_WAIT)
        assert changes.documents
        assert not mirror.apply(changes)
        assert mirror.position == reached
        assert mirror.apply(await topic.snapshot())
        assert mirror.position == relay.Position(2, 10)
        assert sorted(document.name for document in mirror.documents) == [
            f"b{number}" for number in range(9)
        ]
