"""Slots in use, cold start, reachability and latency of one leaf."""

import collections
import dataclasses
import datetime
import enum

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import table
from sassafrashold.leafs import _entitlement
from sassafrashold.leafs import _latency

_OVERLOAD_WINDOW_CALLS = 20
_OVERLOADS_UNTIL_COLD = 2
# Errors with which an overloaded cold leaf answers calls.
_OVERLOAD_CODES = frozenset(
    {errors.ErrorCode.LEAF_SHED, errors.ErrorCode.LEAF_FAILED}
)
_TIMEOUTS_UNTIL_UNREACHABLE = 2
_MIN_SIGNIFICANT_TIMEOUT = datetime.timedelta(milliseconds=500)
_INITIAL_BACKOFF = datetime.timedelta(milliseconds=100)
_MAX_BACKOFF = datetime.timedelta(seconds=5)
_MAX_SHED_PAUSE = datetime.timedelta(seconds=1)
_SPARE_CONNECTIONS = 1


class Phase(enum.Enum):
    """Whether a leaf accepts work."""

    SERVING = "serving"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True)
class LeafLimits:
    """Limits of a leaf, from the table row of its service."""

    slots: int
    """Maximum number of concurrent calls."""

    connections: int
    """Maximum number of open connections."""

    cold_start_slots: int
    """Maximum number of concurrent calls at the beginning of a cold start."""

    warmup_successes: int
    """Consecutive successes that grow the window by one slot."""

    queue_limit: int
    """Maximum number of waiters in the queue."""

    @classmethod
    def from_row(cls, row: table.ServiceRow) -> "LeafLimits":
        """Creates the limits from a row of the table."""
        return cls(
            row.slots_per_leaf,
            row.connections_per_leaf,
            row.cold_start_slots,
            row.warmup_successes,
            row.queue_limit,
        )


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to a leaf, which uses one slot."""

    call_id: int
    """Unique within the leaf."""

    size: int
    """Number of items in the call."""

    started: datetime.timedelta
    """Monotonic time at which the slot was taken."""

    deadline: datetime.timedelta
    """Monotonic time at which the leaf stops working on the call."""


class LeafState:
    """Limits the number of concurrent calls to a leaf.

    A slot becomes free when the leaf answers the call. If the connection is
    lost before that, the leaf may still be working on the call, so the slot
    stays in use until the leaf confirms that the call has ended (`release`) or
    until the deadline of the call plus the maximum clock skew has passed.
    """

    def __init__(
        self,
        limits: LeafLimits,
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
        self._limits = limits
        self._clock = clock
        self._cold_start_enabled = cold_start
        self._window = limits.cold_start_slots
        self._cold_since = clock.monotonic()
        self._successes = 0
        self._timeouts = 0
        self._recent_overloads: collections.deque[bool] = collections.deque(
            maxlen=_OVERLOAD_WINDOW_CALLS
        )
        self._call_by_id: dict[int, Call] = {}
        self._lost_call_end_by_id: dict[int, datetime.timedelta] = {}
        self._last_id = 0
        self._generation: str | None = None
        self._generation_changed_at = datetime.timedelta()
        self._reports_draining = False
        self._backoff = _INITIAL_BACKOFF
        self._next_attempt_at = datetime.timedelta()
        self.phase = Phase.SERVING
        self.latency = _latency.Latency()
        self.cold_starts = 0
        self.last_success = datetime.timedelta()

    @property
    def limits(self) -> LeafLimits:
        """Limits from the table."""
        return self._limits

    @property
    def window(self) -> int:
        """Maximum number of concurrent calls under the cold-start limit."""
        return self._window if self._cold_start_enabled else self._limits.slots

    @property
    def cold(self) -> bool:
        """Whether the window is smaller than the number of slots."""
        return self.window < self._limits.slots

    @property
    def draining(self) -> bool:
        """Whether the leaf drains, by its refusals or its health report."""
        return self.phase is Phase.DRAINING or self._reports_draining

    @property
    def calls(self) -> tuple[Call, ...]:
        """Calls in flight."""
        return tuple(self._call_by_id.values())

    @property
    def generation(self) -> str | None:
        """Last known generation of the leaf; None before the first answer."""
        return self._generation

    def in_use(self) -> int:
        """Returns the number of slots held by calls in flight or lost."""
        if self._lost_call_end_by_id:
            now = self._clock.monotonic()
            self._lost_call_end_by_id = {
                call_id: end
                for call_id, end in self._lost_call_end_by_id.items()
                if end > now
            }
        return len(self._call_by_id) + len(self._lost_call_end_by_id)

    def connection_limit(self) -> int:
        """Returns the maximum number of open connections."""
        return min(
            self._limits.connections, self._limits.slots + _SPARE_CONNECTIONS
        )

    def capacity(self, granted_slots: int) -> int:
        """Returns the maximum number of concurrent calls at this time.

        Args:
            granted_slots: Slots of the entitlement.
        """
        if (
            self._next_attempt_at
            and self._clock.monotonic() < self._next_attempt_at
        ):
            return 0
        limit = granted_slots
        if self._cold_start_enabled:
            limit = min(granted_slots, self._window, self._limits.slots)
        if self.phase is not Phase.SERVING:
            return min(limit, 1)
        return limit

    def free_slots(self, granted_slots: int) -> int:
        """Returns how many more calls may start now."""
        return max(0, self.capacity(granted_slots) - self.in_use())

    def next_attempt(self) -> datetime.timedelta:
        """Returns the monotonic time before which no call may start."""
        return self._next_attempt_at

    def start(
        self, granted_slots: int, size: int, deadline: datetime.timedelta
    ) -> Call:
        """Takes a slot for a call.

        Raises:
            LeaseError: No slot is free.
        """
        if self.free_slots(granted_slots) < 1:
            raise errors.LeaseError(
                errors.ErrorCode.NO_ENTITLEMENT, "no slot is free"
            )
        self._last_id += 1
        call = Call(self._last_id, size, self._clock.monotonic(), deadline)
        self._call_by_id[call.call_id] = call
        return call

    def abandon(self, call: Call) -> None:
        """Frees the slot of a call that was not sent."""
        del self._call_by_id[call.call_id]

    def succeed(self, call: Call, generation: str) -> None:
        """Records a successful answer."""
        del self._call_by_id[call.call_id]
        now = self._clock.monotonic()
        self._timeouts = 0
        self._recent_overloads.append(False)
        self._set_serving()
        if self._is_new_generation(call, generation):
            # The leaf process that ran the lost calls has ended.
            self._lost_call_end_by_id.clear()
            self.become_cold()
            return
        if self.latency.record(now - call.started, call.size):
            self.become_cold()
            return
        if call.started < self._cold_since:
            # Calls started before the leaf became cold do not warm it up.
            return
        self._successes += 1
        if self._successes >= self._limits.warmup_successes:
            self._successes = 0
            self._window = min(self._window + 1, self._limits.slots)

    def fail(self, call: Call, error: errors.SassafrasError) -> None:
        """Records a call that ended without a result.

        Args:
            call: The call.
            error: CONNECTION_LOST if the leaf may still be working on the call.
                All other codes mean that it is not. This includes
                DEADLINE_EXCEEDED: the leaf has said so, or the deadline plus
                the maximum clock skew has passed.
        """
        del self._call_by_id[call.call_id]
        self._successes = 0
        self._recent_overloads.append(error.code in _OVERLOAD_CODES)
        match error.code:
            case errors.ErrorCode.LEAF_SHED:
                self._record_shed(error)
            case errors.ErrorCode.LEAF_FAILED:
                self._check_overloads()
            case errors.ErrorCode.LEAF_RESTARTED:
                self._forget_generation(call)
            case errors.ErrorCode.DRAINING:
                self._back_off(Phase.DRAINING)
            case errors.ErrorCode.LEAF_UNREACHABLE:
                self._back_off(Phase.UNREACHABLE)
                self.become_cold()
            case errors.ErrorCode.CONNECTION_LOST:
                self._keep_slot_of_lost_call(call)
                self.become_cold()
            case errors.ErrorCode.DEADLINE_EXCEEDED if (
                error.ran is errors.Ran.OUTCOME_UNKNOWN
            ):
                self._record_timeout(call)

    def release(self, call: Call) -> None:
        """Frees the slot of a lost call that the leaf confirms has ended."""
        self._lost_call_end_by_id.pop(call.call_id, None)

    def apply_health_report(self, generation: str, draining: bool) -> None:
        """Applies the health report of the leaf, which may be wrong.

        It can only lower the load on the leaf: it never releases a slot and
        never ends a cold start.
        """
        self._reports_draining = draining
        if self._generation not in (None, generation):
            self._generation = generation
            self._generation_changed_at = self._clock.monotonic()
            self.become_cold()

    def end_backoff(self) -> None:
        """Ends the backoff of an unreachable leaf that reported its health."""
        if self.phase is Phase.UNREACHABLE:
            self._next_attempt_at = min(
                self._next_attempt_at, self._clock.monotonic()
            )

    def become_cold(self) -> None:
        """Begins a cold start: resets window, latencies and failure counts."""
        self._window = self._limits.cold_start_slots
        self._cold_since = self._clock.monotonic()
        self._successes = 0
        self._recent_overloads.clear()
        self.latency = _latency.Latency()
        self.cold_starts += 1

    def configure(self, limits: LeafLimits) -> None:
        """Applies limits; the window grows to a higher limit by successes."""
        self._limits = limits
        self._window = min(self._window, limits.slots)
        self._window = max(self._window, limits.cold_start_slots)

    def _forget_generation(self, call: Call) -> None:
        """Begins a cold start after a call for an ended generation.

        Calls that were sent before the change are refused later than it, and
        say nothing new.
        """
        if call.started < self._generation_changed_at:
            return
        self._generation = None
        self._generation_changed_at = self._clock.monotonic()
        self.become_cold()

    def _is_new_generation(self, call: Call, generation: str) -> bool:
        # An answer to a call that started before the last change may still
        # carry the previous generation.
        if (
            generation == self._generation
            or call.started < self._generation_changed_at
        ):
            return False
        if self._generation is None:
            self._generation = generation
            return False
        self._generation = generation
        self._generation_changed_at = self._clock.monotonic()
        return True

    def _set_serving(self) -> None:
        if self.phase is not Phase.SERVING:
            self.phase = Phase.SERVING
            self.become_cold()
        self._backoff = _INITIAL_BACKOFF
        self.last_success = self._clock.monotonic()

    def _keep_slot_of_lost_call(self, call: Call) -> None:
        self._lost_call_end_by_id[call.call_id] = (
            call.deadline + _entitlement.MAX_CLOCK_SKEW
        )

    def _back_off(self, phase: Phase) -> None:
        self.phase = phase
        self._next_attempt_at = self._clock.monotonic() + self._backoff
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    def _record_shed(self, error: errors.SassafrasError) -> None:
        pause = min(error.retry_after or datetime.timedelta(), _MAX_SHED_PAUSE)
        self._next_attempt_at = max(
            self._next_attempt_at, self._clock.monotonic() + pause
        )
        self._check_overloads()

    def _check_overloads(self) -> None:
        """Begins a cold start after several recent refusals or failures."""
        if sum(self._recent_overloads) >= _OVERLOADS_UNTIL_COLD:
            self.become_cold()

    def _record_timeout(self, call: Call) -> None:
        """Records a timeout; a short one may only mean a short deadline."""
        elapsed = self._clock.monotonic() - call.started
        if self.latency.is_slow(elapsed, call.size):
            self.become_cold()
        if elapsed < _MIN_SIGNIFICANT_TIMEOUT:
            return
        self.become_cold()
        self._timeouts += 1
        if self._timeouts >= _TIMEOUTS_UNTIL_UNREACHABLE:
            self._back_off(Phase.UNREACHABLE)
