"""Guards against the rush of requests that waited for a start.

Load pattern: all hosts are killed; callers connect while the processes load,
and the requests of half a second are read at once. Sent together they filled
the queues of the leafs: parts were rejected (16 requests failed with 502) and
requests that came later were late as well.
"""

import functools

from sassafrashold import calls
from sassafrashold.calls.tests import call_world

MS = call_world.MS


def test_requests_that_waited_too_long_run_two_at_a_time():
    queue = calls.StartQueue()
    queue.started(0 * MS, 300 * MS)
    ran: list[int] = []
    for number in range(5):
        assert queue.waited(10 * MS) == 300 * MS
        queue.enter(functools.partial(ran.append, number))
    assert ran == [0, 1]
    queue.leave()
    assert ran == [0, 1, 2]


def test_only_requests_read_right_after_the_start_have_waited():
    """Leafs must not be told of time that the caller no longer has."""
    queue = calls.StartQueue()
    assert queue.waited(0 * MS) == 0 * MS
    queue.started(0 * MS, 300 * MS)
    assert queue.waited(50 * MS) == 300 * MS
    assert queue.waited(51 * MS) == 0 * MS


def test_a_request_whose_caller_leaves_gives_up_its_place():
    queue = calls.StartQueue()
    queue.started(0 * MS, 300 * MS)
    ran: list[int] = []
    entries = [functools.partial(ran.append, n) for n in range(4)]
    for entry in entries:
        queue.enter(entry)
    assert queue.withdraw(entries[2])
    assert not queue.withdraw(entries[0])
    queue.leave()
    assert ran == [0, 1, 3]


def test_all_places_are_free_again_when_all_have_left():
    queue = calls.StartQueue()
    queue.started(0 * MS, 300 * MS)
    ran: list[int] = []
    for number in range(3):
        queue.enter(functools.partial(ran.append, number))
    for _ in range(3):
        queue.leave()
    queue.enter(functools.partial(ran.append, 8))
    queue.enter(functools.partial(ran.append, 9))
    assert ran == [0, 1, 2, 8, 9]


def test_a_shard_without_room_is_called_when_a_call_ends():
    """Such shards were left out of the answer at once, though leafs answer."""
    world = call_world.World(shards=1, hosts=8, max_connections=8)
    plans = [world.plan() for _ in range(4)]
    first_sends = [plan.start(0 * MS) for plan in plans]
    assert [len(sends) for sends in first_sends] == [1, 1, 1, 0]
    waiting = plans[3]
    assert waiting.outcome(1 * MS) is None
    due = waiting.next_time(1 * MS)
    assert due <= 20 * MS
    assert waiting.tick(due) == []
    send = first_sends[0][0]
    plans[0].ended(send, call_world.answered(), 15 * MS)
    assert len(waiting.tick(waiting.next_time(15 * MS))) == 1


def test_a_rejected_part_waits_for_the_budget():
    """Parts were lost after a start, when no budget had been earned yet."""
    world = call_world.World(shards=1, burst=50)
    plan = world.plan()
    send = plan.start(0 * MS)[0]
    rejected = call_world.failed(calls.FailureKind.REJECTED)
    assert plan.ended(send, rejected, 2 * MS) == []
    assert plan.outcome(2 * MS) is None
    assert plan.tick(12 * MS) == []
    world.fund(2)
    retries = plan.tick(plan.next_time(12 * MS))
    assert [retry.extra for retry in retries] == [True]


def test_a_single_request_that_was_rejected_is_refused_at_once():
    """Its caller's next attempt needs no budget, so waiting helps nobody."""
    call = call_world.World().call()
    send = call_world.must(call.first(0 * MS))
    rejected = call_world.failed(calls.FailureKind.REJECTED)
    assert call.failed(send, rejected, 2 * MS) is None
    assert not call.is_waiting
    assert not call.may_have_run


def test_open_calls_to_a_leaf_stay_within_what_it_queues():
    """Hosts that start together filled the queue of each leaf."""
    world = call_world.World(hosts=8, max_connections=110)
    sent = [world.call().first(0 * MS) for _ in range(12)]
    assert sum(send is not None for send in sent) == 9
