"""Checks class floors, shares, queue limits and refusals by deadline."""

import datetime

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from sassafrashold import admission
from sassafrashold import errors

_MS = datetime.timedelta(milliseconds=1)
_CLASSES = (
    admission.ClassPolicy("lookup", 10, 60, 6),
    admission.ClassPolicy("normal", 3, 0, 6),
    admission.ClassPolicy("archive", 1, 10, 6),
)


class QueueHarness:
    """An admission queue with manual time that checks each start."""

    def __init__(self, policies=_CLASSES, limit=8):
        self.queue = admission.AdmissionQueue(policies)
        self.queue.entry_limit = admission.ConcurrencyLimit(limit, 1, limit)
        self.now = 1000 * _MS
        self.limit = limit
        self.waiting = []
        self.running = {}
        self.started = []
        self.refused = []

    def offer(self, name, deadline_ms=1000, service="s"):
        ticket = admission.Ticket(
            name, service, self.now + deadline_ms * _MS, self.now
        )
        self.queue.offer(ticket, self.now)
        self.waiting.append(ticket)
        return ticket

    def decide(self):
        for decision in self.queue.decide(self.now):
            self.waiting.remove(decision.ticket)
            match decision:
                case admission.Start(ticket):
                    self.check_floors(ticket)
                    self.running[ticket] = self.now
                    self.started.append(ticket)
                case admission.Refuse(ticket, _):
                    self.refused.append(ticket)

    def check_floors(self, ticket):
        """Checks that no class below its floor waits for one above its own."""
        waiting = {(t.priority_class, t.service) for t in self.waiting}
        if any(self.is_below_floor(*waiter) for waiter in waiting):
            assert self.is_below_floor(ticket.priority_class, ticket.service)

    def is_below_floor(self, name, service):
        """Returns whether one more request fits into both of its floors."""
        running = [t for t in self.running if t.priority_class == name]
        same_service = [t for t in running if t.service == service]
        limit = self.queue.limit_by_service()[service]
        return len(running) + 1 <= self.queue.class_floor(
            name, self.limit
        ) and len(same_service) + 1 <= self.queue.class_floor(name, limit)

    def finish(self, ticket):
        del self.running[ticket]
        self.queue.finish(ticket, self.now, False, True)


@hypothesis_settings(max_examples=300, deadline=None)
@given(
    steps=strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.sampled_from(["lookup", "normal", "archive"]),
                strategies.integers(1, 500),
            ),
            strategies.integers(0, 30),
        ),
        max_size=120,
    ),
    limit=strategies.integers(1, 12),
)
def test_floors_limits_and_queue_bounds_hold(steps, limit):
    harness = QueueHarness(limit=limit)
    for step in steps:
        if isinstance(step, int):
            harness.now += step * _MS
            if harness.running:
                harness.finish(min(harness.running, key=lambda t: t.arrived))
        else:
            try:
                harness.offer(*step)
            except errors.AdmissionError as error:
                assert error.ran is errors.Ran.NOT_RUN
        harness.decide()
        assert len(harness.running) <= limit
        # Work conserving: no request waits while capacity is free.
        assert not harness.waiting or len(harness.running) == limit
        assert harness.queue.waiting_by_class() == {
            policy.name: sum(
                t.priority_class == policy.name for t in harness.waiting
            )
            for policy in _CLASSES
        }
        for policy in _CLASSES:
            waiting = harness.queue.waiting_by_class()[policy.name]
            assert waiting <= policy.queue_limit


def test_full_queue_refuses_only_its_own_class():
    harness = QueueHarness(limit=1)
    harness.offer("archive")
    harness.decide()
    for _ in range(6):
        harness.offer("normal")
    with pytest.raises(errors.AdmissionError) as caught:
        harness.offer("normal")
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    harness.offer("lookup")
    assert harness.queue.waiting == 7


def test_service_at_its_limit_does_not_block_other_services():
    harness = QueueHarness(limit=100)
    for _ in range(5):
        for name in ("lookup", "normal", "archive"):
            harness.offer(name, service="slow")
        harness.decide()
    for _ in range(4):
        harness.offer("normal", service="slow")
    harness.decide()
    assert (
        len(harness.running) == harness.queue.limit_by_service()["slow"] == 16
    )
    fast = harness.offer("normal", service="fast")
    harness.decide()
    assert harness.started[-1] is fast


def test_backlogged_classes_start_in_proportion_to_their_shares():
    policies = (
        admission.ClassPolicy("big", 3, 0, 1000),
        admission.ClassPolicy("small", 1, 0, 1000),
    )
    harness = QueueHarness(policies, limit=1)
    for _ in range(400):
        harness.offer("big", 10_000)
        harness.offer("small", 10_000)
    harness.decide()
    for _ in range(199):
        harness.finish(harness.started[-1])
        harness.decide()
    names = [t.priority_class for t in harness.started]
    assert names.count("big") == pytest.approx(150, abs=2)


def test_fractional_floor_is_granted_by_fair_queueing():
    policies = (
        admission.ClassPolicy("big", 90, 0, 1000),
        admission.ClassPolicy("small", 1, 10, 1000),
    )
    harness = QueueHarness(policies, limit=1)
    for _ in range(400):
        harness.offer("big", 10_000)
        harness.offer("small", 10_000)
    harness.decide()
    for _ in range(299):
        harness.finish(harness.started[-1])
        harness.decide()
    names = [t.priority_class for t in harness.started]
    assert names.count("small") == pytest.approx(30, abs=3)


def test_earliest_deadline_of_a_class_starts_first():
    harness = QueueHarness(limit=1)
    harness.offer("normal", 10)
    harness.decide()
    late, early = harness.offer("normal", 400), harness.offer("normal", 300)
    for ticket in (early, late):
        harness.finish(harness.started[-1])
        harness.decide()
        assert harness.started[-1] is ticket


def _learn_service_time(harness, service_ms=20):
    """Runs requests until the queue has an estimate of the service time."""
    for _ in range(40):
        harness.offer("normal")
        harness.decide()
        harness.now += service_ms * _MS
        harness.finish(harness.started[-1])


def test_deadline_below_the_median_service_time_is_refused_at_once():
    harness = QueueHarness()
    _learn_service_time(harness)
    with pytest.raises(errors.AdmissionError) as caught:
        harness.offer("normal", 15)
    assert caught.value.code is errors.ErrorCode.DEADLINE_TOO_SHORT
    harness.offer("normal", 30)


def test_too_long_expected_wait_is_refused_with_retry_after():
    harness = QueueHarness(limit=1)
    _learn_service_time(harness)
    accepted = 0
    with pytest.raises(errors.AdmissionError) as caught:
        for _ in range(100):
            harness.offer("normal", 200)
            harness.decide()
            accepted += 1
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    assert caught.value.retry_after is not None
    assert 4 <= accepted <= 7


def test_withdrawn_requests_do_not_count_as_waiting():
    harness = QueueHarness(limit=1)
    _learn_service_time(harness)
    harness.offer("normal", 1000)
    harness.decide()
    for _ in range(20):
        withdrawn = harness.offer("lookup", 120)
        assert harness.queue.withdraw(withdrawn)
    harness.offer("lookup", 120)


def test_request_that_waited_too_long_is_refused():
    harness = QueueHarness(limit=1)
    _learn_service_time(harness)
    harness.offer("normal", 1000)
    harness.decide()
    late_ticket = harness.offer("normal", 60)
    harness.now += 55 * _MS
    harness.finish(harness.started[-1])
    harness.decide()
    assert harness.refused == [late_ticket]
    assert not harness.running
