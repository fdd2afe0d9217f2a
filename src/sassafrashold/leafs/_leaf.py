"""The aggregate of one leaf: its queue and its slots."""

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
_BATCH_DEADLINE_SHARE = 0.7
_LATE_QUANTILE = 0.9
_OVERLOAD_RETRY = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True)
class Batch:
    """A call that has its slot and is about to be sent."""

    call: _state.Call
    """The slot."""

    entries: tuple[_queue.Entry, ...]
    """Items in the order of the call."""

    @property
    def work(self) -> _work.Work:
        """Work of the first item; service and version are those of all."""
        return self.entries[0].work


class Leaf:
    """Takes work, forms calls and hands out answers, each exactly once.

    It has no I/O. The caller passes the entitlement to each decision, runs the
    calls, reports their ends and delivers the answers that it gets back.
    """

    def __init__(
        self,
        limits: _state.LeafLimits,
        clock: clock_lib.Clock,
        *,
        cold_start: bool = True,
    ) -> None:
        """Initializes a newly owned leaf.

        Args:
            limits: From the table.
            clock: The clock.
            cold_start: False turns the cold-start rule off (baseline).
        """
        self._clock = clock
        self.state = _state.LeafState(limits, clock, cold_start=cold_start)
        self.queue = _queue.WorkQueue(limits.queue_limit)

    def configure(
        self, limits: _state.LeafLimits, weight_by_class: Mapping[str, float]
    ) -> None:
        """Takes over limits and class weights from the table."""
        self.state.configure(limits)
        self.queue.configure(limits.queue_limit, weight_by_class)

    @property
    def idle(self) -> bool:
        """Whether nothing waits and no slot is in use."""
        return not len(self.queue) and not self.state.in_use()

    def submit(
        self, waiter: _work.Waiter, granted: int
    ) -> errors.SassafrasError | None:
        """Queues work; returns the refusal (not run) if it cannot."""
        refusal = self._refusal(waiter.work, granted)
        if refusal is None:
            self.queue.add(waiter)
        return refusal

    def cancel(self, waiter: _work.Waiter) -> bool:
        """Removes work that still waits; False if it does not."""
        return self.queue.remove(waiter)

    def next_batch(self, granted: int) -> Batch | None:
        """Takes a slot for the next batch, if one may start now."""
        free = self.state.free(granted)
        if not free or not len(self.queue):
            return None
        now = self._clock.monotonic()
        limit = self._batch_limit(free, now)
        ready = now + self.state.latency.expected(limit)
        entries = self.queue.take(limit, ready)
        deadline = min(
            max(w.work.deadline for e in entries for w in e.waiters),
            now + _entitlement.LONGEST_LEAF_CALL,
        )
        call = self.state.start(granted, len(entries), deadline)
        return Batch(call, tuple(entries))

    def drop_late(self, granted: int) -> Answers:
        """Refuses what waits and can no longer finish in time.

        If a class has enough work for a call of the most useful size, its work
        that would be late in such a call is refused as well. Otherwise, under
        overload, the work that is nearly late would keep all calls small.

        Args:
            granted: Slots of the entitlement.
        """
        now = self._clock.monotonic()
        margin = datetime.timedelta()
        if self.state.in_use():
            margin = self.state.latency.quantile(_LATE_QUANTILE)
        late = self.queue.expire(now + margin)
        free = self.state.free(granted)
        head = self.queue.earliest()
        if free and head is not None and not head.work.dispatch:
            size = self._useful_size(free)
            ready = now + self._planned(size)
            name = head.work.priority_class
            if self.queue.on_time(name, ready) >= size > 1:
                late += self.queue.expire(ready, name)
        error = errors.LeafError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            "the deadline would pass before the leaf answers",
        )
        return [(waiter, error) for waiter in late]

    def refuse_all(self, error: errors.SassafrasError) -> Answers:
        """Refuses everything that waits."""
        return [(waiter, error) for waiter in self.queue.clear()]

    def not_sent(self, batch: Batch, error: errors.SassafrasError) -> Answers:
        """Ends a call that was stopped before anything was sent."""
        self.state.abandon(batch.call)
        return _to_all(batch, error)

    def failed(self, batch: Batch, error: errors.SassafrasError) -> Answers:
        """Ends a call without a result."""
        self.state.fail(batch.call, error)
        return _to_all(batch, error)

    def succeeded(
        self, batch: Batch, generation: str, result: Mapping[int, bytes]
    ) -> Answers:
        """Ends a call with the rows of its items by position."""
        self.state.succeed(batch.call, generation)
        called = self._clock.monotonic() - batch.call.started
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
                        called,
                        len(batch.entries),
                        self.state.cold,
                    )
                answers.append((waiter, answer))
        return answers

    def _refusal(
        self, work: _work.Work, granted: int
    ) -> errors.SassafrasError | None:
        state = self.state
        free = state.free(granted)
        if state.phase is not _state.Phase.SERVING and (
            not free or len(self.queue)
        ):
            return self._phase_refusal()
        busy = not free or len(self.queue) or state.cold or state.draining
        if work.extra and busy:
            return errors.LeafError(
                errors.ErrorCode.LEAF_BUSY,
                "the leaf has no spare capacity for hedges and retries",
            )
        if self.queue.full:
            return errors.LeafError(
                errors.ErrorCode.OVERLOADED,
                "the queue of the leaf is full",
                retry_after=_OVERLOAD_RETRY,
            )
        return self._late_refusal(work, granted)

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
        self, work: _work.Work, granted: int
    ) -> errors.SassafrasError | None:
        """Refuses work that would be late; an idle leaf always gets a try.

        Without that try a wrong estimate would never be corrected.
        """
        now = self._clock.monotonic()
        if work.deadline > now and self.idle:
            return None
        wait = self.estimated_wait(work, granted)
        if now + wait + self.state.latency.quantile(0.5) < work.deadline:
            return None
        return errors.LeafError(
            errors.ErrorCode.DEADLINE_TOO_SHORT,
            f"the wait for the leaf is about {clock_lib.to_ms(wait)} ms",
            retry_after=wait,
        )

    def estimated_wait(
        self, work: _work.Work, granted: int
    ) -> datetime.timedelta:
        """Returns about how long new work waits before its call starts."""
        state = self.state
        now = self._clock.monotonic()
        wait = max(state.next_attempt() - now, datetime.timedelta())
        if state.free(granted) and not len(self.queue):
            return wait
        latency = state.latency
        slots = max(1, min(granted, state.window))
        wait += min(
            (
                max(
                    call.started + latency.expected(call.size) - now,
                    datetime.timedelta(),
                )
                for call in state.calls
            ),
            default=datetime.timedelta(),
        )
        size = latency.useful_batch()
        batches, rest = divmod(
            math.ceil(self.queue.ahead_of(work) / slots), size
        )
        wait += batches * latency.expected(size)
        return wait + (latency.expected(rest) if rest else wait * 0)

    def _batch_limit(self, free: int, now: datetime.timedelta) -> int:
        """Returns how many items the next call takes.

        Items are spread over the free slots. A call is neither larger than
        what batching gains nor longer than the time left of its first item.
        """
        head = self.queue.earliest()
        if head is None or self.state.phase is not _state.Phase.SERVING:
            return 1
        return min(
            self._useful_size(free),
            self.state.latency.batch_within(
                (head.work.deadline - now) * _BATCH_DEADLINE_SHARE
            ),
        )

    def _useful_size(self, free: int) -> int:
        """Returns the size of calls that serves what waits fastest."""
        spread = math.ceil(len(self.queue) / free)
        return min(spread, self.state.latency.useful_batch())

    def _planned(self, size: int) -> datetime.timedelta:
        """Returns the time that is set aside for a call, with a margin."""
        return self.state.latency.expected(size) / _BATCH_DEADLINE_SHARE


def _to_all(batch: Batch, answer: _work.Answer) -> Answers:
    return [
        (waiter, answer) for entry in batch.entries for waiter in entry.waiters
    ]
