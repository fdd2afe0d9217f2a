"""Guards against overload of leafs by requests that waited for a restart.

When all hosts restart, callers connect while the processes load, and the
requests of half a second are read at once. Sent together, they filled the
queues of the leafs: calls were rejected (16 requests failed with 502) and later
requests were late as well.
"""

import functools

from sassafrashold import calls
from sassafrashold.calls.tests import call_world

MS = call_world.MS


def test_concurrency_of_requests_that_waited_is_two():
    queue = calls.StartQueue()
    queue.started(0 * MS, 300 * MS)
    ran: list[int] = []
    for number in range(5):
        assert queue.max_wait(10 * MS) == 300 * MS
        queue.enter(functools.partial(ran.append, number))
    assert ran == [0, 1]
    queue.leave()
    assert ran == [0, 1, 2]


def test_only_requests_read_right_after_the_start_have_waited():
    """Deadlines sent to leafs must not include time that has passed."""
    queue = calls.StartQueue()
    assert queue.max_wait(0 * MS) == 0 * MS
    queue.started(0 * MS, 300 * MS)
    assert queue.max_wait(50 * MS) == 300 * MS
    assert queue.max_wait(51 * MS) == 0 * MS


def test_withdrawn_request_does_not_run():
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


def test_capacity_is_free_again_after_all_requests_ended():
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


def test_shard_without_capacity_is_called_after_a_call_ends():
    """Such shards were omitted immediately, though their leafs answered."""
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


def test_rejected_shard_waits_for_the_budget():
    """Shards were missing after a start, while the budget was still 0."""
    world = call_world.World(shards=1, burst=50)
    plan = world.plan()
    send = plan.start(0 * MS)[0]
    rejected = call_world.failed(calls.FailureKind.REJECTED)
    assert plan.ended(send, rejected, 2 * MS) == []
    assert plan.outcome(2 * MS) is None
    assert plan.tick(12 * MS) == []
    world.fill_budgets(2)
    retries = plan.tick(plan.next_time(12 * MS))
    assert [retry.extra for retry in retries] == [True]


def test_rejected_single_service_request_is_refused_immediately():
    """The next attempt of the caller needs no budget, so no wait is needed."""
    call = call_world.World().call()
    send = call_world.must(call.first(0 * MS))
    rejected = call_world.failed(calls.FailureKind.REJECTED)
    assert call.failed(send, rejected, 2 * MS) is None
    assert not call.is_waiting
    assert not call.may_have_run


def test_open_calls_to_a_leaf_stay_within_its_queue():
    """Hosts that started together filled the queue of each leaf."""
    world = call_world.World(hosts=8, max_connections=110)
    sent = [world.call().first(0 * MS) for _ in range(12)]
    assert sum(send is not None for send in sent) == 9
