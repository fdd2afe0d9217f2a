"""Guards against copies whose state neither metrics nor log lines show.

In incident inc-44 hosts kept old copies of the store's objects, and their logs
did not tell a store that came back from an older copy from a lost long poll or
from a copy of another host.
"""

import asyncio
import datetime
import logging
import random
from types import SimpleNamespace
from typing import Any

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.calls.tests import call_world
from sassafrashold.front import _metrics
from sassafrashold.front import _request_log
from sassafrashold.front import _requests
from sassafrashold.front import _sourcing
from sassafrashold.front import _view

MS = call_world.MS
_TOPICS = ("configuration", "leafs", "zones_out")
# The rate that docs/OPERATIONS.md states for each kind of line.
_LINES_PER_SECOND = 5
_CHANGES = 200


class _Topic:
    """Topic whose documents hold already decoded values."""

    def __init__(self, name):
        self.name = name
        self.stale_answer: relay.Batch | None = None

    def decode(self, documents):
        return tuple(document.content for document in documents)

    async def stale_changes(self, position):
        return self.stale_answer or relay.Batch((), position)


class _World:
    """The view of a host, without a store."""

    def __init__(self, table=None):
        self.calls = call_world.World()
        self.clock = clock_lib.ManualClock()
        self.eras = relay.LatestEra()
        self.topic_by_name = {name: _Topic(name) for name in _TOPICS}
        topics: Any = (*self.topic_by_name.values(), self.eras)
        self.topics = _view.Topics(*topics)
        pool: Any = SimpleNamespace(close_leaf_connections=lambda ref: None)
        self.view = _view.View(
            self.topics,
            self.calls.table if table is None else table,
            self.calls.directory,
            self.calls.state,
            pool,
            self.clock,
        )

    def apply(self, topic, era, revision, *contents, **fields):
        source = fields.pop("source", _view.STORE)
        self.view.apply_batch(
            topic,
            relay.Batch(
                tuple(
                    relay.Document(f"d{number}", content)
                    for number, content in enumerate(contents)
                ),
                relay.Position(era, revision),
                **fields,
            ),
            source,
        )

    def list_leafs(self, era, revision, *leafs):
        self.apply(
            "leafs",
            era,
            revision,
            *(directory.LeafUpdated(leaf) for leaf in leafs),
            is_snapshot=True,
        )

    def sourcing(self):
        client: Any = None
        return _sourcing.Sourcing(
            self.view, self.topics, client, (), random.Random(1), self.clock
        )

    def metric(self, name, topic):
        metrics = _metrics.FrontMetrics()
        for status in self.view.statuses():
            metrics.set_topic(status)
        start = f'{name}{{topic="{topic}"}} '
        values = [
            float(line.removeprefix(start))
            for line in metrics.render().decode().splitlines()
            if line.startswith(start)
        ]
        return values[0] if values else None


@pytest.fixture
def world():
    return _World()


@pytest.fixture
def lines(caplog):
    """Returns the fields of the lines with a message, in order."""
    caplog.set_level(logging.INFO)

    def find(message):
        return [vars(r) for r in caplog.records if r.message == message]

    return find


def _configuration(version):
    return call_world.configuration(version, ())


def test_topic_without_a_copy_has_an_age_and_no_position(world):
    world.clock.advance(1500 * MS)
    assert world.metric("sassafras_topic_era", "leafs") is None
    assert world.metric("sassafras_topic_revision", "leafs") is None
    assert world.metric("sassafras_topic_age_seconds", "leafs") == 1.5
    assert world.metric("sassafras_topic_answers_ignored", "leafs") == 0


def test_position_and_era_are_those_of_each_topic(world):
    world.apply("configuration", 1, 19, _configuration(2), is_snapshot=True)
    world.list_leafs(1, 40)
    world.apply("configuration", 2, 7, _configuration(3), is_snapshot=True)
    assert world.metric("sassafras_topic_era", "configuration") == 2
    assert world.metric("sassafras_topic_revision", "configuration") == 7
    assert world.metric("sassafras_topic_era", "leafs") == 1
    assert world.metric("sassafras_topic_revision", "leafs") == 40


def test_answer_without_changes_ends_the_age_of_its_topic_only(world):
    world.list_leafs(1, 1)
    world.apply("zones_out", 1, 1, is_snapshot=True)
    world.clock.advance(3000 * MS)
    world.apply("leafs", 1, 1)
    assert world.metric("sassafras_topic_age_seconds", "leafs") == 0
    assert world.metric("sassafras_topic_age_seconds", "zones_out") == 3


def test_answer_of_a_host_ends_the_age_of_all_topics(world):
    world.clock.advance(3000 * MS)
    world.view.confirm_all()
    for topic in _TOPICS:
        assert world.metric("sassafras_topic_age_seconds", topic) == 0


def test_older_answer_is_counted_and_logged(world, lines):
    world.apply("configuration", 2, 9, _configuration(2), is_snapshot=True)
    world.apply("configuration", 1, 30, _configuration(3), source="10.0.0.7:80")
    assert world.metric("sassafras_topic_answers_ignored", "configuration") == 1
    assert world.metric("sassafras_topic_answers_ignored", "leafs") == 0
    (line,) = lines("older answer ignored")
    assert line["topic"] == "configuration"
    assert line["position"] == "1.30"
    assert line["reached"] == "2.9"
    assert line["source"] == "10.0.0.7:80"


# Such an answer was left out without a trace.
@pytest.mark.parametrize("era", [1, 2])
def test_answer_that_leaves_a_gap_is_counted_and_logged(world, lines, era):
    world.apply("configuration", 1, 9, _configuration(2), is_snapshot=True)
    world.apply(
        "configuration",
        era,
        30,
        _configuration(3),
        since=relay.Position(1, 12),
    )
    assert world.metric("sassafras_topic_answers_ignored", "configuration") == 1
    (line,) = lines("answer that leaves a gap ignored")
    assert line["position"] == f"{era}.30"
    assert line["since"] == "1.12"
    assert line["reached"] == "1.9"
    assert not lines("older answer ignored")


def test_changed_copy_is_logged_with_its_place_and_source(world, lines):
    world.apply("configuration", 1, 19, _configuration(2), is_snapshot=True)
    world.apply(
        "configuration",
        2,
        7,
        _configuration(3),
        since=relay.Position(1, 19),
        is_difference=True,
        source="10.0.0.7:80",
    )
    first, second = lines("copy changed")
    assert first["before"] is None
    assert first["source"] == "store"
    assert first["snapshot"] is True
    assert second["topic"] == "configuration"
    assert second["before"] == "1.19"
    assert second["position"] == "2.7"
    assert second["source"] == "10.0.0.7:80"
    assert second["documents"] == 1
    assert second["snapshot"] is False


def test_return_is_logged_with_the_positions_before_it(world, lines):
    world.sourcing()
    world.eras.note(1)
    world.apply("configuration", 1, 19, _configuration(2), is_snapshot=True)
    world.eras.note(2)
    (line,) = lines("store has returned from an older copy; reading all")
    assert line["levelno"] == logging.WARNING
    assert line["era"] == 2
    assert line["positions"] == {
        "configuration": "1.19",
        "leafs": None,
        "zones_out": None,
    }


# A line with the ids of all leafs would hold up requests.
def test_leafs_that_an_older_copy_contradicts_are_listed_up_to_a_bound(
    world, lines
):
    leafs = [call_world.entry(f"n{number:03}", "z1") for number in range(300)]
    world.list_leafs(1, 1, *leafs)
    world.apply(
        "leafs",
        1,
        2,
        *(directory.LeafRemoved(leaf.ref.leaf_id) for leaf in leafs),
    )
    world.list_leafs(2, 1, *leafs)
    (line,) = lines("leafs listed from an older copy")
    assert line["leafs"] == 300
    assert line["contradicted_leafs"] == 300
    assert line["contradicted"] == [f"n{n:03}-z1" for n in range(20)]


async def _probe_once(sourcing):
    task = asyncio.create_task(sourcing.health.run())
    await asyncio.sleep(0.001)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_missed_changes_are_logged_with_both_positions(world, lines):
    world.apply("configuration", 1, 19, _configuration(2), is_snapshot=True)
    topic = world.topic_by_name["configuration"]
    topic.stale_answer = relay.Batch(
        (relay.Document("x", _configuration(3)),), relay.Position(1, 23)
    )
    await _probe_once(world.sourcing())
    (line,) = lines("long poll has missed changes")
    assert line["topic"] == "configuration"
    assert line["position"] == "1.19"
    assert line["shown"] == "1.23"


async def _change(world, kind, number):
    match kind:
        case "copy changed":
            world.apply("leafs", 0, number + 1, directory.LeafRemoved("x"))
        case "older answer ignored":
            world.apply("zones_out", 1, number, is_snapshot=True)
            world.apply("zones_out", 0, 1, is_snapshot=True)
        case "answer that leaves a gap ignored":
            world.apply("zones_out", 1, 1, is_snapshot=True)
            world.apply("zones_out", 1, 9, since=relay.Position(1, 5))
        case "leafs listed from an older copy":
            world.list_leafs(number, 1)
        case "long poll has missed changes":
            world.topic_by_name["configuration"].stale_answer = relay.Batch(
                (relay.Document("x", None),), relay.Position(1, number + 1)
            )
            world.apply("configuration", 1, 1, is_snapshot=True)
            await _probe_once(world.sourcing_of_test)
        case _:
            world.eras.note(number)


@pytest.mark.parametrize(
    "kind",
    [
        "copy changed",
        "older answer ignored",
        "answer that leaves a gap ignored",
        "leafs listed from an older copy",
        "long poll has missed changes",
        "store has returned from an older copy; reading all",
    ],
)
async def test_lines_are_bounded_under_changes_in_quick_succession(
    world, lines, kind
):
    world.sourcing_of_test = world.sourcing()
    world.eras.note(0)
    world.apply("leafs", 0, 1, is_snapshot=True)
    world.clock.advance(datetime.timedelta(seconds=1))
    for number in range(1, _CHANGES + 1):
        await _change(world, kind, number)
    assert len(lines(kind)) == _LINES_PER_SECOND
    world.clock.advance(datetime.timedelta(seconds=1))
    await _change(world, kind, _CHANGES + 1)
    last = lines(kind)[_LINES_PER_SECOND]
    assert last["lines_left_out"] == _CHANGES - _LINES_PER_SECOND


def _end(log, reply):
    log.log_end(None, reply, 3 * MS)


def test_request_line_says_what_it_was_handled_by(world, lines):
    log = _request_log.RequestLog(world.clock, world.view.knowledge)
    world.apply("configuration", 1, 19, _configuration(22), is_snapshot=True)
    world.clock.advance(1400 * MS)
    _end(log, _requests.local_reply(404, _requests.Cause.NO_ROUTE))
    (line,) = lines("request ended")
    assert line["configuration"] == 22
    assert line["copy"] == "1.19"
    assert line["copy_age_ms"] == 1400


# The version in force may change while a request is served.
def test_request_line_has_the_version_that_the_request_was_routed_by(
    world, lines
):
    log = _request_log.RequestLog(world.clock, world.view.knowledge)
    world.apply("configuration", 1, 19, _configuration(22), is_snapshot=True)
    _end(log, _requests.Reply(200, (), b"", log_fields={"configuration": 18}))
    (line,) = lines("request ended")
    assert line["configuration"] == 18


def test_request_line_before_a_configuration_has_no_position(lines):
    world = _World(routing.RouteTable(random.Random(1)))
    log = _request_log.RequestLog(world.clock, world.view.knowledge)
    world.clock.advance(200 * MS)
    _end(log, _requests.local_reply(503, _requests.Cause.NOT_CONFIGURED))
    (line,) = lines("request ended")
    assert line["configuration"] is None
    assert line["copy"] is None
    assert line["copy_age_ms"] == 200


# Each lookup costs time that requests need.
def test_knowledge_is_asked_only_for_lines_that_are_written(world):
    asked = []

    def knowledge():
        asked.append(1)
        return world.view.knowledge()

    log = _request_log.RequestLog(world.clock, knowledge)
    for _ in range(_CHANGES):
        _end(log, _requests.local_reply(404, _requests.Cause.NO_ROUTE))
    # The rate that docs/OPERATIONS.md states for lines of one outcome.
    assert len(asked) == 50
