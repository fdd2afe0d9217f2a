"""Queue and slots of one leaf, combined."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import datetime
import math

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold.leafs import _entitlement
from sassafrashold.leafs import _queue
from sassafrashold.leafs import _state
from sassafrashold.leafs import _work

Answers = list[tuple[_work.Waiter, _work.Answer]]
_MAX_CALL_TO_DEADLINE_RATIO = 0.7
_LATE_MARGIN_QUANTILE = 0.9
_OVERLOAD_RETRY_AFTER = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True)
class Batch:
    """A call that holds a slot and is ready to be sent."""

    call: _state.Call
    """The call, which holds the slot."""

    entries: tuple[_queue.Entry, ...]
    """Items, in the order in which they are sent."""

    @property
    def work(self) -> _work.Work:
        """Work of the first item; all items share its service and version."""
        return self.entries[0].work


class Leaf:
    """Queues work, forms batches and returns one answer for each waiter.

    It does no I/O. The caller passes the slots of its entitlement to each
    decision, makes the calls, reports their outcomes and delivers the answers
    that it gets back.
    """

    def __init__(
        self,
        limits: _state.LeafLimits,
        clock: clock_lib.Clock,
        *,
        cold_start: bool = True,
    ) -> None:
        """Initializes the state of a newly owned leaf, which counts as cold.

        Args:
            limits: Limits from the table.
            clock: Source of monotonic time.
            cold_start: False disables the cold-start limit, as a baseline for
                benchmarks.
        """
        self._clock = clock
        self.state = _state.LeafState(limits, clock, cold_start=cold_start)
        self.queue = _queue.WorkQueue(limits.queue_limit)

    def configure(
        self, limits: _state.LeafLimits, weight_by_class: Mapping[str, float]
    ) -> None:
        """Applies limits and class weights from the table."""
        self.state.configure(limits)
        self.queue.configure(limits.queue_limit, weight_by_class)

    @property
    def idle(self) -> bool:
        """Whether nothing waits and no slot is in use."""
        return not len(self.queue) and not self.state.in_use()

    def submit(
        self, waiter: _work.Waiter, granted_slots: int
    ) -> errors.SassafrasError | None:
        """Queues work, or returns the error if it is refused and not run."""
        refusal = self._refusal(waiter.work, granted_slots)
        if refusal is None:
            self.queue.add(waiter)
        return refusal

    def cancel(self, waiter: _work.Waiter) -> bool:
        """Removes waiting work; returns False if it does not wait any more."""
        return self.queue.remove(waiter)

    def next_batch(self, granted_slots: int) -> Batch | None:
        """Takes a slot for the next batch; returns None if none can start."""
        free_slots = self.state.free_slots(granted_slots)
        if not free_slots or not len(self.queue):
            return None
        now = self._clock.monotonic()
        limit = self._batch_limit(free_slots, now)
        expected_end = now + self.state.latency.expected_duration(limit)
        entries = self.queue.pop_batch(limit, expected_end)
        deadline = min(
            max(w.work.deadline for e in entries for w in e.waiters),
            now + _entitlement.MAX_LEAF_CALL_DURATION,
        )
        call = self.state.start(granted_slots, len(entries), deadline)
        return Batch(call, tuple(entries))

    def drop_late(self, granted_slots: int) -> Answers:
        """Refuses waiting work that can no longer finish in time.

        If a class has enough work that is on time for a call of the useful
        batch size, its work that would be late in a call of that size is
        refused as well. Otherwise, under overload, work close to its deadline
        would keep all calls small.

        Args:
            granted_slots: Slots of the entitlement.
        """
        now = self._clock.monotonic()
        margin = datetime.timedelta()
        if self.state.in_use():
            margin = self.state.latency.quantile(_LATE_MARGIN_QUANTILE)
        late = self.queue.expire(now + margin)
        free_slots = self.state.free_slots(granted_slots)
        head = self.queue.peek()
        if free_slots and head is not None and not head.work.dispatch:
            size = self._useful_size(free_slots)
            expected_end = now + self._planned_duration(size)
            name = head.work.priority_class
            if self.queue.count_due_after(name, expected_end) >= size > 1:
                late += self.queue.expire(expected_end, name)
        error = errors.LeafError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            "the deadline would pass before the leaf answers",
        )
        return [(waiter, error) for waiter in late]

    def refuse_all(self, error: errors.SassafrasError) -> Answers:
        """Removes all waiting work and answers it with an error."""
        return [(waiter, error) for waiter in self.queue.clear()]

    def record_not_sent(
        self, batch: Batch, error: errors.SassafrasError
    ) -> Answers:
        """Ends a call that was stopped before anything was sent."""
        self.state.abandon(batch.call)
        return _answer_all(batch, error)

    def requeue(
        self,
        batch: Batch,
        error: errors.SassafrasError,
        waiters: Collection[_work.Waiter],
    ) -> None:
        """Ends a call that the leaf did not run and queues its work again.

        Args:
            batch: The call.
            error: The refusal of the leaf.
            waiters: Waiters of the batch that have not been cancelled.
        """
        self.state.fail(batch.call, error)
        for entry in batch.entries:
            for waiter in entry.waiters:
                if waiter in waiters:
                    self.queue.add(waiter)

    def record_failure(
        self, batch: Batch, error: errors.SassafrasError
    ) -> Answers:
        """Ends a call that failed and answers all items with the error."""
        self.state.fail(batch.call, error)
        return _answer_all(batch, error)

    def record_success(
        self, batch: Batch, generation: str, result: Mapping[int, bytes]
    ) -> Answers:
        """Ends a call that was answered.

        Args:
            batch: The call.
            generation: Generation in the answer of the leaf.
            result: JSON rows by position of the item.
        """
        self.state.succeed(batch.call, generation)
        call_time = self._clock.monotonic() - batch.call.started
        answers: Answers = []
        for position, entry in enumerate(batch.entries):
            value = result.get(position)
            for waiter in entry.waiters:
                if value is None:
                    answer: _work.Answer = errors.LeafError(
                        errors.ErrorCode.LEAF_FAILED,
                        "the leaf left the item out of its answer",
                        ran=errors.Ran.OUTCOME_UNKNOWN,
                    )
                else:
                    answer = _work.Rows(
                        value,
                        waiter.work.index_version,
                        batch.call.started - waiter.enqueued,
                        call_time,
                        len(batch.entries),
                        self.state.cold,
                    )
                answers.append((waiter, answer))
        return answers

    def _refusal(
        self, work: _work.Work, granted_slots: int
    ) -> errors.SassafrasError | None:
        state = self.state
        free_slots = state.free_slots(granted_slots)
        if state.phase is not _state.Phase.SERVING and (
            not free_slots or len(self.queue)
        ):
            return self._phase_refusal()
        busy = not free_slots or len(self.queue) or state.cold or state.draining
        if work.extra and busy:
            return errors.LeafError(
                errors.ErrorCode.LEAF_BUSY,
                "the leaf has no spare capacity for hedges and retries",
            )
        if self.queue.full:
            return errors.LeafError(
                errors.ErrorCode.OVERLOADED,
                "the queue of the leaf is full",
                retry_after=_OVERLOAD_RETRY_AFTER,
            )
        return self._late_refusal(work, granted_slots)

    def _phase_refusal(self) -> errors.SassafrasError:
        state = self.state
        code = errors.ErrorCode.LEAF_UNREACHABLE
        if state.phase is _state.Phase.DRAINING:
            code = errors.ErrorCode.DRAINING
        pause = state.next_attempt() - self._clock.monotonic()
        return errors.LeafError(
            code,
            f"the leaf is {state.phase.value}",
            retry_after=max(pause, datetime.timedelta()),
        )

    def _late_refusal(
        self, work: _work.Work, granted_slots: int
    ) -> errors.SassafrasError | None:
        """Returns the error for work that would be late, else None.

        An idle leaf accepts all work with time left, because a wrong latency
        estimate would otherwise never be corrected.
        """
        now = self._clock.monotonic()
        if work.deadline > now and self.idle:
            return None
        wait = self.estimated_wait(work, granted_slots)
        if now + wait + self.state.latency.quantile(0.5) < work.deadline:
            return None
        return errors.LeafError(
            errors.ErrorCode.DEADLINE_TOO_SHORT,
            f"the wait for the leaf is about {clock_lib.to_ms(wait)} ms",
            retry_after=wait,
        )

    def estimated_wait(
        self, work: _work.Work, granted_slots: int
    ) -> datetime.timedelta:
        """Returns the expected time until the call for new work starts."""
        state = self.state
        now = self._clock.monotonic()
        wait = max(state.next_attempt() - now, datetime.timedelta())
        if state.free_slots(granted_slots) and not len(self.queue):
            return wait
        latency = state.latency
        slots = max(1, min(granted_slots, state.window))
        wait += min(
            (
                max(
                    call.started + latency.expected_duration(call.size) - now,
                    datetime.timedelta(),
                )
                for call in state.calls
            ),
            default=datetime.timedelta(),
        )
        size = latency.useful_batch_size()
        batches, remainder = divmod(
            math.ceil(self.queue.count_ahead_of(work) / slots), size
        )
        wait += batches * latency.expected_duration(size)
        return wait + (
            latency.expected_duration(remainder) if remainder else wait * 0
        )

    def _batch_limit(self, free_slots: int, now: datetime.timedelta) -> int:
        """Returns the maximum number of items in the next call.

        The items are spread over the free slots. A call is not larger than the
        useful batch size and is expected to end before the deadline of its
        first item.
        """
        head = self.queue.peek()
        if head is None or self.state.phase is not _state.Phase.SERVING:
            return 1
        return min(
            self._useful_size(free_slots),
            self.state.latency.max_items_within(
                (head.work.deadline - now) * _MAX_CALL_TO_DEADLINE_RATIO
            ),
        )

    def _useful_size(self, free_slots: int) -> int:
        """Returns the batch size that serves the waiting items fastest."""
        spread = math.ceil(len(self.queue) / free_slots)
        return min(spread, self.state.latency.useful_batch_size())

    def _planned_duration(self, size: int) -> datetime.timedelta:
        """Returns the expected duration of a call plus a safety margin."""
        return (
            self.state.latency.expected_duration(size)
            / _MAX_CALL_TO_DEADLINE_RATIO
        )


def _answer_all(batch: Batch, answer: _work.Answer) -> Answers:
    return [
        (waiter, answer) for entry in batch.entries for waiter in entry.waiters
    ]
