"""State machine of one query that is pinned to an index version."""

import dataclasses
import datetime
import enum
import heapq
import itertools
import random
import typing

from sassafrashold import errors
from sassafrashold import extra_load
from sassafrashold.search import _attempt
from sassafrashold.search import _coverage
from sassafrashold.search import _failures
from sassafrashold.search import _leafs
from sassafrashold.search import _replicas
from sassafrashold.search import _retry
from sassafrashold.search import _topology

_MAX_PAID_RETRIES = 5
_MAX_HEDGES = 3
_HEDGE_RECHECK = datetime.timedelta(milliseconds=10)


@dataclasses.dataclass(frozen=True)
class Step:
    """What the caller of the plan has to do after an event."""

    send: tuple[_attempt.Attempt, ...] = ()
    """Sub-queries to send."""

    abandoned: tuple[_attempt.Attempt, ...] = ()
    """Open sub-queries to cancel; their results are not needed."""


_NO_STEP = Step()


class _TimerKind(enum.Enum):
    HEDGE = 0
    RETRY = 1
    PAID_RETRY = 2


class _Shard:
    """State of one shard of the query."""

    __slots__ = (
        "error",
        "excluded_leafs",
        "free_retries",
        "gone_replicas",
        "hedges",
        "number",
        "open_attempts",
        "paid_retries",
        "replicas",
        "rows",
        "settled",
        "tried_leafs",
    )

    def __init__(
        self, number: int, replicas: tuple[_topology.Replica, ...]
    ) -> None:
        self.number = number
        self.replicas = replicas
        self.open_attempts: list[_attempt.Attempt] = []
        self.tried_leafs: set[str] = set()
        self.excluded_leafs: set[str] = set()
        self.gone_replicas = 0
        self.hedges = 0
        self.paid_retries = 0
        self.free_retries = 0
        self.settled = False
        self.rows: bytes | None = None
        self.error: errors.SassafrasError | None = None


class QueryPlan:
    """Tracks each shard and accepts at most one result for it.

    Only results of the pinned version are accepted. The caller reports events
    and carries out the returned steps; the plan does no I/O. Times are
    monotonic.
    """

    def __init__(
        self,
        topology: _topology.ServiceTopology,
        chooser: _replicas.ReplicaChooser,
        tracker: _leafs.LeafTracker,
        budget: extra_load.ExtraLoadBudget,
        random_source: random.Random,
        deadline: datetime.timedelta,
        hedging: bool = True,
    ) -> None:
        """Initializes the plan.

        Args:
            topology: The pinned version and its usable replicas.
            chooser: Chooses replicas.
            tracker: Records latencies and failures.
            budget: Limits hedges and retries.
            random_source: Source of the retry jitter.
            deadline: Time at which the plan ends; shards without a result are
                missing then.
            hedging: Whether to hedge.
        """
        self._topology = topology
        self._chooser = chooser
        self._tracker = tracker
        self._budget = budget
        self._random = random_source
        self._deadline = deadline
        self._hedging = hedging
        self._shards = [
            _Shard(number, replicas)
            for number, replicas in enumerate(topology.replicas_by_shard)
        ]
        self._timers: list[
            tuple[
                datetime.timedelta,
                int,
                _Shard,
                _TimerKind,
                _attempt.Attempt | None,
            ]
        ] = []
        self._timer_sequence = itertools.count()
        self._unsettled = 0
        self._certainly_not_run = True
        self.attempts: list[_attempt.Attempt] = []
        self.version_gone = False
        self.late_results = 0

    @property
    def version(self) -> str:
        """Name of the pinned version."""
        return self._topology.version

    @property
    def finished(self) -> bool:
        """Whether every shard has a result or has failed permanently."""
        return self._unsettled == 0

    @property
    def certainly_not_run(self) -> bool:
        """Whether no sub-query can have run at a leaf."""
        return self._certainly_not_run and not any(
            attempt.ended is None for attempt in self.attempts
        )

    def is_past_deadline(self, now: datetime.timedelta) -> bool:
        """Returns whether the deadline of the plan has passed."""
        return now >= self._deadline

    def next_wakeup(self) -> datetime.timedelta:
        """Returns the latest time at which `on_timer` must be called."""
        if self._timers:
            return min(self._timers[0][0], self._deadline)
        return self._deadline

    def coverage(self) -> _coverage.Coverage:
        """Returns which shards have a result."""
        return _coverage.Coverage(
            len(self._shards),
            tuple(s.number for s in self._shards if s.rows is None),
        )

    def rows(self) -> list[bytes]:
        """Returns the accepted results, ordered by shard."""
        return [s.rows for s in self._shards if s.rows is not None]

    def error_by_shard(self) -> dict[int, errors.SassafrasError]:
        """Returns the last error of each shard without a result."""
        return {
            s.number: s.error
            for s in self._shards
            if s.rows is None and s.error is not None
        }

    def start(self, now: datetime.timedelta) -> Step:
        """Starts the plan and returns the primary sub-queries to send."""
        served = [shard for shard in self._shards if shard.replicas]
        for shard in self._shards:
            shard.settled = not shard.replicas
        self._unsettled = len(served)
        self._budget.earn(len(served))
        return Step(
            tuple(
                self._make_attempt(
                    shard,
                    self._chooser.primary(shard.replicas, now),
                    _attempt.AttemptKind.PRIMARY,
                    False,
                    now,
                )
                for shard in served
            )
        )

    def on_rows(
        self,
        attempt: _attempt.Attempt,
        version: str | None,
        rows: bytes,
        now: datetime.timedelta,
    ) -> Step:
        """Processes the result of a sub-query.

        A result for a shard that is settled is dropped and counted as late. A
        result of another version counts as a failure.
        """
        if version != self.version:
            return self.on_failure(
                attempt,
                errors.SearchError(
                    errors.ErrorCode.VERSION_MISMATCH,
                    f"leaf {attempt.replica.leaf_id} answered from version "
                    f"{version!r}, asked for {self.version!r}",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                ),
                now,
            )
        shard = self._shards[attempt.shard]
        self._certainly_not_run = False
        if attempt.ended is not None or shard.settled:
            self.late_results += 1
            return _NO_STEP
        self._end(attempt, "OK", now)
        record = attempt.replica.record
        record.record(now - attempt.started, now)
        record.backoff.succeed()
        shard.rows = rows
        return self._settle(shard, now)

    def on_failure(
        self,
        attempt: _attempt.Attempt,
        error: errors.SassafrasError,
        now: datetime.timedelta,
    ) -> Step:
        """Processes the failure of a sub-query and schedules any retry."""
        shard = self._shards[attempt.shard]
        if error.ran is not errors.Ran.NOT_RUN:
            self._certainly_not_run = False
        if attempt.ended is not None:
            return _NO_STEP
        self._end(attempt, error.code.value, now)
        self._track_failure(attempt, error, now)
        if shard.settled:
            return _NO_STEP
        shard.error = error
        action = _failures.retry_action_for(error)
        if action is _failures.RetryAction.EXCLUDE:
            self._exclude(shard, attempt, error)
        if error.code is errors.ErrorCode.LEAF_BUSY:
            # The owner refused the call before the leaf got it, so the leaf may
            # be tried again. The tracker avoids it while it is busy.
            shard.tried_leafs.discard(attempt.replica.leaf_id)
        if shard.open_attempts:
            # Another sub-query is open: it may get a further hedge.
            self._schedule(now, shard, _TimerKind.HEDGE, shard.open_attempts[0])
            return _NO_STEP
        return self._continue_after_failure(shard, action, now)

    def _continue_after_failure(
        self,
        shard: _Shard,
        action: _failures.RetryAction,
        now: datetime.timedelta,
    ) -> Step:
        """Retries or settles a shard that has no open sub-query."""
        match action:
            case _failures.RetryAction.GIVE_UP:
                return self._settle(shard, now)
            case _failures.RetryAction.EXCLUDE:
                return self._retry(shard, now, extra=False)
            case _failures.RetryAction.RETRY_FREE:
                self._schedule_retry(shard, shard.free_retries, now)
                shard.free_retries += 1
                return _NO_STEP
            case _failures.RetryAction.RETRY_PAID:
                return self._schedule_paid_retry(shard, now)
        typing.assert_never(action)

    def on_timer(self, now: datetime.timedelta) -> Step:
        """Sends the hedges and retries that are due."""
        if now >= self._deadline:
            return self.close(now)
        send: list[_attempt.Attempt] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, shard, timer, attempt = heapq.heappop(self._timers)
            if not shard.settled:
                send.extend(
                    self._on_timer_expired(shard, timer, attempt, now).send
                )
        return Step(tuple(send)) if send else _NO_STEP

    def close(self, now: datetime.timedelta) -> Step:
        """Ends the plan and abandons all open sub-queries."""
        abandoned: list[_attempt.Attempt] = []
        for shard in self._shards:
            if not shard.settled:
                abandoned.extend(
                    self._settle(shard, now, "UNANSWERED").abandoned
                )
        return Step(abandoned=tuple(abandoned))

    def _make_attempt(
        self,
        shard: _Shard,
        replica: _topology.Replica,
        kind: _attempt.AttemptKind,
        extra: bool,
        now: datetime.timedelta,
    ) -> _attempt.Attempt:
        attempt = _attempt.Attempt(
            len(self.attempts), shard.number, replica, kind, extra, now
        )
        self.attempts.append(attempt)
        replica.record.in_flight += 1
        shard.open_attempts.append(attempt)
        shard.tried_leafs.add(replica.leaf_id)
        if self._hedging and len(shard.replicas) > 1:
            delay = self._chooser.hedge_delay(replica, shard.replicas, now)
            self._schedule(now + delay, shard, _TimerKind.HEDGE, attempt)
        return attempt

    def _end(
        self, attempt: _attempt.Attempt, outcome: str, now: datetime.timedelta
    ) -> None:
        attempt.ended = now
        attempt.outcome = outcome
        attempt.replica.record.in_flight -= 1
        self._shards[attempt.shard].open_attempts.remove(attempt)

    def _settle(
        self, shard: _Shard, now: datetime.timedelta, outcome: str = "CANCELLED"
    ) -> Step:
        """Marks a shard as settled and abandons its open sub-queries."""
        shard.settled = True
        self._unsettled -= 1
        if not shard.open_attempts:
            return _NO_STEP
        abandoned = tuple(shard.open_attempts)
        for attempt in abandoned:
            # It stays unknown whether the leaf ran the sub-query.
            self._certainly_not_run = False
            self._end(attempt, outcome, now)
            attempt.replica.record.record_unfinished(now - attempt.started, now)
        return Step(abandoned=abandoned)

    def _track_failure(
        self,
        attempt: _attempt.Attempt,
        error: errors.SassafrasError,
        now: datetime.timedelta,
    ) -> None:
        """Updates the tracker according to the cause of the failure."""
        leaf_id = attempt.replica.leaf_id
        if error.code is errors.ErrorCode.LEAF_BUSY:
            self._tracker.leaf_busy(leaf_id, now)
        elif error.code is errors.ErrorCode.VERSION_GONE:
            self._tracker.version_gone(leaf_id, self.version, now)
        elif _failures.is_ownership_moving(error):
            self._tracker.leaf_moving(leaf_id, now)
        elif error.retry_after is not None:
            attempt.replica.record.backoff.avoid_for(now, error.retry_after)
        elif _failures.is_leaf_fault(error):
            self._tracker.leaf_failed(leaf_id, now)
        elif error.code is errors.ErrorCode.DEADLINE_EXCEEDED:
            attempt.replica.record.record_unfinished(now - attempt.started, now)

    def _exclude(
        self,
        shard: _Shard,
        attempt: _attempt.Attempt,
        error: errors.SassafrasError,
    ) -> None:
        shard.excluded_leafs.add(attempt.replica.leaf_id)
        if error.code is errors.ErrorCode.VERSION_GONE:
            shard.gone_replicas += 1
            if shard.gone_replicas == len(shard.replicas):
                self.version_gone = True

    def _on_timer_expired(
        self,
        shard: _Shard,
        timer: _TimerKind,
        attempt: _attempt.Attempt | None,
        now: datetime.timedelta,
    ) -> Step:
        match timer:
            case _TimerKind.HEDGE:
                return self._hedge(shard, attempt, now)
            case _TimerKind.RETRY:
                return self._retry(shard, now, extra=False)
            case _TimerKind.PAID_RETRY:
                if self._budget.try_spend():
                    return self._retry(shard, now, extra=True)
                return self._schedule_paid_retry(shard, now)
        typing.assert_never(timer)

    def _hedge(
        self,
        shard: _Shard,
        attempt: _attempt.Attempt | None,
        now: datetime.timedelta,
    ) -> Step:
        """Sends a hedge if `attempt` is the only open one of its shard."""
        if attempt is None or shard.open_attempts != [attempt]:
            return _NO_STEP
        if shard.hedges >= _MAX_HEDGES:
            return _NO_STEP
        replica = self._chooser.hedge(shard.replicas, now, shard.tried_leafs)
        if replica is None:
            if len(shard.tried_leafs) < len(shard.replicas):
                # A replica that is busy or in back-off may be free soon.
                expires_at = now + _HEDGE_RECHECK
                self._schedule(expires_at, shard, _TimerKind.HEDGE, attempt)
            return _NO_STEP
        if not self._budget.try_spend(urgent=attempt.is_hedge_urgent):
            # Try again after twice the delay: the hedge may use the reserve of
            # the budget then, and other queries may have earned tokens.
            attempt.is_hedge_urgent = True
            wait = max(now - attempt.started, _leafs.HEDGE_DELAY_MIN)
            self._schedule(now + wait, shard, _TimerKind.HEDGE, attempt)
            return _NO_STEP
        shard.hedges += 1
        hedge = self._make_attempt(
            shard, replica, _attempt.AttemptKind.HEDGE, True, now
        )
        return Step((hedge,))

    def _retry(
        self, shard: _Shard, now: datetime.timedelta, extra: bool
    ) -> Step:
        replica = self._chooser.retry(
            shard.replicas, now, shard.excluded_leafs, shard.tried_leafs
        )
        if replica is None:
            return self._settle(shard, now)
        return Step(
            (
                self._make_attempt(
                    shard, replica, _attempt.AttemptKind.RETRY, extra, now
                ),
            )
        )

    def _schedule_paid_retry(
        self, shard: _Shard, now: datetime.timedelta
    ) -> Step:
        """Schedules a retry that takes a token, or settles the shard."""
        if shard.paid_retries >= _MAX_PAID_RETRIES:
            return self._settle(shard, now)
        self._schedule_retry(
            shard, shard.paid_retries, now, _TimerKind.PAID_RETRY
        )
        shard.paid_retries += 1
        return _NO_STEP

    def _schedule_retry(
        self,
        shard: _Shard,
        retries_made: int,
        now: datetime.timedelta,
        timer: _TimerKind = _TimerKind.RETRY,
    ) -> None:
        expires_at = now + _retry.retry_delay(retries_made, self._random)
        self._schedule(expires_at, shard, timer, None)

    def _schedule(
        self,
        expires_at: datetime.timedelta,
        shard: _Shard,
        timer: _TimerKind,
        attempt: _attempt.Attempt | None,
    ) -> None:
        heapq.heappush(
            self._timers,
            (expires_at, next(self._timer_sequence), shard, timer, attempt),
        )
