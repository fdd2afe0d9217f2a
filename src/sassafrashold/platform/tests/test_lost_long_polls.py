"""Guards against hosts that miss changes after the store has lost calls.

Pattern: the store gives no answer to the calls of half a second and serves all
others, so that no probe fails. Hosts waited 26 s for these long polls and sent
requests to leafs that had left.
"""

import asyncio
import random
from typing import Any
from typing import cast

from aiohttp import web

from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _sourcing
from sassafrashold.front import _view
from sassafrashold.platform import store_client
from sassafrashold.platform import topics
from sassafrashold.standins import _waiting
from sassafrashold.standins import objects_store

_KINDS = ("config", "servers", "evacuations")
# Bounds of the platform's rules. A leaf that drains is a last resort for 0.6 of
# its time from when that is noticed, so it has to be noticed in the rest.
_STABLE_WINDOW_S = 4.0
_DRAIN_S = 3.0
_NOTICE_S = _DRAIN_S * 0.4
# Shorter than the interval of the probes, and long enough for all long polls
# to be repeated after a change.
_SILENCE_S = 0.6


class _View:
    """Copies of the topics, without anything derived from them."""

    is_complete = True

    def __init__(self, names):
        self.mirror_by_topic = {name: relay.Mirror() for name in names}

    def apply_batch(self, topic, batch):
        self.mirror_by_topic[topic].apply(batch)

    def set_store_unavailable(self, unavailable):
        assert not unavailable, "the silence was meant to go unnoticed"

    def values(self):
        return {
            name: [document.content["spec"] for document in batch.documents]
            for name, mirror in self.mirror_by_topic.items()
            if (batch := mirror.changes_since(None)) is not None
        }


async def _put_all(store, value):
    for kind in _KINDS:
        await store.put(kind, "x", value)


async def test_changes_are_noticed_in_time_after_the_store_lost_long_polls():
    store = objects_store.ObjectsStore()
    runner = web.AppRunner(
        store.application(), shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    eras = relay.LatestEra()
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]), eras
    )
    followed = _view.Topics(
        topics.ConfigurationTopic(client),
        topics.LeafTopic(client),
        topics.ZonesOutTopic(client),
        eras,
    )
    names = (
        followed.configuration.name,
        followed.leafs.name,
        followed.zones_out.name,
    )
    view = _View(names)
    sourcing = _sourcing.Sourcing(
        cast(Any, view), followed, cast(Any, None), (), random.Random(1)
    )
    sourcing.set_sources((), 1)

    def all_have(value):
        return view.values() == {name: [value] for name in names}

    await _put_all(store, "first")
    task = asyncio.create_task(sourcing.run())
    try:
        await _waiting.until(lambda: all_have("first"), "all topics read", 5)
        await _put_all(store, "second")
        await _waiting.until(lambda: all_have("second"), "changes read", 5)
        store.loses_calls = True
        await asyncio.sleep(_SILENCE_S)
        store.loses_calls = False
        await asyncio.sleep(_STABLE_WINDOW_S)
        await _put_all(store, "third")
        await _waiting.until(
            lambda: all_have("third"), "later changes read", _NOTICE_S
        )
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await client.close()
        await runner.cleanup()
