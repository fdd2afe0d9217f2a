"""Guards the store against all hosts of a zone that lose their readers.

Pattern: the store fails for some seconds, or all hosts start at the same time.
Each host that no longer got copies read the store itself: 195 hosts made 9,000
calls on a day with an outage of 5.6 s. No network.
"""

import asyncio
import json
import random
from types import SimpleNamespace
from typing import Any
from typing import cast
import zlib

import pytest

from sassafrashold import errors
from sassafrashold import relay
from sassafrashold import settings
from sassafrashold.front import _peers
from sassafrashold.front import _sourcing
from sassafrashold.standins import _waiting

_HOSTS = 38
_SOURCES = tuple(
    relay.Peer(f"reader{i}", "z", settings.Address("10.0.0.1", 80 + i))
    for i in range(4)
)
_TOPICS = ("configuration", "leafs", "zones_out")


class _View:
    def __init__(self, complete):
        self.is_complete = complete
        self.mirror_by_topic = {name: relay.Mirror() for name in _TOPICS}
        for mirror in self.mirror_by_topic.values():
            mirror.apply(relay.Batch((), 1, is_snapshot=True))

    def apply_batch(self, _name, _batch):
        self.is_complete = True

    def set_store_unavailable(self, _unavailable):
        pass


class _Store:
    """A store that fails, and counts the hosts that call it."""

    def __init__(self):
        self.hosts = set()

    def topics(self, host):
        async def fail(*_args):
            self.hosts.add(host)
            raise errors.StoreError(errors.ErrorCode.UNAVAILABLE, "down")

        return SimpleNamespace(
            **{
                name: SimpleNamespace(
                    name=name, snapshot=fail, changes=fail, stale_changes=fail
                )
                for name in _TOPICS
            }
        )


class _Client:
    """Behaves as the sources do: `failure` is raised while it is set."""

    def __init__(self, view, failure):
        self._view = view
        self.failure = failure
        self.polls = 0

    async def follow_once(self, _address, *, direct=False):
        self.polls += 1
        if self.failure is not None:
            await asyncio.sleep(0.001)
            raise self.failure
        self._view.apply_batch("leafs", None)
        await asyncio.sleep(0.05)


def _without_store():
    return errors.SourceWithoutStoreError(errors.ErrorCode.UNAVAILABLE, "503")


class _Zone:
    """The followers of a zone."""

    def __init__(self, failure, complete=True):
        self.store = _Store()
        self.clients = []
        self.views = []
        self._tasks = []
        for host in range(_HOSTS):
            view = _View(complete)
            client = _Client(view, failure)
            sourcing = _sourcing.Sourcing(
                cast(Any, view),
                cast(Any, self.store.topics(host)),
                cast(Any, client),
                (),
                random.Random(host),
            )
            sourcing.set_sources(_SOURCES, _HOSTS)
            self.views.append(view)
            self.clients.append(client)
            self._tasks.append(asyncio.create_task(sourcing.run()))

    def recover(self):
        for client in self.clients:
            client.failure = None

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def test_outage_makes_a_few_hosts_of_a_zone_try_the_store():
    zone = _Zone(_without_store())
    await asyncio.sleep(2)
    tried = len(zone.store.hosts)
    polls = sum(client.polls for client in zone.clients)
    await zone.close()
    # One host a second, chosen at random.
    assert tried <= 8
    # Each host polls its sources a few times a second.
    assert polls <= _HOSTS * (len(_SOURCES) + 2 * 3)


async def test_hosts_whose_sources_are_dead_read_the_store_at_once():
    zone = _Zone(errors.StoreError(errors.ErrorCode.UNAVAILABLE, "refused"))
    await asyncio.sleep(0.3)
    tried = len(zone.store.hosts)
    await zone.close()
    assert tried == _HOSTS


async def test_hosts_whose_sources_die_in_an_outage_read_the_store():
    zone = _Zone(_without_store())
    await asyncio.sleep(0.1)
    for client in zone.clients:
        client.failure = errors.StoreError(
            errors.ErrorCode.UNAVAILABLE, "refused"
        )
    await _waiting.until(
        lambda: len(zone.store.hosts) == _HOSTS, "all hosts ask the store", 5
    )
    await zone.close()


async def test_starting_hosts_wait_for_sources_that_start_as_well():
    zone = _Zone(_without_store(), complete=False)
    await asyncio.sleep(0.15)
    zone.recover()
    await asyncio.sleep(0.3)
    await zone.close()
    assert all(view.is_complete for view in zone.views)
    assert not zone.store.hosts


async def test_starting_hosts_do_not_wait_for_long():
    zone = _Zone(_without_store(), complete=False)
    await _waiting.until(
        lambda: len(zone.store.hosts) == _HOSTS, "all hosts ask the store", 5
    )
    await zone.close()


@pytest.mark.parametrize(
    ("reads", "relays", "direct", "status"),
    [
        (True, True, False, 200),
        (True, True, True, 200),
        (False, True, False, 200),
        (False, True, True, 503),
        (False, False, False, 503),
    ],
)
async def test_host_that_the_store_turns_away_relays_but_never_in_a_circle(
    reads, relays, direct, status
):
    view = _View(complete=True)
    for mirror in view.mirror_by_topic.values():
        mirror.apply(relay.Batch((relay.Document("a", 1, False),), 2))
    server = _peers.PeerServer(cast(Any, view), lambda: reads, lambda: relays)
    query = dict.fromkeys(_TOPICS, "1") | ({"direct": ""} if direct else {})
    request = SimpleNamespace(
        path=_peers.FOLLOW_PATH, rel_url=SimpleNamespace(query=query)
    )
    response = await server.handle(cast(Any, request))
    assert response.status == status
    if status == 200:
        changes = json.loads(zlib.decompress(cast(Any, response).body))
        assert set(changes) == set(_TOPICS)


async def test_relaying_ends_with_the_host_that_is_followed():
    view = _View(complete=True)
    client = _Client(view, None)
    sourcing = _sourcing.Sourcing(
        cast(Any, view),
        cast(Any, _Store().topics("h")),
        cast(Any, client),
        (),
        random.Random(1),
    )
    sourcing.set_sources((), 3)
    sourcing.set_other_hosts(_SOURCES)
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: sourcing.relays_store, "relays the store", 5)
    assert not sourcing.reads_store
    client.failure = _without_store()
    await _waiting.until(
        lambda: not sourcing.relays_store, "relays the store no more", 5
    )
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
