"""The dispatch endpoint."""

import asyncio
import datetime
from typing import Any

from aiohttp import web
from opentelemetry import trace

from sassafrashold import admission
from sassafrashold import clock as clock_lib
from sassafrashold import dispatch
from sassafrashold import errors
from sassafrashold import table as table_lib
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold.entry import _bodies
from sassafrashold.entry import _inputs
from sassafrashold.entry import _recent
from sassafrashold.entry import _responses
from sassafrashold.entry import _sender
from sassafrashold.telemetry import tracing

_ATTEMPT_HEADER = "Idempotency-Attempt"


class DispatchHandler:
    """Answers `POST /v1/services/{service}/dispatch`.

    A dispatch that has been admitted runs to its end even when its caller
    leaves, so that its claim never stays open without a reason.
    """

    def __init__(
        self,
        feed: views.Feed,
        gate: admission.Gate,
        dispatcher: dispatch.Dispatcher,
        sender: _sender.Sender,
        clock: clock_lib.Clock,
        tracer: tracing.Tracer,
        metrics: telemetry.Metrics,
        recent: _recent.RecentRequests,
    ) -> None:
        self._feed = feed
        self._gate = gate
        self._dispatcher = dispatcher
        self._sender = sender
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._recent = recent
        self._tasks: set[asyncio.Task[web.Response]] = set()

    @property
    def under_way(self) -> int:
        """Dispatches that run, also those whose callers have left."""
        return len(self._tasks)

    async def wait_idle(self) -> None:
        """Returns when no dispatch runs."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def draining(self, request: web.Request) -> web.Response:
        """Refuses a dispatch of a process that shuts down."""
        error = errors.DispatchError(
            errors.ErrorCode.DRAINING, "this host is shutting down"
        )
        # A malformed header states nothing.
        first = request.headers.get(_ATTEMPT_HEADER) == "1"
        return _responses.refusal(_about_key(error, first), "")

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers one request."""
        record = _recent.RequestRecord(
            "",
            "dispatch",
            request.match_info["service"],
            self._clock.now(),
            "",
        )
        started = self._clock.monotonic()
        with self._tracer.span(
            "dispatch",
            request.headers.get(_responses.TRACEPARENT_HEADER),
            trace.SpanKind.SERVER,
        ) as span:
            record.trace_id = format(span.get_span_context().trace_id, "032x")
            try:
                record.request_id = _inputs.request_id(
                    request.headers.get(_responses.REQUEST_ID_HEADER)
                )
                call, row = await self._checked(request, record)
            except errors.SassafrasError as error:
                self._finish(record, started, error)
                return _responses.refusal(error, record.request_id)
            run = self._run(call, row, record, started, tracing.header_of(span))
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _checked(
        self, request: web.Request, record: _recent.RequestRecord
    ) -> tuple[_sender.DispatchCall, table_lib.ServiceRow]:
        key = dispatch.check_key(request.headers.get("Idempotency-Key", ""))
        first = _inputs.is_first_attempt(request.headers.get(_ATTEMPT_HEADER))
        table = self._feed.current.table
        if table is None:
            error = errors.DispatchError(
                errors.ErrorCode.NOT_READY, "the table is not known yet"
            )
            raise _about_key(error, first)
        row = _inputs.service_row(
            table, record.service, table_lib.Kind.DISPATCH
        )
        values = _inputs.dispatch(await _bodies.read(request), row)
        record.deadline_ms = values.deadline_ms
        record.priority_class = row.priority_class
        call = _sender.DispatchCall(
            record.request_id,
            row.service,
            key,
            first,
            values.body,
            record.received + clock_lib.from_ms(values.deadline_ms),
        )
        return call, row

    async def _run(
        self,
        call: _sender.DispatchCall,
        row: table_lib.ServiceRow,
        record: _recent.RequestRecord,
        started: datetime.timedelta,
        traceparent: str,
    ) -> web.Response:
        sends: list[dict[str, Any]] = []
        record.detail["sends"] = sends
        try:
            async with self._gate.admit(
                row.priority_class, f"{row.service}/dispatch", call.deadline
            ) as admitted:
                record.admitted_ms = admitted.waited.total_seconds() * 1000
                outcome = await self._dispatcher.run(
                    call.service,
                    call.key,
                    call.body,
                    call.deadline,
                    lambda claim_id: self._sender.send(
                        call, row, claim_id, sends, traceparent
                    ),
                    is_first_attempt=call.is_first_attempt,
                )
                admitted.answered = not outcome.replayed
        except errors.SassafrasError as caught:
            error = caught
            if isinstance(caught, errors.AdmissionError):
                error = _about_key(caught, call.is_first_attempt)
            self._finish(record, started, error)
            return _responses.refusal(
                error, record.request_id, traceparent=traceparent
            )
        record.detail["replayed"] = outcome.replayed
        self._finish(record, started, None)
        return _responses.dispatched(
            outcome.result,
            outcome.replayed,
            record.request_id,
            traceparent,
        )

    def _finish(
        self,
        record: _recent.RequestRecord,
        started: datetime.timedelta,
        error: errors.SassafrasError | None,
    ) -> None:
        elapsed = self._clock.monotonic() - started
        record.total_ms = clock_lib.to_ms(elapsed * 1000) / 1000
        record.error = error
        self._recent.add(record)
        self._metrics.count("dispatch.requests")
        self._metrics.timing("dispatch.time", elapsed)
        if error is not None:
            self._metrics.count(f"dispatch.refused.{error.code.value}")


def _about_key(
    error: errors.SassafrasError, is_first_attempt: bool
) -> errors.SassafrasError:
    """Returns a refusal that speaks about the key, over all attempts.

    Before this host holds the claim it cannot know whether an earlier attempt
    ran, unless the caller states that there was none.
    """
    if is_first_attempt:
        return error
    return errors.DispatchError(
        error.code,
        error.message,
        ran=errors.Ran.OUTCOME_UNKNOWN,
        field=error.field,
        retry_after=error.retry_after,
    )
