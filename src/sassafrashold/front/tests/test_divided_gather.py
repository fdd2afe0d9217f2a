"""Guards answers that are merged from groups of shards of several hosts.

Pattern: the hosts that gather the groups answer, fail, decline or fall silent
independently. No network.
"""

import asyncio
import dataclasses
import datetime
from typing import Any
from typing import cast

import pytest

from sassafrashold import aggregation
from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import settings
from sassafrashold.calls.tests import call_world
from sassafrashold.front import _gathering

_MS = datetime.timedelta(milliseconds=1)
_CLOCK = clock_lib.SystemClock()
_SERVICES = tuple(f"s{number}" for number in range(10))
_REQUEST = calls.ClientRequest(
    request_id="r1",
    method="GET",
    target="/",
    path="/",
    host="h",
    time_left=2000 * _MS,
    forwarded_headers=(),
    body=b"",
)


def _peer(zone):
    return relay.Peer(zone, zone, settings.Address("10.0.0.1", 80))


_GROUPS = (
    aggregation.ShardGroup(_peer("z1"), (0, 2, 4, 6, 8)),
    aggregation.ShardGroup(_peer("z2"), (1, 3, 5, 7, 9)),
)


def _record(shard):
    return bytes([shard]) * 16


def _parts(shards, final=True, sent=True):
    return aggregation.MergedParts(
        {shard: f"sig{shard}" for shard in shards},
        calls.greatest_records((_record(shard) for shard in shards), 20),
        final,
        sent,
    )


def _query(min_coverage=0.8, answer_at_ms=150, end_ms=500):
    now = _CLOCK.monotonic()
    gather = routing.Gather(_SERVICES, 3, min_coverage)
    route = dataclasses.replace(call_world.World(10).route, target=gather)
    return _gathering.Query(
        _REQUEST,
        route,
        gather,
        7,
        now,
        calls.GatherTimes(now + answer_at_ms * _MS, now + end_ms * _MS),
        now + end_ms * _MS,
    )


class _Local:
    """Answers for every shard at once, and records what it was asked."""

    def __init__(self, sent=True):
        self.asked = []
        self._sent = sent

    async def gather(
        self, _query, shards, _max_missing, on_parts, repeated, on_sent
    ):
        if self._sent:
            on_sent()
        self.asked.append((shards, repeated))
        await on_parts(_parts(shards if self._sent else (), True, self._sent))
        return {"trail": []}


class _Remote:
    """Behaves for each host as the test says."""

    def __init__(self, **behavior_by_host):
        self._behavior_by_host = behavior_by_host
        self.messages = []

    def divide(self, _gather):
        return _GROUPS

    async def gather(self, peer, message, _times, on_parts):
        self.messages.append(message)
        return await self._behavior_by_host[peer.host](message, on_parts)


async def _answer(message, on_parts):
    await on_parts(_parts(message.shards))
    return _gathering.Gathered()


async def _fail(_message, _on_parts):
    return _gathering.Broken()


async def _decline(_message, _on_parts):
    return _gathering.Declined(may_have_run=False)


async def _fall_silent(_message, _on_parts):
    await asyncio.sleep(60)


async def _serve(remote, local=None, **query_arguments):
    divided = _gathering.DividedGather(
        cast(Any, local or _Local()), remote, _CLOCK
    )
    query = _query(**query_arguments)
    outcome, log_fields = await divided.gather(query, _GROUPS)
    return outcome, log_fields, _CLOCK.monotonic() - query.arrived_at


async def test_whole_answer_has_the_parts_in_order_and_the_greatest_records():
    remote = _Remote(z1=_answer, z2=_answer)
    outcome, log_fields, _ = await _serve(remote)
    assert outcome == calls.GatherOutcome(
        tuple(f"sig{shard}" for shard in range(10)),
        _record(9) + _record(8) + _record(7),
        0,
        (),
        True,
        True,
    )
    assert [group["gathered_by"] for group in log_fields["groups"]] == [
        "z1",
        "z2",
    ]
    assert [message.max_missing for message in remote.messages] == [1, 1]


async def test_failed_group_leaves_its_parts_out_if_the_route_allows():
    outcome, log_fields, duration = await _serve(
        _Remote(z1=_answer, z2=_fail), min_coverage=0.5
    )
    assert outcome.signatures == tuple(f"sig{s}" for s in range(0, 10, 2))
    assert outcome.missing_services == tuple(
        f"s{shard}" for shard in range(1, 10, 2)
    )
    assert log_fields["groups"][1]["broken"]
    assert duration < 150 * _MS


async def test_failed_group_without_which_too_little_remains_fails_at_once():
    outcome, _, duration = await _serve(_Remote(z1=_fall_silent, z2=_fail))
    assert not outcome.enough
    assert outcome.sent
    assert duration < 150 * _MS


@pytest.mark.parametrize("may_have_run", [False, True])
async def test_declined_group_is_gathered_here(may_have_run):
    async def decline(_message, _on_parts):
        return _gathering.Declined(may_have_run)

    local = _Local()
    outcome, _, _ = await _serve(_Remote(z1=decline, z2=_answer), local)
    assert outcome.missing == 0
    # Calls that another host may have made already are extra calls.
    assert local.asked == [(_GROUPS[0].shards, may_have_run)]


async def test_query_that_no_host_could_send_has_not_run():
    outcome, _, _ = await _serve(
        _Remote(z1=_decline, z2=_decline), _Local(sent=False)
    )
    assert not outcome.enough
    assert not outcome.sent


async def test_query_at_a_silent_host_may_have_run_at_the_deadline():
    outcome, _, _ = await _serve(
        _Remote(z1=_fall_silent, z2=_decline), _Local(sent=False), end_ms=200
    )
    assert not outcome.enough
    assert outcome.sent


async def test_answer_that_is_due_does_not_wait_for_the_last_parts():
    async def answer_late(message, on_parts):
        await on_parts(_parts(message.shards[:-1], final=False))
        await asyncio.sleep(60)

    outcome, _, duration = await _serve(
        _Remote(z1=answer_late, z2=_answer), min_coverage=0.9, end_ms=5000
    )
    assert outcome.missing_services == ("s8",)
    assert duration >= 150 * _MS


async def test_parts_that_come_late_complete_an_answer_that_was_not_enough():
    async def answer_in_two_steps(message, on_parts):
        await on_parts(_parts(message.shards[:2], final=False))
        await asyncio.sleep(0.25)
        await on_parts(_parts(message.shards[2:]))
        return _gathering.Gathered()

    outcome, _, _ = await _serve(
        _Remote(z1=answer_in_two_steps, z2=_answer), end_ms=5000
    )
    assert outcome.missing == 0


async def test_unexpected_error_in_a_group_ends_the_request(caplog):
    async def raise_error(_message, _on_parts):
        raise RuntimeError("bug")

    outcome, _, _ = await _serve(_Remote(z1=raise_error, z2=_answer))
    assert not outcome.enough
    assert "gathering a group failed" in caplog.text


class _Pool:
    """Leafs that answer after a delay given for each shard, or never."""

    def __init__(self, delay_by_service):
        self._delay_by_service = delay_by_service
        self.open = 0
        self.cancelled = 0

    def call(self, leaf, _request, _time_left, _at_most_once, on_result):
        pool = self

        class Call:
            is_done = False

            def cancel(self):
                pool.cancelled += 1

        call = Call()
        delay_ms = self._delay_by_service.get(leaf.service, 0)

        def answer():
            call.is_done = True
            on_result(call_world.answered(b"0" * 16, leaf.service))

        if delay_ms is not None:
            asyncio.get_running_loop().call_later(delay_ms / 1000, answer)
        return call


async def _gather_here(pool, max_missing, **query_arguments):
    received = []

    async def on_parts(parts):
        received.append(
            (sorted(parts.signature_by_shard.values()), parts.final)
        )

    world = call_world.World(10, burst=0, ratio=0)
    query = _query(**query_arguments)
    query = dataclasses.replace(query, gather=world.gather, route=world.route)
    local = _gathering.LocalGather(world.state, cast(Any, pool), _CLOCK)
    log_fields = await local.gather(query, (1, 2, 3), max_missing, on_parts)
    return received, log_fields


async def test_group_is_handed_over_as_soon_as_it_is_whole():
    received, log_fields = await _gather_here(_Pool({}), 0)
    assert received == [(["s1", "s2", "s3"], True)]
    assert log_fields["missing"] == []


async def test_group_that_may_miss_a_part_ends_when_it_is_due():
    pool = _Pool({"s2": None})
    received, log_fields = await _gather_here(pool, 1)
    assert received == [(["s1", "s3"], True)]
    assert log_fields["missing"] == ["s2"]
    # The open call ends later, so that its connection can be reused.
    assert pool.cancelled == 0


async def test_group_without_enough_parts_hands_over_what_it_has_when_due():
    received, _ = await _gather_here(_Pool({"s2": 300}), 0, end_ms=5000)
    assert received == [(["s1", "s3"], False), (["s2"], True)]


async def test_group_without_parts_says_so_when_due_and_at_the_deadline():
    pool = _Pool(dict.fromkeys(("s1", "s2", "s3")))
    received, _ = await _gather_here(pool, 0, end_ms=300)
    assert received == [([], False), ([], True)]
    assert pool.cancelled == 3


async def test_query_fails_as_sent_while_one_of_its_groups_is_at_leafs():
    # Guards against 503, which promises "not run", while leafs of the second
    # group work: no leaf of the first group is known.
    world = call_world.World(10)
    entries = [
        call_world.entry(_SERVICES[shard], "z1") for shard in _GROUPS[1].shards
    ]
    world.directory.replace_all(entries, 0 * _MS)
    divided = _gathering.DividedGather(
        _gathering.LocalGather(
            world.state, cast(Any, _Pool(dict.fromkeys(_SERVICES))), _CLOCK
        ),
        _Remote(z1=_decline, z2=_decline),
        _CLOCK,
    )
    query = dataclasses.replace(
        _query(), gather=world.gather, route=world.route
    )
    outcome, _ = await divided.gather(query, _GROUPS)
    assert not outcome.enough
    assert outcome.sent
