"""One request at one service: first call, retries and hedges."""

import dataclasses
import datetime

from sassafrashold import directory as directory_lib
from sassafrashold import routing
from sassafrashold.calls import _messages
from sassafrashold.calls import _state

# A call that found no room, no budget or no healthy leaf is tried again after
# this.
_RECHECK = datetime.timedelta(milliseconds=10)
# A leaf that rejected the request may take it after this: it was full, or it
# rejects some requests at random.
_REJECTED_PAUSE = datetime.timedelta(milliseconds=20)
# A leaf in trouble gets a hedge only when the first call is this late.
_ANY_LEAF_DELAYS = 2
# Free attempts at leafs that did not get the request or did not run it.
_MAX_SENDS = 6


@dataclasses.dataclass(frozen=True, eq=False)
class Send:
    """A call to be sent; compared by identity."""

    shard: int
    """Index of the shard, 0 for a single service."""

    leaf: directory_lib.LeafEntry
    """The leaf that gets it."""

    sent_at: datetime.timedelta
    """Monotonic time."""

    extra: bool
    """Whether it is paid from the budget of extra calls."""


class ServiceCall:
    """Decides which leafs of a service get a request, and when.

    The caller carries out the returned calls and reports their ends. At most
    `max_leafs` leafs may run the request; if it is not idempotent, at most
    one.
    """

    def __init__(
        self,
        state: _state.CallState,
        route: routing.Route,
        service: str,
        shard: int = 0,
        waits_for_budget: bool = False,
    ) -> None:
        """Initializes the call; nothing is sent yet.

        Args:
            state: Shared state of this host.
            route: Route of the request.
            service: Service to call.
            shard: Index that the sends carry.
            waits_for_budget: Whether a retry that is not paid for waits until
                it is. A request that did not run is better refused: its
                caller's next attempt needs no budget.
        """
        self.service = service
        self._state = state
        self._route = route
        self._shard = shard
        self._waits_for_budget = waits_for_budget
        self._latency = state.latency(route)
        self._tried: set[directory_lib.LeafRef] = set()
        # When a leaf that rejected the request may be asked again.
        self._ask_again_at_by_ref: dict[
            directory_lib.LeafRef, datetime.timedelta
        ] = {}
        self._open: dict[Send, None] = {}
        self._may_have_run = 0
        self._arrived = False
        self._answered = False
        self._sends = 0
        self._hedge_at: datetime.timedelta | None = None
        # Set while a leaf is wanted that can't be had yet.
        self._recheck_at: datetime.timedelta | None = None
        self.last_failure: _messages.Failed | None = None

    @property
    def is_open(self) -> bool:
        """Whether a call is on its way."""
        return bool(self._open)

    @property
    def is_waiting(self) -> bool:
        """Whether a call is to be sent as soon as a leaf can take it."""
        return self._recheck_at is not None

    @property
    def may_have_run(self) -> bool:
        """Whether a leaf may have worked on the request, or still does."""
        return self._may_have_run > 0 or bool(self._open)

    @property
    def was_sent(self) -> bool:
        """Whether any call was sent."""
        return self._sends > 0

    def first(self, now: datetime.timedelta) -> Send | None:
        """Returns the first call; None if no leaf can take it now."""
        self._state.budget(self.service).note_request(now)
        return self._send_or_wait(now)

    def next_time(self) -> datetime.timedelta | None:
        """Returns when `tick` is to be called; None if never."""
        if self._recheck_at is not None:
            return self._recheck_at
        return self._hedge_at if self._open else None

    def tick(self, now: datetime.timedelta) -> Send | None:
        """Returns a call that has waited for a leaf, or a hedge that is due."""
        if self._recheck_at is None:
            return self._hedge(now)
        if now < self._recheck_at:
            return None
        self._recheck_at = None
        return self._send_or_wait(now)

    def _hedge(self, now: datetime.timedelta) -> Send | None:
        if self._hedge_at is None or now < self._hedge_at or not self._open:
            return None
        if not self._may_send_more():
            self._hedge_at = None
            return None
        oldest = next(iter(self._open))
        delay = self._latency.hedge_delay(now)
        any_leaf = now - oldest.sent_at >= delay * _ANY_LEAF_DELAYS
        leaf = self._state.choose(
            self.service,
            self._route,
            self._tried,
            now,
            only_healthy=not any_leaf,
        )
        if leaf is None or not self._state.budget(self.service).try_spend(
            now, urgent=any_leaf
        ):
            self._hedge_at = now + _RECHECK
            return None
        return self._send(leaf, now, extra=True)

    def succeeded(self, send: Send, now: datetime.timedelta) -> None:
        """Notes that a call was answered; no other is sent from now on."""
        self._open.pop(send, None)
        self._answered = True
        self._recheck_at = None
        self._may_have_run += 1
        self.note_end(send, now, failed=False)

    def note_end(
        self, send: Send, now: datetime.timedelta, failed: bool
    ) -> None:
        """Notes the end of a call in the leaf's record.

        Also for calls that end after the request was answered.
        """
        record = self._state.record(send.leaf.ref)
        strikes = record.strikes
        duration = record.ended(send, now, self._latency.slow_from(now), failed)
        self._tell_if_avoided(send, strikes)
        is_bad = failed or duration >= self._latency.slow_from(now)
        self._state.tallies.add_call(send.leaf.ref, is_bad, now)
        if not failed:
            self._state.reach.connected(send.leaf.ref, send.leaf.zone)
            self._latency.record(duration, now)

    def failed(
        self, send: Send, failure: _messages.Failed, now: datetime.timedelta
    ) -> Send | None:
        """Notes the failure of a call.

        Returns:
            A retry; None if there is none now, see `is_waiting`.
        """
        self._open.pop(send, None)
        self.note_end(send, now, failed=True)
        self.last_failure = failure
        if failure.may_have_run:
            self._may_have_run += 1
        if failure.kind is _messages.FailureKind.NOT_SENT:
            self._state.reach.connect_failed(send.leaf, now)
        else:
            self._arrived = True
        if failure.kind is _messages.FailureKind.REJECTED:
            self._ask_again_at_by_ref[send.leaf.ref] = now + _REJECTED_PAUSE
        return self._send_or_wait(now)

    def give_up(self, now: datetime.timedelta) -> tuple[Send, ...]:
        """Ends the call without a result.

        Returns:
            The open calls, to be cancelled.
        """
        for send in self._open:
            self.note_given_up(send, now)
        abandoned = tuple(self._open)
        if abandoned:
            self._may_have_run += len(abandoned)
        self._open.clear()
        self._recheck_at = None
        return abandoned

    def note_given_up(self, send: Send, now: datetime.timedelta) -> None:
        """Notes in the leaf's record that a call was cancelled."""
        overdue = now - send.sent_at >= self._latency.overdue_from(now)
        if overdue:
            self._state.reach.answer_is_late(send.leaf)
            self._state.tallies.add_call(send.leaf.ref, True, now)
        record = self._state.record(send.leaf.ref)
        strikes = record.strikes
        record.gave_up(send, now, overdue)
        self._tell_if_avoided(send, strikes)

    def release_open(self) -> tuple[Send, ...]:
        """Returns the open calls, which stay open without a taker."""
        remaining = tuple(self._open)
        self._may_have_run += len(remaining)
        self._open.clear()
        return remaining

    def _tell_if_avoided(self, send: Send, strikes_before: int) -> None:
        strikes = self._state.record(send.leaf.ref).strikes
        if strikes > strikes_before and self._state.on_avoided is not None:
            self._state.on_avoided(send.leaf.ref, strikes)

    def _send_or_wait(self, now: datetime.timedelta) -> Send | None:
        """Returns a call, or waits if a leaf may take one later."""
        if not self._may_send_more():
            return None
        leaf = self._choose(now)
        extra = self._arrived or bool(self._open)
        if leaf is not None and (
            not extra or self._state.budget(self.service).try_spend(now)
        ):
            return self._send(leaf, now, extra)
        if self._open:
            # The hedge of the open call asks again.
            return None
        if leaf is not None and not self._waits_for_budget:
            return None
        if self._ask_again_at_by_ref or self._state.may_get_room(
            self.service, self._tried, now
        ):
            self._recheck_at = now + _RECHECK
        return None

    def _choose(
        self, now: datetime.timedelta
    ) -> directory_lib.LeafEntry | None:
        """Chooses a leaf; one that rejected the request if all were tried."""
        leaf = self._state.choose(self.service, self._route, self._tried, now)
        if (
            leaf is not None
            or not self._ask_again_at_by_ref
            or self._state.may_get_room(self.service, self._tried, now)
        ):
            return leaf
        ready = {
            ref for ref, at in self._ask_again_at_by_ref.items() if at <= now
        }
        return self._state.choose(
            self.service, self._route, self._tried - ready, now
        )

    def _may_send_more(self) -> bool:
        if self._answered or self._sends >= _MAX_SENDS:
            return False
        running = self._may_have_run + len(self._open)
        if not self._route.idempotent:
            return running == 0
        return running < self._route.max_leafs

    def _send(
        self,
        leaf: directory_lib.LeafEntry,
        now: datetime.timedelta,
        extra: bool,
    ) -> Send:
        send = Send(self._shard, leaf, now, extra)
        self._open[send] = None
        self._tried.add(leaf.ref)
        self._sends += 1
        self._state.record(leaf.ref).began(send, now)
        self._hedge_at = None
        if self._route.idempotent:
            self._hedge_at = now + self._latency.hedge_delay(now)
        return send
