"""Guards against putting a configuration in force before its leafs are known.

After an outage of the store, a configuration with a new set of shards may be
read before the entries of their leafs. In incident inc-bfa9 it was read 160 ms
earlier, and 54 requests failed because their shards had no leafs.
"""

import dataclasses
import datetime
import random
from typing import Any

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.calls.tests import call_world
from sassafrashold.front import _view

MS = call_world.MS


class _Topic:
    """Topic whose documents hold already decoded values."""

    def __init__(self, name):
        self.name = name

    def decode(self, documents):
        return tuple(document.content for document in documents)


class _Pool:
    def close_leaf_connections(self, ref):
        pass


class _World:
    def __init__(self):
        self.calls = call_world.World(shards=2)
        self.clock = clock_lib.ManualClock()
        self.table = routing.RouteTable(random.Random(1))
        topics: Any = [
            *(_Topic(name) for name in ("configuration", "leafs", "zones_out")),
            relay.LatestEra(),
        ]
        pool: Any = _Pool()
        self.view = _view.View(
            _view.Topics(*topics),
            self.table,
            self.calls.directory,
            self.calls.state,
            pool,
            self.clock,
        )
        self.revision = 0
        self.configure(1, ("s0", "s1"))

    def _apply_document(self, topic, content):
        self.revision += 1
        self.view.apply_batch(
            topic,
            relay.Batch(
                (relay.Document("x", content),),
                relay.Position(1, self.revision),
            ),
        )

    def configure(self, version, shards):
        route = self.calls.route
        self._apply_document(
            "configuration",
            call_world.configuration(
                version,
                [
                    dataclasses.replace(
                        route, target=routing.Gather(shards, 5, 0.8)
                    )
                ],
            ),
        )

    def list_leaf(self, service):
        self._apply_document(
            "leafs", directory.LeafUpdated(call_world.entry(service, "z1"))
        )

    @property
    def version(self):
        return call_world.must(self.table.current).version


@pytest.fixture
def world():
    return _World()


def test_configuration_waits_until_new_shards_have_leafs(world):
    world.configure(2, ("n0", "n1"))
    assert world.version == 1
    world.list_leaf("n0")
    assert world.version == 1
    world.list_leaf("n1")
    assert world.version == 2


def test_wait_for_leafs_is_bounded(world):
    world.configure(2, ("n0", "n1"))
    world.clock.advance(499 * MS)
    world.view.forget_expired()
    assert world.version == 1
    world.clock.advance(1 * MS)
    world.view.forget_expired()
    assert world.version == 2


def test_later_versions_do_not_extend_the_wait(world):
    world.configure(2, ("n0", "n1"))
    world.clock.advance(300 * MS)
    world.configure(3, ("n0", "n1"))
    world.clock.advance(datetime.timedelta(milliseconds=200))
    world.view.forget_expired()
    assert world.version == 3


def test_version_with_known_shards_is_in_force_at_once(world):
    world.configure(2, ("s1", "s0"))
    assert world.version == 2


def test_version_with_known_shards_replaces_the_waiting_one(world):
    world.configure(2, ("n0", "n1"))
    world.configure(3, ("s0", "s1"))
    assert world.version == 3
    world.list_leaf("n0")
    world.list_leaf("n1")
    assert world.version == 3


def test_leafs_of_a_whole_index_are_logged_in_one_line(world, caplog):
    """500 lines within a second held up requests on 195 hosts."""
    leafs = [call_world.entry(f"n{number}", "z1") for number in range(300)]
    world.revision += 1
    with caplog.at_level("INFO"):
        world.view.apply_batch(
            "leafs",
            relay.Batch(
                (
                    relay.Document("gone", directory.LeafRemoved("i-gone")),
                    *(
                        relay.Document(
                            leaf.ref.leaf_id, directory.LeafUpdated(leaf)
                        )
                        for leaf in leafs
                    ),
                ),
                relay.Position(1, world.revision),
            ),
        )
    (line,) = [r for r in caplog.records if r.message.startswith("leaf")]
    assert len(vars(line)["listed"]) == 300
    assert vars(line)["listed"][0] == "n0-z1 n0 z1"
    assert vars(line)["removed"] == ["i-gone"]


def test_statistics_of_a_removed_route_are_dropped_with_it():
    # Guards against memory that grows with each route that ever existed.
    world = _World()
    state = world.calls.state
    state.latency(world.calls.route)
    removed = dataclasses.replace(world.calls.route, name="removed")
    state.latency(removed)
    # The state of this world knows the routes of its own table.
    world.configure(2, ("s0", "s1"))
    assert set(state._latency_by_route) == {world.calls.route.name}
