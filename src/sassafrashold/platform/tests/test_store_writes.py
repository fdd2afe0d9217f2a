"""Guards writes to the store: none may be lost, and each call has a price."""

from aiohttp import test_utils
import pytest

from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.platform import store_client
from sassafrashold.standins import objects_store


@pytest.mark.parametrize(
    ("listed", "guess", "calls"),
    [
        (False, False, 1),
        (False, True, 2),
        (True, False, 2),
        (True, True, 1),
    ],
)
async def test_object_is_written_whether_or_not_it_exists(listed, guess, calls):
    store = objects_store.ObjectsStore()
    if listed:
        await store.put("k", "n", {"value": 1})
    async with test_utils.TestServer(store.application()) as server:
        assert server.port is not None
        client = store_client.StoreClient(
            settings.Address("127.0.0.1", server.port), relay.LatestEra()
        )
        await client.put("k", "n", {"value": 2}, exists=guess)
        assert client.calls == calls
        found = await client.list("k")
        await client.close()
    assert [item.spec for item in found.objects] == [{"value": 2}]
