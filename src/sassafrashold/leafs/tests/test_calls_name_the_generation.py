"""Guards a leaf that turns cold against calls that are already on their way.

The owner learns of the cold start from an answer. Calls that it sends before
that answer arrives were admitted for the warm leaf. They name its generation,
so that the cold leaf can refuse them.
"""

import datetime

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import index
from sassafrashold import leafs
from sassafrashold import settings
from sassafrashold.leafs import client as leaf_client
from sassafrashold.standins import _leaf as leaf_standin
from sassafrashold.standins import _profile

_SLOTS = 3
_LIMITS = leafs.LeafLimits(_SLOTS, 30, 1, 1, 1000)
_RESTARTED = errors.LeafError(
    errors.ErrorCode.LEAF_RESTARTED, "of another generation"
)


class _Link:
    """An owner and a leaf whose messages arrive when the test says so."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.owner = leafs.Leaf(_LIMITS, self.clock)
        self.leaf = leaf_standin.Leaf(
            index.Leaf("l-1", "z", "h", settings.Address("127.0.0.1", 0)),
            "s",
            _profile.Profile(
                slots=_SLOTS, cold_slots=1, warmup_successes=1, service_ms=20
            ),
            {"v": frozenset(range(100))},
            self.clock,
            seed=1,
        )
        self.replies = []
        self.sent_count = 0

    def send(self):
        """Starts a call at the owner; returns it with its message."""
        now = self.clock.monotonic()
        # Work on the same shard would share one call.
        self.sent_count += 1
        work = leafs.Work(
            "s",
            "v",
            self.sent_count,
            b"q",
            "normal",
            now + datetime.timedelta(seconds=2),
        )
        waiter = leafs.Waiter(work, self.replies.append, now)
        assert self.owner.submit(waiter, _SLOTS) is None
        batch = self.owner.next_batch(_SLOTS)
        return batch, self.owner.state.generation

    def deliver(self, batch, generation):
        """Delivers a call to the leaf; returns the running call or None."""
        deadline_ms = clock_lib.to_unix_ms(
            self.clock.now() + datetime.timedelta(seconds=2)
        )
        request = leaf_standin.Request(
            "r", "query", "s", "v", (0,), None, deadline_ms, (), generation
        )
        refusal = self.leaf.arrive(request)
        if refusal is not None:
            assert refusal.code == "GENERATION_CHANGED"
            assert refusal.body()["ran"] is False
            waiters = {w for entry in batch.entries for w in entry.waiters}
            self.owner.requeue(batch, _RESTARTED, waiters)
            return None
        return self.leaf.start(request)

    def answer(self, batch, call):
        """Ends a call at the leaf and delivers the answer."""
        self.leaf.finish(call, leaf_standin.Outcome.OK)
        generation = str(self.leaf.announce())
        self.clock.advance(datetime.timedelta(milliseconds=20))
        self.owner.record_success(batch, generation, {0: b"[]"})

    def calls_above_bound(self):
        return self.leaf.record(False)["counters"].get(
            "calls_above_cold_bound", 0
        )

    def warm_up(self):
        for _ in range(2 * _SLOTS):
            batch, generation = self.send()
            self.answer(batch, self.deliver(batch, generation))
        assert not self.owner.state.cold


def test_calls_sent_before_the_owner_knows_are_refused_by_the_cold_leaf():
    link = _Link()
    link.warm_up()
    link.leaf.turn_cold()
    # Another owner's call has shown the new generation.
    link.leaf.announce()
    sent = [link.send() for _ in range(_SLOTS)]
    assert [link.deliver(*call) for call in sent] == [None] * _SLOTS
    assert link.leaf.is_cold
    assert link.calls_above_bound() == 0


def test_refused_work_runs_within_the_cold_bound_and_is_answered_once():
    link = _Link()
    link.warm_up()
    link.leaf.turn_cold()
    sent = [link.send() for _ in range(_SLOTS)]
    for batch, generation in sent:
        link.clock.advance(datetime.timedelta(milliseconds=1))
        assert link.deliver(batch, generation) is None
    assert link.owner.state.window == 1
    first = link.owner.next_batch(_SLOTS)
    assert first is not None
    assert link.owner.state.generation is None
    assert link.owner.next_batch(_SLOTS) is None
    call = link.deliver(first, link.owner.state.generation)
    assert call is not None
    link.answer(first, call)
    assert link.owner.state.generation == "2"
    assert link.calls_above_bound() == 0
    waiting = len(link.owner.queue)
    assert waiting + len(first.entries) == _SLOTS


def test_answer_of_an_ended_generation_does_not_bring_it_back():
    link = _Link()
    link.warm_up()
    old_batch, old_generation = link.send()
    old_call = link.deliver(old_batch, old_generation)
    refused = link.send()
    link.clock.advance(datetime.timedelta(milliseconds=1))
    link.leaf.turn_cold()
    assert link.deliver(*refused) is None
    link.owner.record_success(old_batch, old_generation, {0: b"[]"})
    assert old_call is not None
    assert link.owner.state.generation is None
    assert link.owner.state.window == 1


async def test_client_names_the_generation_and_reports_the_refusal():
    bodies = []

    async def handle(request):
        bodies.append(await request.read())
        return web.json_response(
            {"error": "GENERATION_CHANGED", "ran": False}, status=409
        )

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = leaf_client.LeafClient(
        settings.Address("127.0.0.1", runner.addresses[0][1]),
        2,
        clock_lib.SystemClock(),
        1,
    )
    deadline = datetime.datetime.now(datetime.UTC)
    deadline += datetime.timedelta(seconds=2)
    try:
        with pytest.raises(errors.LeafError) as caught:
            await client.query("r", "s", "v", [], deadline, generation="7")
    finally:
        await client.close()
        await runner.cleanup()
    assert caught.value.code is errors.ErrorCode.LEAF_RESTARTED
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert b'"generation":"7"' in bodies[0]
