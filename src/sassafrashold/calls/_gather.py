"""Scatter-gather of one request over all shards of a route."""

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
    """Whether any call was sent, so that a leaf may have run the request."""

    out_of_reach: bool = False
    """Whether nothing was sent because too few shards are reachable."""


class GatherPlan:
    """Tracks the calls to all shards and keeps one answer of each; no I/O.

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
    ) -> None:
        """Initializes the plan.

        Args:
            state: Shared state of this host.
            route: Route of the request.
            gather: Shards of the route, all from one configuration version.
            times: Times that bound the request.
        """
        self._state = state
        self._gather = gather
        self._times = times
        # Unreachable services, if they are the reason not to send the request.
        self._out_of_reach: tuple[str, ...] = ()
        self._calls = [
            _service_call.ServiceCall(
                state, route, service, shard, waits_for_budget=True
            )
            for shard, service in enumerate(gather.shards)
        ]
        self._part_by_shard: dict[int, _messages.LeafAnswer] = {}
        self._settled = [False] * len(self._calls)

    def start(
        self, now: datetime.timedelta, repeated: bool = False
    ) -> list[_service_call.Send]:
        """Returns the first calls; empty if too few shards are reachable.

        Args:
            now: Monotonic time.
            repeated: Whether another host may have sent the request to the
                shards already.
        """
        self._out_of_reach = self._unreachable_if_too_few(now)
        if self._out_of_reach:
            return []
        sends = []
        for shard, call in enumerate(self._calls):
            send = call.first(now, repeated)
            if send is not None:
                sends.append(send)
            elif not call.is_waiting:
                self._settled[shard] = True
        return sends

    def next_time(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the latest time for the next call of `tick`."""
        earliest = self._times.end
        if now < self._times.answer_at:
            earliest = self._times.answer_at
        for shard, call in enumerate(self._calls):
            call_time = call.next_time()
            if not self._settled[shard] and call_time is not None:
                earliest = min(earliest, call_time)
        return earliest

    def tick(self, now: datetime.timedelta) -> list[_service_call.Send]:
        """Returns the hedges and the delayed calls to be sent now."""
        sends = []
        for shard, call in enumerate(self._calls):
            if self._settled[shard]:
                continue
            send = call.tick(now)
            if send is not None:
                sends.append(send)
            elif not call.is_open and not call.is_waiting:
                self._settled[shard] = True
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
        call = self._calls[send.shard]
        match result:
            case _messages.Answered(answer):
                call.succeeded(send, now)
                if not self._settled[send.shard]:
                    self._settled[send.shard] = True
                    self._part_by_shard[send.shard] = answer
                return []
            case _messages.Failed() as failure:
                retry = call.failed(send, failure, now)
                if retry is not None:
                    return [retry]
                if not call.is_open and not call.is_waiting:
                    self._settled[send.shard] = True
                return []

    def outcome(self, now: datetime.timedelta) -> GatherOutcome | None:
        """Returns the result of the request; None while it is in progress."""
        if self._out_of_reach:
            return self._result(False)
        count = len(self._calls)
        answered = len(self._part_by_shard)
        enough = answered > 0 and self._gather.meets_min_coverage(answered)
        if all(self._settled):
            return self._result(enough)
        if enough and now >= self._times.answer_at:
            return self._result(True)
        if now >= self._times.end:
            return self._result(False)
        without_part = sum(
            settled and shard not in self._part_by_shard
            for shard, settled in enumerate(self._settled)
        )
        if not self._gather.meets_min_coverage(count - without_part):
            return self._result(False)
        return None

    def release_open(self) -> list[_service_call.Send]:
        """Returns the open calls and stops tracking them.

        Their answers are no longer needed; they are not cancelled.
        """
        return [send for call in self._calls for send in call.release_open()]

    def give_up(self, now: datetime.timedelta) -> list[_service_call.Send]:
        """Ends all calls; returns the open ones, to be cancelled."""
        return [send for call in self._calls for send in call.give_up(now)]

    def call(self, shard: int) -> _service_call.ServiceCall:
        """Returns the call to a shard."""
        return self._calls[shard]

    def _unreachable_if_too_few(
        self, now: datetime.timedelta
    ) -> tuple[str, ...]:
        """Returns the unreachable services if too few others remain."""
        if not self._state.reach.has_unreachable:
            return ()
        unreachable = tuple(
            service
            for service in self._gather.shards
            if not self._state.is_reachable(service, now)
        )
        remaining = len(self._calls) - len(unreachable)
        return () if self._gather.meets_min_coverage(remaining) else unreachable

    def _result(self, enough: bool) -> GatherOutcome:
        missing = tuple(
            call.service
            for shard, call in enumerate(self._calls)
            if shard not in self._part_by_shard
        )
        sent = any(call.was_sent for call in self._calls)
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
