"""Calls of one request to one service: first call, retries and hedges."""

import dataclasses
import datetime

from sassafrashold import directory as directory_lib
from sassafrashold import routing
from sassafrashold.calls import _messages
from sassafrashold.calls import _state

# Delay until a call is tried again that found no leaf with capacity, no healthy
# leaf or an exhausted budget.
_RECHECK_DELAY = datetime.timedelta(milliseconds=10)
# Delay until a leaf that rejected the request is asked again. A rejection may
# be temporary: the queue was full, or the leaf rejects some requests at random.
_REJECTED_BACKOFF = datetime.timedelta(milliseconds=20)
# A hedge may go to an avoided leaf once the first call is older than this many
# hedge delays.
_ANY_LEAF_HEDGE_DELAYS = 2
# Limit on the calls of a request, as calls that did not reach a leaf or were
# not run by it do not count towards `max_leafs`.
_MAX_SENDS = 6


@dataclasses.dataclass(frozen=True, eq=False)
class Send:
    """A call to a leaf; compared by identity."""

    shard: int
    """Index of the shard, 0 for a single service."""

    leaf: directory_lib.LeafEntry
    """The leaf to call."""

    sent_at: datetime.timedelta
    """Monotonic time at which the call is sent."""

    extra: bool
    """Whether the call was charged to the budget of extra calls."""


class ServiceCall:
    """Decides which leafs of a service get a request, and when; no I/O.

    The user of this class sends the returned calls and reports their results.
    At most `max_leafs` leafs may run the request, or one if it is not
    idempotent.
    """

    def __init__(
        self,
        state: _state.CallState,
        route: routing.Route,
        service: str,
        shard: int = 0,
        waits_for_budget: bool = False,
    ) -> None:
        """Initializes the call without sending it.

        Args:
            state: Shared state of this host.
            route: Route of the request.
            service: Service to call.
            shard: Index of the shard, copied to each `Send`.
            waits_for_budget: Whether a retry waits while the budget is
                exhausted. A request to a single service that did not run
                is better refused: the next attempt of its caller needs no
                budget.
        """
        self.service = service
        self._state = state
        self._route = route
        self._shard = shard
        self._waits_for_budget = waits_for_budget
        self._latency = state.latency(route)
        self._tried: set[directory_lib.LeafRef] = set()
        # Time from which a leaf that rejected the request may be asked again.
        self._retry_at_by_ref: dict[
            directory_lib.LeafRef, datetime.timedelta
        ] = {}
        self._open: dict[Send, None] = {}
        self._possible_runs = 0
        self._reached_leaf = False
        self._answered = False
        self._send_count = 0
        self._hedge_at: datetime.timedelta | None = None
        # Set while the next call waits for a leaf or for the budget.
        self._recheck_at: datetime.timedelta | None = None
        self.last_failure: _messages.Failed | None = None

    @property
    def is_open(self) -> bool:
        """Whether a call is in flight."""
        return bool(self._open)

    @property
    def is_waiting(self) -> bool:
        """Whether the next call waits for a leaf or for the budget."""
        return self._recheck_at is not None

    @property
    def may_have_run(self) -> bool:
        """Whether a leaf may have run the request or be running it."""
        return self._possible_runs > 0 or bool(self._open)

    @property
    def was_sent(self) -> bool:
        """Whether any call was sent."""
        return self._send_count > 0

    def first(
        self, now: datetime.timedelta, repeated: bool = False
    ) -> Send | None:
        """Returns the first call; None if no leaf can take it now.

        Args:
            now: Monotonic time.
            repeated: Whether another host may have sent the request to a leaf
                of the service already. This call is then an extra one, and that
                leaf counts among those that the route allows.
        """
        budget = self._state.budget(self.service)
        if repeated:
            self._possible_runs += 1
            budget.charge(now)
        else:
            budget.add_request(now)
        return self._send_or_wait(now)

    def next_time(self) -> datetime.timedelta | None:
        """Returns the time for the next call of `tick`; None if not needed."""
        if self._recheck_at is not None:
            return self._recheck_at
        return self._hedge_at if self._open else None

    def tick(self, now: datetime.timedelta) -> Send | None:
        """Returns the delayed call or hedge to send now; None without one."""
        if self._recheck_at is None:
            return self._hedge(now)
        if now < self._recheck_at:
            return None
        self._recheck_at = None
        return self._send_or_wait(now)

    def _hedge(self, now: datetime.timedelta) -> Send | None:
        if self._hedge_at is None or now < self._hedge_at or not self._open:
            return None
        if not self._may_send_another():
            self._hedge_at = None
            return None
        oldest = next(iter(self._open))
        delay = self._latency.hedge_delay(now)
        any_leaf = now - oldest.sent_at >= delay * _ANY_LEAF_HEDGE_DELAYS
        leaf = self._state.choose_leaf(
            self.service,
            self._route,
            self._tried,
            now,
            only_healthy=not any_leaf,
        )
        if leaf is None or not self._state.budget(self.service).try_spend(
            now, urgent=any_leaf
        ):
            self._hedge_at = now + _RECHECK_DELAY
            return None
        return self._send(leaf, now, extra=True)

    def succeeded(self, send: Send, now: datetime.timedelta) -> None:
        """Records the answer of a call; no further calls are sent."""
        self._open.pop(send, None)
        self._answered = True
        self._recheck_at = None
        self._possible_runs += 1
        self.record_end(send, now, failed=False)

    def record_end(
        self, send: Send, now: datetime.timedelta, failed: bool
    ) -> None:
        """Records the end of a call for its leaf.

        Also to be called for calls that end after the request was answered.
        """
        record = self._state.record(send.leaf.ref)
        consecutive_failures = record.consecutive_failures
        duration = record.call_ended(
            send, now, self._latency.slow_from(now), failed
        )
        self._notify_if_avoided(send, consecutive_failures)
        is_bad = failed or duration >= self._latency.slow_from(now)
        self._state.tallies.add_call(send.leaf.ref, is_bad, now)
        if not failed:
            self._state.reach.connected(send.leaf.ref, send.leaf.zone)
            self._latency.record(duration, now)

    def failed(
        self, send: Send, failure: _messages.Failed, now: datetime.timedelta
    ) -> Send | None:
        """Records the failure of a call.

        Returns:
            The retry to send; None if there is none now, see `is_waiting`.
        """
        self._open.pop(send, None)
        self.record_end(send, now, failed=True)
        self.last_failure = failure
        if failure.may_have_run:
            self._possible_runs += 1
        if failure.kind is _messages.FailureKind.NOT_SENT:
            self._state.reach.connect_failed(send.leaf, now)
        else:
            self._reached_leaf = True
        if failure.kind is _messages.FailureKind.REJECTED:
            self._retry_at_by_ref[send.leaf.ref] = now + _REJECTED_BACKOFF
        return self._send_or_wait(now)

    def give_up(self, now: datetime.timedelta) -> tuple[Send, ...]:
        """Ends the call without a result.

        Returns:
            The open calls, to be cancelled.
        """
        for send in self._open:
            self.record_cancelled(send, now)
        abandoned = tuple(self._open)
        if abandoned:
            self._possible_runs += len(abandoned)
        self._open.clear()
        self._recheck_at = None
        return abandoned

    def record_cancelled(self, send: Send, now: datetime.timedelta) -> None:
        """Records for its leaf that a call was cancelled."""
        overdue = now - send.sent_at >= self._latency.overdue_from(now)
        if overdue:
            self._state.reach.answer_late(send.leaf)
            self._state.tallies.add_call(send.leaf.ref, True, now)
        record = self._state.record(send.leaf.ref)
        consecutive_failures = record.consecutive_failures
        record.call_cancelled(send, now, overdue)
        self._notify_if_avoided(send, consecutive_failures)

    def release_open(self) -> tuple[Send, ...]:
        """Returns the open calls and stops tracking them.

        They are not cancelled, and their answers are not used.
        """
        remaining = tuple(self._open)
        self._possible_runs += len(remaining)
        self._open.clear()
        return remaining

    def _notify_if_avoided(self, send: Send, failures_before: int) -> None:
        consecutive_failures = self._state.record(
            send.leaf.ref
        ).consecutive_failures
        if (
            consecutive_failures > failures_before
            and self._state.on_avoided is not None
        ):
            self._state.on_avoided(send.leaf.ref, consecutive_failures)

    def _send_or_wait(self, now: datetime.timedelta) -> Send | None:
        """Returns the next call; else waits if a leaf may take it later."""
        if not self._may_send_another():
            return None
        leaf = self._choose(now)
        extra = self._reached_leaf or bool(self._open)
        if leaf is not None and (
            not extra or self._state.budget(self.service).try_spend(now)
        ):
            return self._send(leaf, now, extra)
        if self._open:
            # `tick` tries again when the hedge of the open call is due.
            return None
        if leaf is not None and not self._waits_for_budget:
            return None
        if self._retry_at_by_ref or self._state.has_untried_leaf(
            self.service, self._tried, now
        ):
            self._recheck_at = now + _RECHECK_DELAY
        return None

    def _choose(
        self, now: datetime.timedelta
    ) -> directory_lib.LeafEntry | None:
        """Chooses an untried leaf, or one that rejected the request earlier."""
        leaf = self._state.choose_leaf(
            self.service, self._route, self._tried, now
        )
        if (
            leaf is not None
            or not self._retry_at_by_ref
            or self._state.has_untried_leaf(self.service, self._tried, now)
        ):
            return leaf
        ready = {ref for ref, at in self._retry_at_by_ref.items() if at <= now}
        return self._state.choose_leaf(
            self.service, self._route, self._tried - ready, now
        )

    def _may_send_another(self) -> bool:
        if self._answered or self._send_count >= _MAX_SENDS:
            return False
        possible_runs = self._possible_runs + len(self._open)
        if not self._route.idempotent:
            return possible_runs == 0
        return possible_runs < self._route.max_leafs

    def _send(
        self,
        leaf: directory_lib.LeafEntry,
        now: datetime.timedelta,
        extra: bool,
    ) -> Send:
        send = Send(self._shard, leaf, now, extra)
        self._open[send] = None
        self._tried.add(leaf.ref)
        self._send_count += 1
        self._state.record(leaf.ref).call_sent(send, now)
        self._hedge_at = None
        if self._route.idempotent:
            self._hedge_at = now + self._latency.hedge_delay(now)
        return send
