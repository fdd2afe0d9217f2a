"""What this host has seen of one incarnation of a leaf."""

import datetime

from sassafrashold.calls import _cold

_ZERO = datetime.timedelta()
# A pause of a leaf ends within this time; one slow answer may be a pause.
_FIRST_STRIKE = datetime.timedelta(milliseconds=200)
_STRIKE_BASE = datetime.timedelta(milliseconds=400)
_MAX_STRIKE_TIME = datetime.timedelta(seconds=4)
_MAX_DOUBLINGS = 4
# A host that calls a leaf rarely would meet a slow leaf with every call: it
# stays away for this many calls at least, doubled with each strike.
_STRIKE_CALLS = 1.5
_MAX_GAP = datetime.timedelta(seconds=2)
_GAP_WEIGHT = 0.25


class LeafRecord:
    """Open calls, slow answers and failures of a leaf.

    One slow answer or failure keeps the leaf out of first choice for the
    length of a pause, or of some calls where these are rare. Each further one
    in a row doubles the time, so that a slow leaf is tried again rarely and a
    leaf after a pause soon.
    """

    __slots__ = (
        "_avoid_until",
        "_gap",
        "_last_sent",
        "_last_strike",
        "_strikes",
        "cold",
        "sent_by_call",
    )

    def __init__(self) -> None:
        self.sent_by_call: dict[object, datetime.timedelta] = {}
        self.cold = _cold.ColdLimiter()
        self._strikes = 0
        self._avoid_until = _ZERO
        self._last_strike = _ZERO
        self._last_sent: datetime.timedelta | None = None
        self._gap = _ZERO

    @property
    def open_calls(self) -> int:
        """Calls without an answer."""
        return len(self.sent_by_call)

    @property
    def strikes(self) -> int:
        """Slow answers and failures in a row."""
        return self._strikes

    def began(self, call: object, now: datetime.timedelta) -> None:
        """Notes that a call is sent."""
        if self._last_sent is not None:
            gap = min(now - self._last_sent, _MAX_GAP)
            self._gap += (gap - self._gap) * _GAP_WEIGHT
        self._last_sent = now
        self.sent_by_call[call] = now
        self.cold.note_sent(now)

    def ended(
        self,
        call: object,
        now: datetime.timedelta,
        slow_from: datetime.timedelta,
        failed: bool,
    ) -> datetime.timedelta:
        """Notes the end of a call that was answered or failed.

        Args:
            call: The call given to `began`.
            now: Monotonic time.
            slow_from: Duration from which an answer counts as slow.
            failed: Whether the call failed.

        Returns:
            The duration of the call.
        """
        sent = self.sent_by_call.pop(call, now)
        if failed or now - sent >= slow_from:
            # Calls sent before the last strike met the same trouble.
            if sent >= self._last_strike:
                self._strike(now)
        elif sent >= self._last_strike:
            self._strikes = 0
            self._avoid_until = _ZERO
        return now - sent

    def gave_up(
        self, call: object, now: datetime.timedelta, overdue: bool
    ) -> None:
        """Notes that this host no longer waits for a call.

        Args:
            call: The call given to `began`.
            now: Monotonic time.
            overdue: Whether the answer is later than usual.
        """
        sent = self.sent_by_call.pop(call, None)
        if overdue and sent is not None and sent >= self._last_strike:
            self._strike(now)

    def is_avoided(
        self, now: datetime.timedelta, overdue_from: datetime.timedelta
    ) -> bool:
        """Returns whether other leafs are better for a first attempt.

        Args:
            now: Monotonic time.
            overdue_from: Age from which an open call is a sign of trouble.
        """
        if now < self._avoid_until:
            return True
        if not self.sent_by_call:
            return False
        oldest = next(iter(self.sent_by_call.values()))
        return now - oldest >= overdue_from

    def _strike(self, now: datetime.timedelta) -> None:
        self._last_strike = now
        self._strikes += 1
        doublings = min(self._strikes - 1, _MAX_DOUBLINGS + 1)
        by_time = _FIRST_STRIKE if doublings == 0 else _STRIKE_BASE
        by_time *= 2 ** max(doublings - 1, 0)
        by_calls = self._gap * (_STRIKE_CALLS * 2**doublings)
        self._avoid_until = now + min(max(by_time, by_calls), _MAX_STRIKE_TIME)
