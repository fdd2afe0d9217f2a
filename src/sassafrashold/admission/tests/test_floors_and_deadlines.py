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


class World:
    """An admission queue with requests of a fixed service time."""

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
        """A class above its floor starts only if none below it waits."""
        waiting = {(t.priority_class, t.service) for t in self.waiting}
        if any(self.is_below_floor(*waiter) for waiter in waiting):
            assert self.is_below_floor(ticket.priority_class, ticket.service)

    def is_below_floor(self, name, service):
        """A floor is whole places of the entry and of the service."""
        running = [t for t in self.running if t.priority_class == name]
        of_service = [t for t in running if t.service == service]
        limit = self.queue.limit_by_service()[service]
        return len(running) + 1 <= self.queue.floor_of(
            name, self.limit
        ) and len(of_service) + 1 <= self.queue.floor_of(name, limit)

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
    world = World(limit=limit)
    for step in steps:
        if isinstance(step, int):
            world.now += step * _MS
            if world.running:
                world.finish(min(world.running, key=lambda t: t.arrived))
        else:
            try:
                world.offer(*step)
            except errors.AdmissionError as error:
                assert error.ran is errors.Ran.NOT_RUN
        world.decide()
        assert len(world.running) <= limit
        # Work conserving: nothing waits beside a free place.
        assert not world.waiting or len(world.running) == limit
        assert world.queue.waiting_by_class() == {
            policy.name: sum(
                t.priority_class == policy.name for t in world.waiting
            )
            for policy in _CLASSES
        }
        for policy in _CLASSES:
            waiting = world.queue.waiting_by_class()[policy.name]
            assert waiting <= policy.queue_limit


def test_a_full_queue_refuses_and_leaves_the_other_classes_open():
    world = World(limit=1)
    world.offer("archive")
    world.decide()
    for _ in range(6):
        world.offer("normal")
    with pytest.raises(errors.AdmissionError) as caught:
        world.offer("normal")
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    world.offer("lookup")
    assert world.queue.waiting == 7


def test_a_service_at_its_limit_does_not_hold_up_the_others():
    world = World(limit=100)
    for _ in range(5):
        for name in ("lookup", "normal", "archive"):
            world.offer(name, service="slow")
        world.decide()
    for _ in range(4):
        world.offer("normal", service="slow")
    world.decide()
    assert len(world.running) == world.queue.limit_by_service()["slow"] == 16
    fast = world.offer("normal", service="fast")
    world.decide()
    assert world.started[-1] is fast


def test_a_free_place_follows_the_shares_between_backlogged_classes():
    policies = (
        admission.ClassPolicy("big", 3, 0, 1000),
        admission.ClassPolicy("small", 1, 0, 1000),
    )
    world = World(policies, limit=1)
    for _ in range(400):
        world.offer("big", 10_000)
        world.offer("small", 10_000)
    world.decide()
    for _ in range(199):
        world.finish(world.started[-1])
        world.decide()
    names = [t.priority_class for t in world.started]
    assert names.count("big") == pytest.approx(150, abs=2)


def test_a_floor_of_less_than_a_place_is_granted_in_turns():
    policies = (
        admission.ClassPolicy("big", 90, 0, 1000),
        admission.ClassPolicy("small", 1, 10, 1000),
    )
    world = World(policies, limit=1)
    for _ in range(400):
        world.offer("big", 10_000)
        world.offer("small", 10_000)
    world.decide()
    for _ in range(299):
        world.finish(world.started[-1])
        world.decide()
    names = [t.priority_class for t in world.started]
    assert names.count("small") == pytest.approx(30, abs=3)


def test_the_earliest_deadline_of_a_class_starts_first():
    world = World(limit=1)
    world.offer("normal", 10)
    world.decide()
    late, early = world.offer("normal", 400), world.offer("normal", 300)
    for ticket in (early, late):
        world.finish(world.started[-1])
        world.decide()
        assert world.started[-1] is ticket


def _learned(world, service_ms=20):
    """Teaches the queue the service time."""
    for _ in range(40):
        world.offer("normal")
        world.decide()
        world.now += service_ms * _MS
        world.finish(world.started[-1])


def test_a_deadline_below_the_typical_service_time_is_refused_at_once():
    world = World()
    _learned(world)
    with pytest.raises(errors.AdmissionError) as caught:
        world.offer("normal", 15)
    assert caught.value.code is errors.ErrorCode.DEADLINE_TOO_SHORT
    world.offer("normal", 30)


def test_what_cannot_be_reached_in_time_is_refused_with_a_retry_time():
    world = World(limit=1)
    _learned(world)
    accepted = 0
    with pytest.raises(errors.AdmissionError) as caught:
        for _ in range(100):
            world.offer("normal", 200)
            world.decide()
            accepted += 1
    assert caught.value.code is errors.ErrorCode.OVERLOADED
    assert caught.value.retry_after is not None
    assert 4 <= accepted <= 7


def test_requests_that_have_left_the_queue_do_not_count_as_waiting():
    world = World(limit=1)
    _learned(world)
    world.offer("normal", 1000)
    world.decide()
    for _ in range(20):
        left = world.offer("lookup", 120)
        assert world.queue.withdraw(left)
    world.offer("lookup", 120)


def test_a_request_whose_time_ran_out_in_the_queue_never_starts():
    world = World(limit=1)
    _learned(world)
    world.offer("normal", 1000)
    world.decide()
    stale = world.offer("normal", 60)
    world.now += 55 * _MS
    world.finish(world.started[-1])
    world.decide()
    assert world.refused == [stale]
    assert not world.running
