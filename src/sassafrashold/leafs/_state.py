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

_RECENT_CALLS = 20
_TROUBLE_JUMP = 2
# An overloaded cold leaf sheds calls or fails them.
_TROUBLES = frozenset(
    {errors.ErrorCode.LEAF_SHED, errors.ErrorCode.LEAF_FAILED}
)
_TIMEOUTS_UNTIL_UNREACHABLE = 2
_TELLING_TIMEOUT = datetime.timedelta(milliseconds=500)
_FIRST_BACKOFF = datetime.timedelta(milliseconds=100)
_MAX_BACKOFF = datetime.timedelta(seconds=5)
_MAX_SHED_PAUSE = datetime.timedelta(seconds=1)
_SPARE_CONNECTIONS = 1


class Phase(enum.Enum):
    """Whether a leaf takes work."""

    SERVING = "serving"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True)
class LeafLimits:
    """Limits of a leaf, from the row of its service."""

    slots: int
    """Calls at once."""

    connections: int
    """Connections at once."""

    cold_start_slots: int
    """Calls at once while it is cold."""

    warmup_successes: int
    """Successes in a row that grow the window by one slot."""

    queue_limit: int
    """Sub-queries that may wait."""

    @classmethod
    def from_row(cls, row: table.ServiceRow) -> "LeafLimits":
        """Returns the limits in a row of the table."""
        return cls(
            row.slots_per_leaf,
            row.connections_per_leaf,
            row.cold_start_slots,
            row.warmup_successes,
            row.queue_limit,
        )


@dataclasses.dataclass(frozen=True)
class Call:
    """One call to a leaf; uses one slot."""

    call_id: int
    """Unique within the leaf."""

    size: int
    """Items in the call."""

    started: datetime.timedelta
    """Monotonic time at which the slot was taken."""

    deadline: datetime.timedelta
    """Monotonic time after which the leaf does not work for it."""


class LeafState:
    """Decides how many calls may run at a leaf at once.

    A slot is free again when the leaf has answered. If the connection was lost
    before, the leaf may still work on the call, so its slot stays in use until
    the leaf confirms the end (`release`) or the deadline of the call plus the
    allowed difference of the wall clocks has passed.
    """

    def __init__(
        self,
        limits: LeafLimits,
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
        self._limits = limits
        self._clock = clock
        self._cold_start = cold_start
        self._window = limits.cold_start_slots
        self._cold_since = clock.monotonic()
        self._successes = 0
        self._timeouts = 0
        self._troubles: collections.deque[bool] = collections.deque(
            maxlen=_RECENT_CALLS
        )
        self._call_by_id: dict[int, Call] = {}
        self._held_until_by_id: dict[int, datetime.timedelta] = {}
        self._last_id = 0
        self._generation: str | None = None
        self._generation_seen = datetime.timedelta()
        self._draining_hint = False
        self._backoff = _FIRST_BACKOFF
        self._not_before = datetime.timedelta()
        self.phase = Phase.SERVING
        self.latency = _latency.Latency()
        self.cold_starts = 0
        self.last_success = datetime.timedelta()

    @property
    def limits(self) -> LeafLimits:
        """Limits in force."""
        return self._limits

    @property
    def window(self) -> int:
        """Calls at once that the cold-start rule allows."""
        return self._window if self._cold_start else self._limits.slots

    @property
    def cold(self) -> bool:
        """Whether the leaf has not reached its full load again."""
        return self.window < self._limits.slots

    @property
    def draining(self) -> bool:
        """Whether the leaf drains, by its refusals or by its own report."""
        return self.phase is Phase.DRAINING or self._draining_hint

    @property
    def calls(self) -> tuple[Call, ...]:
        """Calls under way."""
        return tuple(self._call_by_id.values())

    @property
    def generation(self) -> str | None:
        """Generation of the last answer."""
        return self._generation

    def in_use(self) -> int:
        """Returns the slots that calls use or may still use."""
        if self._held_until_by_id:
            now = self._clock.monotonic()
            self._held_until_by_id = {
                call_id: until
                for call_id, until in self._held_until_by_id.items()
                if until > now
            }
        return len(self._call_by_id) + len(self._held_until_by_id)

    def connection_limit(self) -> int:
        """Returns how many connections may be open."""
        return min(
            self._limits.connections, self._limits.slots + _SPARE_CONNECTIONS
        )

    def capacity(self, granted: int) -> int:
        """Returns how many calls may run at once now.

        Args:
            granted: Slots of the entitlement.
        """
        if self._not_before and self._clock.monotonic() < self._not_before:
            return 0
        usable = granted
        if self._cold_start:
            usable = min(granted, self._window, self._limits.slots)
        if self.phase is not Phase.SERVING:
            return min(usable, 1)
        return usable

    def free(self, granted: int) -> int:
        """Returns how many calls may start now."""
        return max(0, self.capacity(granted) - self.in_use())

    def next_attempt(self) -> datetime.timedelta:
        """Returns the monotonic time before which no call may start."""
        return self._not_before

    def start(
        self, granted: int, size: int, deadline: datetime.timedelta
    ) -> Call:
        """Takes a slot.

        Raises:
            LeaseError: No slot is free.
        """
        if self.free(granted) < 1:
            raise errors.LeaseError(
                errors.ErrorCode.NO_ENTITLEMENT, "no slot is free"
            )
        self._last_id += 1
        call = Call(self._last_id, size, self._clock.monotonic(), deadline)
        self._call_by_id[call.call_id] = call
        return call

    def abandon(self, call: Call) -> None:
        """Gives a slot back for a call that was not sent."""
        del self._call_by_id[call.call_id]

    def succeed(self, call: Call, generation: str) -> None:
        """Records an answer with a result."""
        del self._call_by_id[call.call_id]
        now = self._clock.monotonic()
        self._timeouts = 0
        self._troubles.append(False)
        self._set_serving()
        if self._is_new_generation(call, generation):
            # The process that worked for the held calls has ended.
            self._held_until_by_id.clear()
            self.become_cold()
            return
        if self.latency.record(now - call.started, call.size):
            self.become_cold()
            return
        if call.started < self._cold_since:
            # The leaf began it before it turned cold, so it warmed nothing.
            return
        self._successes += 1
        if self._successes >= self._limits.warmup_successes:
            self._successes = 0
            self._window = min(self._window + 1, self._limits.slots)

    def fail(self, call: Call, error: errors.SassafrasError) -> None:
        """Records a call that ended without a result.

        Args:
            call: The call.
            error: CONNECTION_LOST if the leaf may still work on it. All other
                codes mean that it does not, also DEADLINE_EXCEEDED: the leaf
                said so, or the deadline and the allowed difference of the wall
                clocks have passed.
        """
        del self._call_by_id[call.call_id]
        self._successes = 0
        self._troubles.append(error.code in _TROUBLES)
        match error.code:
            case errors.ErrorCode.LEAF_SHED:
                self._record_shed(error)
            case errors.ErrorCode.LEAF_FAILED:
                self._check_troubles()
            case errors.ErrorCode.DRAINING:
                self._back_off(Phase.DRAINING)
            case errors.ErrorCode.LEAF_UNREACHABLE:
                self._back_off(Phase.UNREACHABLE)
                self.become_cold()
            case errors.ErrorCode.CONNECTION_LOST:
                self._hold(call)
                self.become_cold()
            case errors.ErrorCode.DEADLINE_EXCEEDED if (
                error.ran is errors.Ran.OUTCOME_UNKNOWN
            ):
                self._record_timeout(call)

    def release(self, call: Call) -> None:
        """Frees the slot of a lost call that the leaf says has ended."""
        self._held_until_by_id.pop(call.call_id, None)

    def hint(self, generation: str, draining: bool) -> None:
        """Takes the leaf's own report, which may be wrong.

        It can only make this process more careful. It never releases a slot
        and never ends a cold start.
        """
        self._draining_hint = draining
        if self._generation not in (None, generation):
            self._generation = generation
            self._generation_seen = self._clock.monotonic()
            self.become_cold()

    def hint_reachable(self) -> None:
        """Makes the next probe due, since the leaf has answered a report."""
        if self.phase is Phase.UNREACHABLE:
            self._not_before = min(self._not_before, self._clock.monotonic())

    def become_cold(self) -> None:
        """Puts the window back to the cold-start bound."""
        self._window = self._limits.cold_start_slots
        self._cold_since = self._clock.monotonic()
        self._successes = 0
        self._troubles.clear()
        self.latency = _latency.Latency()
        self.cold_starts += 1

    def configure(self, limits: LeafLimits) -> None:
        """Takes over limits from the table; a higher limit is grown into."""
        self._limits = limits
        self._window = min(self._window, limits.slots)
        self._window = max(self._window, limits.cold_start_slots)

    def _is_new_generation(self, call: Call, generation: str) -> bool:
        if self._generation is None:
            self._generation = generation
            return False
        # An answer to a call from before the change is late, not a change.
        if (
            generation == self._generation
            or call.started < self._generation_seen
        ):
            return False
        self._generation = generation
        self._generation_seen = self._clock.monotonic()
        return True

    def _set_serving(self) -> None:
        if self.phase is not Phase.SERVING:
            self.phase = Phase.SERVING
            self.become_cold()
        self._backoff = _FIRST_BACKOFF
        self.last_success = self._clock.monotonic()

    def _hold(self, call: Call) -> None:
        self._held_until_by_id[call.call_id] = (
            call.deadline + _entitlement.CLOCK_AGREEMENT
        )

    def _back_off(self, phase: Phase) -> None:
        self.phase = phase
        self._not_before = self._clock.monotonic() + self._backoff
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    def _record_shed(self, error: errors.SassafrasError) -> None:
        pause = min(error.retry_after or datetime.timedelta(), _MAX_SHED_PAUSE)
        self._not_before = max(
            self._not_before, self._clock.monotonic() + pause
        )
        self._check_troubles()

    def _check_troubles(self) -> None:
        """Takes a jump in refusals or failures as a sign of a cold leaf."""
        if sum(self._troubles) >= _TROUBLE_JUMP:
            self.become_cold()

    def _record_timeout(self, call: Call) -> None:
        """Counts a timeout, unless the caller gave the call too little time."""
        elapsed = self._clock.monotonic() - call.started
        if self.latency.is_slow(elapsed, call.size):
            self.become_cold()
        if elapsed < _TELLING_TIMEOUT:
            return
        self.become_cold()
        self._timeouts += 1
        if self._timeouts >= _TIMEOUTS_UNTIL_UNREACHABLE:
            self._back_off(Phase.UNREACHABLE)
