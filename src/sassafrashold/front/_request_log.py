"""Logs requests that failed, were late or incomplete, and samples the rest."""

from collections.abc import Callable
import datetime
import logging

from sassafrashold import calls
from sassafrashold import clock as clock_lib
from sassafrashold import telemetry
from sassafrashold.front import _requests
from sassafrashold.front import _view

_LOGGER = logging.getLogger("sassafrashold.request")
_MAX_FAILURE_LINES_PER_SECOND = 50
_MAX_SAMPLE_LINES_PER_SECOND = 1
_NO_TARGET_MS = 10**9
_MILLISECOND = datetime.timedelta(milliseconds=1)


class RequestLog:
    """Logs how requests ended, with a rate limit for each outcome."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        knowledge: Callable[[], _view.Knowledge] | None = None,
    ) -> None:
        """Initializes the log.

        Args:
            clock: The clock.
            knowledge: Returns what requests are handled by; asked only for
                lines that are written. None leaves these fields out.
        """
        self._knowledge = knowledge
        self._failure_budget = telemetry.LineBudget(
            _MAX_FAILURE_LINES_PER_SECOND, clock
        )
        self._sample_budget = telemetry.LineBudget(
            _MAX_SAMPLE_LINES_PER_SECOND, clock
        )

    @property
    def left_out(self) -> int:
        """Lines about failed, late or incomplete requests left out so far."""
        return self._failure_budget.left_out

    def log_end(
        self,
        request: calls.ClientRequest | None,
        reply: "_requests.Reply | None",
        duration: datetime.timedelta,
    ) -> None:
        """Logs the end of a request, unless the rate limit is reached.

        Args:
            request: The request; None if its head was not decoded.
            reply: The reply; None if the caller left before it.
            duration: Time since the request arrived.
        """
        if reply is None:
            outcome = "caller_left"
        elif reply.cause is not None:
            outcome = reply.cause.value
        elif reply.missing:
            outcome = "parts_missing"
        elif duration // _MILLISECOND > reply.log_fields.get(
            "target_ms", _NO_TARGET_MS
        ):
            outcome = "served_late"
        else:
            outcome = "served"
        budget = (
            self._sample_budget if outcome == "served" else self._failure_budget
        )
        left_out = budget.admit(outcome)
        if left_out is None:
            return
        extra: dict[str, object] = {
            "request": request.request_id if request else None,
            "path": request.path if request else None,
            "outcome": outcome,
            "status": reply.status if reply else None,
            "duration_ms": duration // _MILLISECOND,
        }
        if self._knowledge is not None:
            known = self._knowledge()
            extra["configuration"] = known.configuration
            extra["copy"] = _view.position_text(known.position)
            extra["copy_age_ms"] = known.age // _MILLISECOND
        if reply is not None:
            # The version that the request was handled by, if it was routed.
            extra.update(reply.log_fields)
        if reply is not None and reply.missing:
            extra["missing"] = reply.missing
        if left_out:
            extra["lines_left_out"] = left_out
        level = logging.INFO if outcome == "served" else logging.WARNING
        _LOGGER.log(level, "request ended", extra=extra)
