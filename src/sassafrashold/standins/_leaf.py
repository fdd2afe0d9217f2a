"""The rules of a stand-in leaf: slots, cold start, refusals, records.

No I/O: the HTTP server asks `start` whether a call may run, waits for the time
that it names, and reports the end with `finish`.
"""

import collections
from collections.abc import Mapping
import dataclasses
import datetime
import enum
import math
import random
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import index
from sassafrashold.standins import _profile

_RETRY_AFTER_MS = 50
_MAX_OVER_LIMIT_EVENTS = 100


class Outcome(enum.Enum):
    """How a call ended, as recorded."""

    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    LOST = "lost"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A call that does not run."""

    status: int
    """HTTP status."""

    code: str
    """Code in the body."""

    retry_after_ms: int | None = None
    """When a retry may succeed."""

    def body(self) -> dict[str, Any]:
        """Returns the JSON body."""
        body: dict[str, Any] = {"error": self.code, "ran": False}
        if self.retry_after_ms is not None:
            body["retry_after_ms"] = self.retry_after_ms
        return body


@dataclasses.dataclass(frozen=True)
class Request:
    """What a call asks for."""

    request_id: str
    """Id by which the caller can cancel."""

    kind: str
    """query or dispatch."""

    service: str
    """Service named by the caller."""

    version: str | None
    """Index version; None for a dispatch."""

    shards: tuple[int, ...]
    """Shard of each item; empty for a dispatch."""

    idempotency_key: str | None
    """Key of a dispatch."""

    deadline_unix_ms: float
    """Wall time at which the work must end."""

    query_ids: tuple[str, ...] = ()
    """Item ids; empty for a dispatch."""

    generation: str | None = None
    """Generation that must run the call; None for any."""


@dataclasses.dataclass
class Call:
    """One recorded call."""

    request: Request
    """What was asked."""

    start_ms: float
    """Monotonic time of its start."""

    at_once: int
    """Calls running at its start, itself included."""

    bound: int
    """Calls at once that the leaf bore at its start."""

    generation: int
    """Generation of the leaf at its start."""

    outcome: Outcome = Outcome.RUNNING
    """How it ended."""

    end_ms: float | None = None
    """Monotonic time of its end."""

    def record(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "request_id": self.request.request_id,
            "kind": self.request.kind,
            "service": self.request.service,
            "version": self.request.version,
            "shards": list(self.request.shards),
            "items": list(self.request.query_ids),
            "idempotency_key": self.request.idempotency_key,
            "start_ms": round(self.start_ms, 3),
            "end_ms": None if self.end_ms is None else round(self.end_ms, 3),
            "at_once": self.at_once,
            "bound": self.bound,
            "generation": self.generation,
            "outcome": self.outcome.value,
        }


class Leaf:
    """State and record of one leaf."""

    def __init__(
        self,
        leaf: index.Leaf,
        service: str,
        profile: _profile.Profile,
        shards_by_version: Mapping[str, frozenset[int]],
        clock: clock_lib.Clock,
        seed: int,
        record_limit: int = 100_000,
    ) -> None:
        """Initializes the leaf.

        Args:
            leaf: Its id, zone, host and address.
            service: The service that it serves.
            profile: Its capacity and timing.
            shards_by_version: The shards that it holds of each version.
            clock: Source of time.
            seed: Seed of service times and random faults.
            record_limit: Newest calls that are kept; counters count all.
        """
        self.leaf = leaf
        self.service = service
        self.profile = profile
        self.shards_by_version = shards_by_version
        self.faults = _profile.Faults()
        self.generation = 1
        self.running = 0
        self.warm_successes = 0
        self.collapsed_until_ms = -math.inf
        self._announced_generation = 0
        self._clock = clock
        self._random = random.Random(f"{seed}/{leaf.leaf_id}")
        self._calls: collections.deque[Call] = collections.deque(
            maxlen=record_limit
        )
        self._counters: collections.Counter[str] = collections.Counter()
        self._running_calls: dict[int, Call] = {}
        self._over_limit: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_OVER_LIMIT_EVENTS
        )
        if not profile.cold_at_start:
            self.warm_up()

    @property
    def bound(self) -> int:
        """Calls at once that the leaf bears now."""
        profile = self.profile
        grown = self.warm_successes // profile.warmup_successes
        return min(profile.slots, profile.cold_slots + grown)

    @property
    def is_cold(self) -> bool:
        """Whether the leaf has not warmed up."""
        return self.bound < self.profile.slots

    @property
    def now_ms(self) -> float:
        """Monotonic time in milliseconds."""
        return self._clock.monotonic().total_seconds() * 1000

    def warm_up(self) -> None:
        """Makes the leaf warm at once."""
        profile = self.profile
        steps = max(0, profile.slots - profile.cold_slots)
        self.warm_successes = steps * profile.warmup_successes

    def turn_cold(self) -> None:
        """Makes the leaf cold, with a new generation."""
        self.generation += 1
        self.warm_successes = 0
        self.collapsed_until_ms = -math.inf

    def expired(self, request: Request) -> bool:
        """Returns whether the deadline of a request has passed."""
        return self.remaining(request) <= datetime.timedelta()

    def remaining(self, request: Request) -> datetime.timedelta:
        """Returns the time up to the deadline by the leaf's wall clock."""
        offset = datetime.timedelta(milliseconds=self.faults.clock_offset_ms)
        deadline = datetime.timedelta(milliseconds=request.deadline_unix_ms)
        epoch = datetime.datetime.fromtimestamp(0, datetime.UTC)
        return deadline - (self._clock.now() + offset - epoch)

    def arrive(self, request: Request) -> Refusal | None:
        """Judges a call on arrival; None lets it wait for a slot or run."""
        refusal = self._refusal(request)
        if refusal is not None:
            self.count(f"refused_{refusal.code}")
            return refusal
        if self.running >= self.profile.slots:
            self.count("over_limit_calls")
            self._note_over_limit(request)
            if self.profile.overload == "shed":
                self.count("refused_SHED")
                return Refusal(503, "SHED", _RETRY_AFTER_MS)
        return None

    def _note_over_limit(self, request: Request) -> None:
        """Keeps what ran when a call came that had no slot."""
        self._over_limit.append(
            {
                "request_id": request.request_id,
                "at_ms": round(self.now_ms, 3),
                "running": [
                    call.record() for call in self._running_calls.values()
                ],
            }
        )

    def _refusal(self, request: Request) -> Refusal | None:
        if self.expired(request):
            return Refusal(504, "EXPIRED")
        if self.faults.draining:
            return Refusal(503, "DRAINING")
        if request.generation not in (None, str(self.generation)):
            return Refusal(409, "GENERATION_CHANGED")
        if self._chance(self.faults.shed_percent):
            return Refusal(503, "SHED", _RETRY_AFTER_MS)
        if request.kind == "query":
            held = self.shards_by_version.get(request.version or "")
            if held is None or not held.issuperset(request.shards):
                return Refusal(410, "VERSION_GONE")
        return None

    def start(self, request: Request) -> Call:
        """Records the start of a call in a slot."""
        self.running += 1
        bound = self.bound
        call = Call(request, self.now_ms, self.running, bound, self.generation)
        self._calls.append(call)
        self._running_calls[id(call)] = call
        self.count("calls")
        self.count(f"{request.kind}_calls")
        self.count("items", len(request.shards))
        self._counters["max_at_once"] = max(
            self._counters["max_at_once"], self.running
        )
        if self.is_cold and self.running > bound:
            self.count("calls_above_cold_bound")
            if self._announced_generation == self.generation:
                self.count("calls_above_cold_bound_after_notice")
            self._collapse()
        return call

    def _collapse(self) -> None:
        """Punishes work above what a cold leaf bears."""
        self.count("collapses")
        self.warm_successes = 0
        self.collapsed_until_ms = self.now_ms + self.profile.collapse_ms

    @property
    def is_collapsed(self) -> bool:
        """Whether calls fail or stall because of work above the bound."""
        return self.now_ms < self.collapsed_until_ms

    def draw_service_time(self, call: Call) -> datetime.timedelta:
        """Draws how long a call takes."""
        profile = self.profile
        duration_ms = 0.0
        if profile.service_ms > 0:
            duration_ms = self._random.lognormvariate(
                math.log(profile.service_ms), profile.service_sigma
            )
        duration_ms += profile.item_ms * max(0, len(call.request.shards) - 1)
        duration_ms *= self._cold_slowdown() * self.faults.straggle_factor
        duration_ms += self.faults.extra_ms
        if self.is_collapsed and profile.collapse == "stall":
            duration_ms += self.collapsed_until_ms - self.now_ms
        return datetime.timedelta(milliseconds=duration_ms)

    def _cold_slowdown(self) -> float:
        """Falls from the cold factor to 1 while the leaf warms up."""
        profile = self.profile
        steps = max(0, profile.slots - profile.cold_slots)
        needed = steps * profile.warmup_successes
        if needed == 0 or self.warm_successes >= needed:
            return 1.0
        left = 1 - self.warm_successes / needed
        return 1 + (profile.cold_factor - 1) * left

    def draw_outcome(self) -> Outcome:
        """Draws how a call that has run its time ends."""
        if self.is_collapsed and self.profile.collapse == "fail":
            return Outcome.FAILED
        if self._chance(self.faults.fail_percent):
            return Outcome.FAILED
        if self._chance(self.faults.lost_percent):
            return Outcome.LOST
        return Outcome.OK

    def finish(self, call: Call, outcome: Outcome) -> None:
        """Records the end of a call and frees its slot."""
        self.running -= 1
        del self._running_calls[id(call)]
        call.outcome = outcome
        call.end_ms = self.now_ms
        self.count(f"ended_{outcome.value}")
        # A call that began before the leaf turned cold warms nothing.
        if outcome is Outcome.OK and call.generation == self.generation:
            self.warm_successes += 1

    def announce(self) -> int:
        """Returns the generation for an answer; callers know it from then."""
        self._announced_generation = self.generation
        return self.generation

    def rows(self, shard: int, version: str, query: Any) -> list[Any]:
        """Returns rows that let the caller check where they come from."""
        return [
            {
                "leaf": self.leaf.leaf_id,
                "service": self.service,
                "shard": shard,
                "version": version,
                "row": number,
                "query": query,
            }
            for number in range(self.profile.rows_per_shard)
        ]

    def health(self) -> dict[str, Any]:
        """Returns the health report, which faults can falsify."""
        state = "draining" if self.faults.draining else "serving"
        if state == "serving" and self.is_cold:
            state = "cold"
        load = self.running / self.profile.slots
        if self.faults.health_state is not None:
            state = self.faults.health_state
        if self.faults.health_load is not None:
            load = self.faults.health_load
        return {"state": state, "generation": self.generation, "load": load}

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter of the record."""
        self._counters[name] += value

    def record(self, with_calls: bool) -> dict[str, Any]:
        """Returns counters, state and, if asked for, the calls."""
        record: dict[str, Any] = {
            "leaf": self.leaf.leaf_id,
            "service": self.service,
            "zone": self.leaf.zone,
            "host": self.leaf.host,
            "generation": self.generation,
            "running": self.running,
            "bound": self.bound,
            "slots": self.profile.slots,
            "counters": dict(self._counters),
        }
        if with_calls:
            record["calls"] = [call.record() for call in self._calls]
            record["over_limit"] = list(self._over_limit)
        return record

    def reset_record(self) -> None:
        """Forgets counters and calls; the state stays."""
        self._calls.clear()
        self._over_limit.clear()
        self._counters.clear()

    def _chance(self, percent: float) -> bool:
        return percent > 0 and self._random.random() * 100 < percent
