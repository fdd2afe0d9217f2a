import asyncio
import dataclasses
import datetime
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import dispatch
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.dispatch import _recorder
from sassafrashold.store.tests import stepped_store

_CLOCK = clock_lib.ManualClock()
_ZERO = datetime.timedelta()
_NO_DELAY = store_lib.Backoff(attempts=3, base=_ZERO)
_DEADLINE = _CLOCK.now() + datetime.timedelta(minutes=1)
_KEY = dispatch.claim_key("s", "k")
# Each run uses few kinds of faults, so that long sequences of the same fault
# are generated.
_FAULT_PROFILES = strategies.lists(
    strategies.sampled_from(store_lib.Fault), min_size=1, max_size=4
).map(lambda faults: [*faults, store_lib.Fault.NONE])


class _Attempt:
    """One request of the caller, served by one host."""

    def __init__(self, claim_id, host, body):
        self.claim_id = claim_id
        self.host = host
        self.body = body
        self.is_first = False
        self.has_run = False
        self.answer = None
        self.task = None

    @property
    def is_waiting(self):
        """Whether the request was sent and the leaf has not answered."""
        return self.answer is not None and not self.answer.done()

    async def send(self, claim_id):
        assert claim_id == self.claim_id
        self.answer = asyncio.Future()
        ran, error_ran = await self.answer
        self.has_run = ran
        if error_ran is not None:
            raise errors.RpcError(
                errors.ErrorCode.LEAF_FAILED, "", ran=error_ran
            )
        return b"result of " + claim_id.encode()


class ManyHosts(stateful.RuleBasedStateMachine):
    """Hosts that share a store, with store faults and host crashes."""

    def __init__(self):
        super().__init__()
        self.loop = stepped_store.Loop()
        self.shared = store_lib.MemoryStore()
        self.hosts = []
        self.attempts = []
        self.dead = set()
        for number in range(2):
            self._start_host(number)

    def _start_host(self, number):
        store = stepped_store.SteppedStore(self.shared)
        dispatcher = dispatch.Dispatcher(
            store,
            f"h{number}",
            _CLOCK,
            new_id=self._next_claim_id,
            resolution_backoff=_NO_DELAY,
            recording_backoff=_NO_DELAY,
            record_wait=_ZERO,
        )
        self.hosts.append((store, dispatcher))

    @stateful.initialize(faults=_FAULT_PROFILES)
    def choose_faults(self, faults):
        self.faults = faults

    def _next_claim_id(self):
        return f"claim-{len(self.attempts)}"

    @stateful.rule(
        number=strategies.integers(0, 1),
        body=strategies.sampled_from([b"a", b"a", b"a", b"a", b"b"]),
    )
    @stateful.precondition(lambda self: len(self._stores_with_calls()) < 3)
    def request(self, number, body):
        _, dispatcher = self.hosts[number]
        attempt = _Attempt(self._next_claim_id(), dispatcher, body)
        attempt.is_first = not self.attempts
        attempt.task = self.loop.start(
            dispatcher.run(
                "s",
                "k",
                body,
                _DEADLINE,
                attempt.send,
                is_first_attempt=attempt.is_first,
            )
        )
        self.attempts.append(attempt)

    @stateful.rule(
        position=strategies.integers(0, 5), fault=strategies.integers(0, 4)
    )
    @stateful.precondition(lambda self: self._stores_with_calls())
    def release_store_call(self, position, fault):
        stores = self._stores_with_calls()
        fault = self.faults[fault % len(self.faults)]
        store = stores[position % len(stores)]
        store.release(position // len(stores) % store.waiting, fault)
        self.loop.settle()

    def _stores_with_calls(self):
        return [store for store, _ in self.hosts if store.waiting]

    @stateful.rule(
        number=strategies.integers(0, 5),
        answer=strategies.sampled_from(
            [
                (True, None),
                (True, None),
                (True, errors.Ran.OUTCOME_UNKNOWN),
                (False, errors.Ran.OUTCOME_UNKNOWN),
                (False, errors.Ran.NOT_RUN),
            ]
        ),
    )
    @stateful.precondition(lambda self: self._sent())
    def answer_send(self, number, answer):
        sent = self._sent()
        sent[number % len(sent)].answer.set_result(answer)
        self.loop.settle()

    def _sent(self):
        return [attempt for attempt in self.attempts if attempt.is_waiting]

    @stateful.rule()
    @stateful.precondition(lambda self: self.shared.has_delayed)
    def deliver_delayed(self):
        self.loop.run(self.shared.deliver_delayed())

    @stateful.rule(
        number=strategies.integers(0, 1),
        is_applied=strategies.booleans(),
        has_run=strategies.booleans(),
    )
    def kill_host(self, number, is_applied, has_run):
        """The writes of a killed host may be applied, and its sends may run."""
        store, dispatcher = self.hosts.pop(number)
        for attempt in self.attempts:
            if attempt.host is dispatcher:
                self.dead.add(attempt)
                if attempt.is_waiting:
                    attempt.has_run = has_run
        self._start_host(number)
        self.hosts.insert(number, self.hosts.pop())
        if is_applied and store.waiting:
            store.release(0, store_lib.Fault.LOST_ANSWER)
            self.loop.settle()

    @stateful.invariant()
    def runs_at_most_once(self):
        assert sum(attempt.has_run for attempt in self.attempts) <= 1
        waiting = [
            attempt
            for attempt in self.attempts
            if attempt.is_waiting and attempt not in self.dead
        ]
        assert len(waiting) <= 1

    @stateful.invariant()
    def answers_match_execution(self):
        for attempt in self.attempts:
            if attempt in self.dead or not attempt.task.done():
                continue
            error = attempt.task.exception()
            if error is None:
                self._check_result(attempt)
            elif error.ran is errors.Ran.NOT_RUN:
                assert not attempt.has_run
                assert not attempt.is_waiting
                if error.code is not errors.ErrorCode.KEY_REUSED:
                    # NOT_RUN covers all attempts with the key: this host held
                    # the claim and none had run, or this was the first.
                    assert attempt.answer is not None or attempt.is_first

    def _check_result(self, attempt):
        outcome = attempt.task.result()
        (ran,) = [found for found in self.attempts if found.has_run]
        assert outcome.result == b"result of " + ran.claim_id.encode()
        assert ran.body == attempt.body
        assert outcome.replayed == (ran is not attempt)

    def teardown(self):
        while self._complete_step():
            self.loop.settle()
        self.loop.run(self.shared.deliver_delayed())
        try:
            self.runs_at_most_once()
            self.answers_match_execution()
            self._check_records()
        finally:
            self.loop.close()

    def _complete_step(self):
        """Completes one pending step of a live host, if there is one."""
        for attempt in self.attempts:
            if attempt.is_waiting and attempt not in self.dead:
                attempt.answer.set_result((True, None))
                return True
        for store, _ in self.hosts:
            if store.waiting:
                store.release(0, store_lib.Fault.NONE)
                return True
        return False

    def _check_records(self):
        """Checks that the claim of a live host reached its final state."""
        stored = self.shared.current(_KEY)
        if stored is None:
            return
        claim = dispatch.Claim.decode(_KEY, stored.value)
        for attempt in self.attempts:
            if attempt in self.dead or attempt.claim_id != claim.claim_id:
                continue
            error = attempt.task.exception()
            if error is None:
                assert claim.state is dispatch.ClaimState.DONE
            elif error.ran is errors.Ran.NOT_RUN:
                assert claim.state is dispatch.ClaimState.RELEASED


ManyHosts.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
test_many_hosts = ManyHosts.TestCase


def _dispatcher(store, host="h"):
    return dispatch.Dispatcher(
        store,
        host,
        _CLOCK,
        resolution_backoff=_NO_DELAY,
        recording_backoff=_NO_DELAY,
    )


def _recording_send(log, result=b"r", ran=None):
    async def send(claim_id):
        log.append(claim_id)
        if ran is not None:
            raise errors.LeafError(errors.ErrorCode.LEAF_SHED, "", ran=ran)
        return result

    return send


async def _run(store, send, body=b"b", key="k", deadline=_DEADLINE):
    try:
        return await _dispatcher(store).run("s", key, body, deadline, send)
    except errors.DispatchError as error:
        return error.code, error.ran


_UNKNOWN = (errors.ErrorCode.OUTCOME_UNKNOWN, errors.Ran.OUTCOME_UNKNOWN)


def _not_run(name):
    return errors.ErrorCode[name], errors.Ran.NOT_RUN


@pytest.mark.parametrize(
    ("ran", "body", "first", "second", "sends", "writes"),
    [
        (
            None,
            b"b",
            dispatch.Outcome(b"r", False),
            dispatch.Outcome(b"r", True),
            1,
            3,
        ),
        (
            None,
            b"other",
            dispatch.Outcome(b"r", False),
            _not_run("KEY_REUSED"),
            1,
            3,
        ),
        (errors.Ran.OUTCOME_UNKNOWN, b"b", _UNKNOWN, _UNKNOWN, 1, 2),
        (
            errors.Ran.NOT_RUN,
            b"b",
            _not_run("LEAF_SHED"),
            _not_run("LEAF_SHED"),
            2,
            5,
        ),
    ],
)
async def test_retry_on_another_host_gets_recorded_outcome(
    ran, body, first, second, sends, writes
):
    store = store_lib.MemoryStore()
    log: list[str] = []
    assert await _run(store, _recording_send(log, ran=ran)) == first
    assert await _run(store, _recording_send(log, ran=ran), body) == second
    assert len(log) == sends
    assert store.calls["put"] == writes


@pytest.mark.parametrize("ran", [None, *errors.Ran])
async def test_no_short_sequence_of_faults_runs_a_dispatch_twice(ran):
    for faults in itertools.product(store_lib.Fault, repeat=3):
        store = store_lib.MemoryStore()
        store.faults.extend(faults)
        log: list[str] = []
        attempts = []
        for host in ("h1", "h2", "h3", "h4"):
            if host == "h4":
                store.faults.clear()
            dispatcher = _dispatcher(store, host)
            before = len(log)
            try:
                await dispatcher.run(
                    "s", "k", b"b", _DEADLINE, _recording_send(log, ran=ran)
                )
                reported_ran = None
            except errors.DispatchError as error:
                reported_ran = error.ran
            attempts.append((reported_ran, len(log) - before))
            assert await dispatcher.drain(datetime.timedelta(seconds=5)) == 0
            await store.deliver_delayed()
        if ran is errors.Ran.NOT_RUN:
            # The key can be used again, whichever writes were lost.
            assert attempts[-1] == (errors.Ran.NOT_RUN, 1), faults
            continue
        assert attempts[-1][0] is ran, faults
        assert len(log) == 1, faults
        assert errors.Ran.NOT_RUN not in [
            reported_ran for reported_ran, _ in attempts
        ]


async def test_late_release_does_not_change_claim_of_another_host():
    store = store_lib.MemoryStore()
    released = dispatch.Claim(
        "ours", "h1", "hash", _CLOCK.now(), dispatch.ClaimState.RELEASED
    )
    theirs = dataclasses.replace(
        released, claim_id="theirs", state=dispatch.ClaimState.CLAIMED
    )
    await store.put(_KEY, released.encode(), 0)
    await store.put(_KEY, theirs.encode(), 1)
    store.faults.extend([store_lib.Fault.NONE, store_lib.Fault.STALE])
    await _recorder.Recorder(store, _NO_DELAY).start(
        _recorder.Record(_KEY, released, 1)
    )
    stored = store.current(_KEY)
    assert stored == store_lib.Stored(_KEY, 2, theirs.encode())


@pytest.mark.parametrize("is_first", [True, False])
async def test_not_run_before_claim_requires_first_attempt(is_first):
    store = store_lib.MemoryStore()
    log: list[str] = []
    cases = [
        ("STORE_UNAVAILABLE", True, _DEADLINE),
        ("DEADLINE_EXCEEDED", False, _CLOCK.now()),
    ]
    for code, store.down, deadline in cases:
        with pytest.raises(errors.DispatchError) as caught:
            await _dispatcher(store).run(
                "s",
                "k",
                b"b",
                deadline,
                _recording_send(log),
                is_first_attempt=is_first,
            )
        assert caught.value.code.value == code
        assert (caught.value.ran is errors.Ran.NOT_RUN) == is_first
    assert log == []
    assert await store.list("") == {}


async def test_result_is_recorded_after_store_faults():
    store = store_lib.MemoryStore()
    log: list[str] = []
    dispatcher = _dispatcher(store)

    async def send(claim_id):
        store.faults.extend([store_lib.Fault.DOWN, store_lib.Fault.LOST_ANSWER])
        return await _recording_send(log)(claim_id)

    outcome = await dispatcher.run("s", "k", b"b", _DEADLINE, send)
    assert outcome == dispatch.Outcome(b"r", False)
    assert await dispatcher.drain(datetime.timedelta(seconds=5)) == 0
    assert await _run(store, send) == dispatch.Outcome(b"r", True)
    assert len(log) == 1


async def test_result_too_large_to_store_is_outcome_unknown():
    store = store_lib.MemoryStore()
    log: list[str] = []
    large = b"x" * (dispatch.MAX_RESULT_BYTES + 1)
    assert await _run(store, _recording_send(log, large)) == dispatch.Outcome(
        large, False
    )
    assert await _run(store, _recording_send(log)) == _UNKNOWN
    assert len(log) == 1


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("", _not_run("KEY_MISSING")),
        ("a b", _not_run("BAD_REQUEST")),
        ("ü", _not_run("BAD_REQUEST")),
        ("x" * 129, _not_run("BAD_REQUEST")),
        ("a\n", _not_run("BAD_REQUEST")),
        ("../a%2F?#" + "/" * 100, dispatch.Outcome(b"r", False)),
        ("..", dispatch.Outcome(b"r", False)),
    ],
)
async def test_keys_are_rejected_or_encoded(key, expected):
    store = store_lib.MemoryStore()
    assert await _run(store, _recording_send([]), key=key) == expected
    stored = list(await store.list("claims/s/"))
    assert len(stored) == isinstance(expected, dispatch.Outcome)
    assert all(found.count("/") == 2 and "." not in found for found in stored)


async def test_only_claims_older_than_a_day_are_deleted():
    store, clock = store_lib.MemoryStore(), clock_lib.ManualClock()
    for number in range(4):
        dispatcher = dispatch.Dispatcher(store, "h", clock)
        deadline = clock.now() + datetime.timedelta(minutes=1)
        await dispatcher.run(
            "s", str(number), b"", deadline, _recording_send([])
        )
        clock.advance(datetime.timedelta(hours=8))
    first = await dispatch.delete_expired(store, clock, limit=3)
    assert first == dispatch.Cleanup(3, 2, "claims/s/3")
    assert await dispatch.delete_expired(
        store, clock, start_key="claims/s/3"
    ) == dispatch.Cleanup(1, 0, None)
    assert list(await store.list("")) == ["claims/s/2", "claims/s/3"]
