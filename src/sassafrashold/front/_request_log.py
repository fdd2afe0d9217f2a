"""One line for each request that was not served whole, and a few others."""

import datetime
import logging

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import telemetry
from sassafrashold.front import _requests

_LOGGER = logging.getLogger("sassafrashold.request")
_LINES_PER_SECOND = 50
_SAMPLED_LINES_PER_SECOND = 1
_NEVER_MS = 10**9
_MILLISECOND = datetime.timedelta(milliseconds=1)


class RequestLog:
    """Writes how requests ended, within a budget of lines for each kind."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes the log."""
        self._failures = telemetry.LineBudget(_LINES_PER_SECOND, clock)
        self._samples = telemetry.LineBudget(_SAMPLED_LINES_PER_SECOND, clock)

    @property
    def left_out(self) -> int:
        """Lines left out so far."""
        return self._failures.left_out

    def ended(
        self,
        request: calls.ClientRequest | None,
        reply: "_requests.Reply | None",
        duration: datetime.timedelta,
    ) -> None:
        """Notes the end of a request.

        Args:
            request: The request; None if it was not read whole.
            reply: The answer; None if the caller left.
            duration: Time since its arrival.
        """
        if reply is None:
            kind = "caller_left"
        elif reply.cause is not None:
            kind = reply.cause.value
        elif reply.missing:
            kind = "parts_missing"
        elif duration // _MILLISECOND > reply.facts.get("target_ms", _NEVER_MS):
            kind = "served_late"
        else:
            kind = "served"
        budget = self._samples if kind == "served" else self._failures
        left_out = budget.admit(kind)
        if left_out is None:
            return
        extra: dict[str, object] = {
            "request": request.request_id if request else None,
            "path": request.path if request else None,
            "outcome": kind,
            "status": reply.status if reply else None,
            "duration_ms": duration // _MILLISECOND,
        }
        if reply is not None:
            extra.update(reply.facts)
        if reply is not None and reply.missing:
            extra["missing"] = reply.missing
        if left_out:
            extra["lines_left_out"] = left_out
        level = logging.INFO if kind == "served" else logging.WARNING
        _LOGGER.log(level, "request ended", extra=extra)
