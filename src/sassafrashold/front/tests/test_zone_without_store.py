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
_START = relay.Position(1, 1)
_TOPICS = ("configuration", "leafs", "zones_out")


class _View:
    def __init__(self, complete):
        self.is_complete = complete
        self.store_unavailable = False
        self.mirror_by_topic = {name: relay.Mirror() for name in _TOPICS}
        if complete:
            for mirror in self.mirror_by_topic.values():
                mirror.apply(relay.Batch((), _START, is_snapshot=True))

    def apply_batch(self, _name, _batch):
        self.is_complete = True

    def set_store_unavailable(self, unavailable):
        self.store_unavailable = unavailable


class _Store:
    """A store that fails, and counts the hosts that call it."""

    def __init__(self):
        self.hosts = set()

    def topics(self, host):
        async def fail(*_args):
            self.hosts.add(host)
            raise errors.StoreError(errors.ErrorCode.UNAVAILABLE, "down")

        return SimpleNamespace(
            eras=relay.LatestEra(),
            **{
                name: SimpleNamespace(
                    name=name, snapshot=fail, changes=fail, stale_changes=fail
                )
                for name in _TOPICS
            },
        )


class _WorkingStore:
    """A store that answers, without any changes."""

    def topics(self):
        async def snapshot():
            return relay.Batch((), _START, is_snapshot=True)

        async def changes(position, wait):
            await asyncio.sleep(wait.total_seconds())
            return relay.Batch((), position)

        async def stale_changes(position):
            return relay.Batch((), position)

        return SimpleNamespace(
            eras=relay.LatestEra(),
            **{
                name: SimpleNamespace(
                    name=name,
                    snapshot=snapshot,
                    changes=changes,
                    stale_changes=stale_changes,
                )
                for name in _TOPICS
            },
        )


class _SilentHosts:
    """Sources without power: calls to them get no answer until they time out.

    The host `alive`, if set, answers each poll after 0.1 s.
    """

    def __init__(self):
        self.alive = None
        self.open_polls = 0
        self.last_answer_at = 0.0

    async def follow_once(self, address, *, direct=False):
        self.open_polls += 1
        try:
            if self.alive is None or address != self.alive.address:
                await asyncio.sleep(1.5)
                raise errors.StoreError(errors.ErrorCode.UNAVAILABLE, "silent")
            await asyncio.sleep(0.1)
            self.last_answer_at = asyncio.get_running_loop().time()
        finally:
            self.open_polls -= 1


class _FailingStore(_WorkingStore):
    """A store that fails while `error` is set."""

    def __init__(self):
        self.error = None

    def topics(self):
        working = super().topics()

        def failing(call):
            async def call_or_fail(*args):
                if self.error is not None:
                    raise self.error
                return await call(*args)

            return call_or_fail

        for name in _TOPICS:
            topic = getattr(working, name)
            topic.snapshot = failing(topic.snapshot)
            topic.changes = failing(topic.changes)
            topic.stale_changes = failing(topic.stale_changes)
        return working


class _Client:
    """Behaves as the sources do: `failure` is raised while it is set."""

    def __init__(self, view, failure):
        self._view = view
        self.failure = failure
        self.polls = 0

    async def follow_once(self, _address, *, direct=False):
        self.polls += 1
        failure = self.failure
        if failure is not None:
            await asyncio.sleep(0.001)
            raise failure
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


def _sourcing_with(client, complete=True):
    sourcing = _sourcing.Sourcing(
        cast(Any, _View(complete)),
        cast(Any, _WorkingStore().topics()),
        cast(Any, client),
        (),
        random.Random(1),
    )
    sourcing.set_sources(_SOURCES[:3], 4)
    return sourcing


async def test_host_whose_sources_are_silent_reads_the_store_all_the_time():
    # Guards against a host that acts on an old configuration for 4.5 s, again
    # and again: it waited for each lost source in turn, and then once more.
    sourcing = _sourcing_with(_SilentHosts())
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: sourcing.reads_store, "reads the store", 2.5)
    loop = asyncio.get_running_loop()
    end = loop.time() + 9
    longest_gap = 0.0
    last_read_at = loop.time()
    while loop.time() < end:
        now = loop.time()
        if sourcing.reads_store:
            last_read_at = now
        longest_gap = max(longest_gap, now - last_read_at)
        await asyncio.sleep(0.02)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert longest_gap < 0.5


async def test_host_follows_the_source_that_is_left_without_a_long_silence():
    # Guards against silent hosts that are waited for one after the other.
    client = _SilentHosts()
    client.alive = _SOURCES[2]
    sourcing = _sourcing_with(client)
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: client.last_answer_at > 0, "is followed", 2)
    first_answer_at = client.last_answer_at
    # The host that answers is asked first from now on.
    await asyncio.sleep(0.5)
    assert client.last_answer_at > first_answer_at
    assert loop.time() - client.last_answer_at < 0.4
    assert client.open_polls == 1
    assert not sourcing.reads_store
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_starting_host_whose_sources_are_silent_reads_the_store_soon():
    # Guards against a host that starts without a configuration for 4.5 s after
    # its zone has lost the other hosts.
    sourcing = _sourcing_with(_SilentHosts(), complete=False)
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: sourcing.reads_store, "reads the store", 3.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_host_that_reads_the_store_follows_again_when_a_source_is_back():
    client = _SilentHosts()
    sourcing = _sourcing_with(client)
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: sourcing.reads_store, "reads the store", 5)
    client.alive = _SOURCES[1]
    await _waiting.until(
        lambda: not sourcing.reads_store and client.last_answer_at > 0,
        "follows again",
        10,
    )
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_host_that_follows_again_in_an_outage_knows_the_store_by_it():
    # Guards against leafs whose entries lapse being kept for good: the host
    # went on as in an outage after it had begun to follow another host.
    store = _FailingStore()
    client = _SilentHosts()
    view = _View(complete=True)
    sourcing = _sourcing.Sourcing(
        cast(Any, view),
        cast(Any, store.topics()),
        cast(Any, client),
        (),
        random.Random(1),
    )
    sourcing.set_sources(_SOURCES[:3], 4)
    task = asyncio.create_task(sourcing.run())
    await _waiting.until(lambda: sourcing.reads_store, "reads the store", 5)
    store.error = errors.StoreError(errors.ErrorCode.UNAVAILABLE, "down")
    await _waiting.until(lambda: view.store_unavailable, "store lost", 5)
    client.alive = _SOURCES[1]
    await _waiting.until(
        lambda: client.last_answer_at > 0 and not view.store_unavailable,
        "store known by the other host",
        10,
    )
    # It reads the store itself again, which is still down.
    client.alive = None
    await _waiting.until(lambda: view.store_unavailable, "store lost", 5)
    store.error = None
    await _waiting.until(lambda: not view.store_unavailable, "store back", 5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


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
        mirror.apply(
            relay.Batch((relay.Document("a", 1, False),), relay.Position(1, 2))
        )
    server = _peers.PeerServer(cast(Any, view), lambda: reads, lambda: relays)
    query = dict.fromkeys(_TOPICS, str(_START)) | (
        {"direct": ""} if direct else {}
    )
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
