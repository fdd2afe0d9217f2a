"""Scatter-gather of one request over the shards of a route."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from sassafrashold import routing
from sassafrashold.calls import _merge
from sassafrashold.calls import _messages
from sassafrashold.calls import _service_call
from sassafrashold.calls import _state


@dataclasses.dataclass(frozen=True)
class GatherTimes:
    """Monotonic times that bound a request."""

    answer_at: datetime.timedelta
    """From here on, enough shards make an answer without the others."""

    end: datetime.timedelta
    """Deadline; the request fails if too few shards have answered."""


@dataclasses.dataclass(frozen=True)
class GatherOutcome:
    """Result of a request over all shards."""

    signatures: tuple[str, ...]
    """Signatures of the answers in shard order; empty if the request failed."""

    body: bytes
    """The greatest records of these answers; empty if the request failed."""

    missing: int
    """Number of shards without an answer."""

    missing_services: tuple[str, ...]
    """Names of the services of these shards, or of the unreachable ones."""

    enough: bool
    """Whether enough shards answered, so that the request succeeded."""

    sent: bool
    """Whether any call was sent; a leaf may then have run the request."""

    out_of_reach: bool = False
    """Whether nothing was sent because too few shards are reachable."""


def decide_success(
    gather: routing.Gather,
    times: GatherTimes,
    answered: int,
    lost: int,
    now: datetime.timedelta,
) -> bool | None:
    """Returns whether a request succeeds; None while it is in progress.

    Args:
        gather: Shards of the route.
        times: Times that bound the request.
        answered: Number of shards that have answered.
        lost: Number of shards that will not answer any more.
        now: Monotonic time.
    """
    shards = len(gather.shards)
    enough = answered > 0 and gather.meets_min_coverage(answered)
    if answered + lost == shards:
        return enough
    if enough and now >= times.answer_at:
        return True
    if now >= times.end or not gather.meets_min_coverage(shards - lost):
        return False
    return None


def unreachable_if_too_few(
    state: _state.CallState, gather: routing.Gather, now: datetime.timedelta
) -> tuple[str, ...]:
    """Returns the unreachable services if too few others remain.

    Args:
        state: Shared state of this host.
        gather: Shards of the route.
        now: Monotonic time.
    """
    if not state.reach.has_unreachable:
        return ()
    unreachable = tuple(
        service
        for service in gather.shards
        if not state.is_reachable(service, now)
    )
    remaining = len(gather.shards) - len(unreachable)
    return () if gather.meets_min_coverage(remaining) else unreachable


class GatherPlan:
    """Tracks the calls to shards and keeps one answer of each; no I/O.

    Callers prefer a partial answer in time to a complete one that is late.
    From `answer_at` on, the request is answered as soon as the minimum number
    of shards that the route allows has answered.
    """

    def __init__(
        self,
        state: _state.CallState,
        route: routing.Route,
        gather: routing.Gather,
        times: GatherTimes,
        shards: Iterable[int] | None = None,
    ) -> None:
        """Initializes the plan.

        Args:
            state: Shared state of this host.
            route: Route of the request.
            gather: Shards of the route, all from one configuration version.
            times: Times that bound the request.
            shards: Indices of the shards to call; None for all.
        """
        self._state = state
        self._gather = gather
        self._times = times
        # Unreachable services, if they are the reason not to send the request.
        self._out_of_reach: tuple[str, ...] = ()
        self._is_whole = shards is None
        indices = range(len(gather.shards)) if shards is None else shards
        self._call_by_shard = {
            shard: _service_call.ServiceCall(
                state,
                route,
                gather.shards[shard],
                shard,
                waits_for_budget=True,
            )
            for shard in sorted(indices)
        }
        self._part_by_shard: dict[int, _messages.LeafAnswer] = {}
        self._settled: set[int] = set()

    @property
    def part_by_shard(self) -> Mapping[int, _messages.LeafAnswer]:
        """The answers so far."""
        return self._part_by_shard

    @property
    def is_settled(self) -> bool:
        """Whether no further answer is expected."""
        return len(self._settled) == len(self._call_by_shard)

    @property
    def missing(self) -> int:
        """Number of the shards called that have not answered."""
        return len(self._call_by_shard) - len(self._part_by_shard)

    @property
    def was_sent(self) -> bool:
        """Whether any call was sent; a leaf may then have run the request."""
        return any(call.was_sent for call in self._call_by_shard.values())

    def start(
        self, now: datetime.timedelta, repeated: bool = False
    ) -> list[_service_call.Send]:
        """Returns the first calls; empty if too few shards are reachable.

        A plan for some of the shards calls those that are reachable.

        Args:
            now: Monotonic time.
            repeated: Whether another host may have sent the request to the
                shards already.
        """
        if self._is_whole:
            self._out_of_reach = unreachable_if_too_few(
                self._state, self._gather, now
            )
        if self._out_of_reach:
            return []
        sends = []
        for shard, call in self._call_by_shard.items():
            send = call.first(now, repeated)
            if send is not None:
                sends.append(send)
            elif not call.is_waiting:
                self._settled.add(shard)
        return sends

    def next_time(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the latest time for the next call of `tick`."""
        earliest = self._times.end
        if now < self._times.answer_at:
            earliest = self._times.answer_at
        for shard, call in self._call_by_shard.items():
            call_time = call.next_time()
            if shard not in self._settled and call_time is not None:
                earliest = min(earliest, call_time)
        return earliest

    def tick(self, now: datetime.timedelta) -> list[_service_call.Send]:
        """Returns the hedges and the delayed calls to be sent now."""
        sends = []
        for shard, call in self._call_by_shard.items():
            if shard in self._settled:
                continue
            send = call.tick(now)
            if send is not None:
                sends.append(send)
            elif not call.is_open and not call.is_waiting:
                self._settled.add(shard)
        return sends

    def ended(
        self,
        send: _service_call.Send,
        result: _messages.CallResult,
        now: datetime.timedelta,
    ) -> list[_service_call.Send]:
        """Records the result of a call.

        Returns:
            The retry to send; empty if there is none.
        """
        call = self._call_by_shard[send.shard]
        match result:
            case _messages.Answered(answer):
                call.succeeded(send, now)
                if send.shard not in self._settled:
                    self._settled.add(send.shard)
                    self._part_by_shard[send.shard] = answer
                return []
            case _messages.Failed() as failure:
                retry = call.failed(send, failure, now)
                if retry is not None:
                    return [retry]
                if not call.is_open and not call.is_waiting:
                    self._settled.add(send.shard)
                return []

    def outcome(self, now: datetime.timedelta) -> GatherOutcome | None:
        """Returns the result of the request; None while it is in progress."""
        if self._out_of_reach:
            return self._result(False)
        answered = len(self._part_by_shard)
        enough = decide_success(
            self._gather,
            self._times,
            answered,
            len(self._settled) - answered,
            now,
        )
        return None if enough is None else self._result(enough)

    def release_open(self) -> list[_service_call.Send]:
        """Returns the open calls and stops tracking them.

        Their answers are no longer needed; they are not cancelled.
        """
        return [
            send
            for call in self._call_by_shard.values()
            for send in call.release_open()
        ]

    def give_up(self, now: datetime.timedelta) -> list[_service_call.Send]:
        """Ends all calls; returns the open ones, to be cancelled."""
        return [
            send
            for call in self._call_by_shard.values()
            for send in call.give_up(now)
        ]

    def call(self, shard: int) -> _service_call.ServiceCall:
        """Returns the call to a shard."""
        return self._call_by_shard[shard]

    def _result(self, enough: bool) -> GatherOutcome:
        missing = tuple(
            call.service
            for shard, call in self._call_by_shard.items()
            if shard not in self._part_by_shard
        )
        sent = self.was_sent
        if not enough:
            return GatherOutcome(
                (),
                b"",
                len(missing),
                self._out_of_reach or missing,
                False,
                sent,
                bool(self._out_of_reach),
            )
        parts = [self._part_by_shard[i] for i in sorted(self._part_by_shard)]
        return GatherOutcome(
            tuple(part.signature or "" for part in parts),
            _merge.greatest_records(
                (part.body for part in parts), self._gather.top_records
            ),
            len(missing),
            missing,
            True,
            sent,
        )
