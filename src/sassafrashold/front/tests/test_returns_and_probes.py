"""Guards against probes that disturb the reading after the store's return."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any
from typing import cast

from aiohttp import web

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _sourcing
from sassafrashold.platform import store_client
from sassafrashold.platform import topics as platform_topics

_TOPICS = ("configuration", "leafs", "zones_out")


class _View:
    def __init__(self, position=None):
        self.mirror_by_topic = {name: relay.Mirror() for name in _TOPICS}
        self.store_unavailable = []
        for mirror in self.mirror_by_topic.values():
            if position is not None:
                mirror.apply(relay.Batch((), position, is_snapshot=True))

    @property
    def is_complete(self):
        return all(m.position for m in self.mirror_by_topic.values())

    def apply_batch(self, name, batch):
        self.mirror_by_topic[name].apply(batch)

    def set_store_unavailable(self, unavailable):
        self.store_unavailable.append(unavailable)


class _Store:
    """A store whose stale reads are `lag` seconds old; one change each 0.1 s.

    Watches from revisions that a replica does not have yet get 410.
    """

    def __init__(self, eras, era, lag=0.0):
        self.eras = eras
        self.era = era
        self.lag = lag
        self.snapshots = 0
        self.start = asyncio.get_running_loop().time()

    def _head(self, age=0.0):
        now = asyncio.get_running_loop().time() - self.start
        return 1000 + int((now - age) * 10)

    def topic(self, name):
        return SimpleNamespace(
            name=name,
            snapshot=self.snapshot,
            changes=self.changes,
            stale_changes=self.stale_changes,
        )

    def topics(self):
        return SimpleNamespace(
            eras=self.eras, **{name: self.topic(name) for name in _TOPICS}
        )

    async def snapshot(self):
        self.snapshots += 1
        await asyncio.sleep(0.005)
        self.eras.note(self.era)
        position = relay.Position(self.era, self._head())
        return relay.Batch((), position, is_snapshot=True)

    async def changes(self, position, wait):
        await asyncio.sleep(wait.total_seconds())
        self.eras.note(self.era)
        return relay.Batch(
            (),
            relay.Position(self.era, self._head()),
            since=relay.Position(self.era, position.revision),
        )

    async def stale_changes(self, position):
        await asyncio.sleep(0.005)
        self.eras.note(self.era)
        if position.revision > self._head(self.lag):
            raise errors.HistoryGoneError("config")
        return relay.Batch((), relay.Position(self.era, self._head(self.lag)))


def _sourcing_of(view, topics):
    return _sourcing.Sourcing(
        cast(Any, view),
        cast(Any, topics),
        cast(Any, None),
        (),
        random.Random(1),
    )


async def _run_for(sourcing, seconds):
    sourcing.start_without_peers()
    task = asyncio.create_task(sourcing.run())
    await asyncio.sleep(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_probe_of_a_replica_that_lags_does_not_read_all_each_second():
    store = _Store(relay.LatestEra(), era=1, lag=2.0)
    view = _View()
    sourcing = _sourcing_of(view, store.topics())
    await _run_for(sourcing, 6.5)
    assert store.snapshots <= 2 * len(_TOPICS)


async def test_first_era_seen_after_a_seed_copy_ends_the_long_polls():
    # Copies of a seed from before the return, and a store that answers first
    # after it: changes are due within 3 s, a long poll takes 3.5 s.
    store = _Store(relay.LatestEra(), era=2)
    view = _View(relay.Position(1, 900))
    sourcing = _sourcing_of(view, store.topics())
    await _run_for(sourcing, 2.5)
    eras = {
        mirror.position and mirror.position.era
        for mirror in view.mirror_by_topic.values()
    }
    assert eras == {2}


async def test_stale_answer_from_before_the_return_is_no_outage():
    async def answer(request):
        if "serializable" in request.rel_url.query:
            body, era = b'{"events": [], "as_of": 100}', "1"
        elif "watch" in request.rel_url.query:
            await asyncio.sleep(1)
            body, era = b'{"events": [], "as_of": 95}', "2"
        else:
            body, era = b'{"items": [], "as_of": 95}', "2"
        return web.Response(body=body, headers={"Store-Era": era})

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    eras = relay.LatestEra()
    client = store_client.StoreClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]), eras
    )
    view = _View()
    topics = SimpleNamespace(
        eras=eras,
        configuration=platform_topics.ConfigurationTopic(client),
        leafs=platform_topics.LeafTopic(client),
        zones_out=platform_topics.ZonesOutTopic(client),
    )
    sourcing = _sourcing_of(view, topics)
    await _run_for(sourcing, 2.5)
    await client.close()
    await runner.cleanup()
    assert True not in view.store_unavailable
