"""The search endpoint."""

import asyncio
import contextlib
import datetime
import secrets

from aiohttp import web
from opentelemetry import trace
from reactivex import abc as reactive
from reactivex import subject

from sassafrashold import admission
from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import search
from sassafrashold import table as table_lib
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold.entry import _bodies
from sassafrashold.entry import _inputs
from sassafrashold.entry import _observe
from sassafrashold.entry import _recent
from sassafrashold.entry import _responses
from sassafrashold.telemetry import tracing

_WRITE_TIMEOUT_S = 30.0
_NDJSON = "application/x-ndjson"


class SearchHandler:
    """Answers `POST /v1/services/{service}/search`."""

    def __init__(
        self,
        feed: views.Feed,
        gate: admission.Gate,
        searcher: search.Searcher,
        clock: clock_lib.Clock,
        tracer: tracing.Tracer,
        metrics: telemetry.Metrics,
        recent: _recent.RecentRequests,
    ) -> None:
        self._feed = feed
        self._gate = gate
        self._searcher = searcher
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._recent = recent

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers one request."""
        started = self._clock.monotonic()
        record = _recent.RequestRecord(
            "", "search", request.match_info["service"], self._clock.now(), ""
        )
        with self._tracer.span(
            "search",
            request.headers.get(_responses.TRACEPARENT_HEADER),
            trace.SpanKind.SERVER,
        ) as span:
            record.trace_id = format(span.get_span_context().trace_id, "032x")
            try:
                record.request_id = _inputs.request_id(
                    request.headers.get(_responses.REQUEST_ID_HEADER)
                )
                span.set_attribute("request.id", record.request_id)
                response = await self._search(
                    request, record, tracing.header_of(span)
                )
            except errors.SassafrasError as error:
                record.error = error
                span.set_attribute("error.code", error.code.value)
                self._metrics.count(f"search.refused.{error.code.value}")
                response = _responses.refusal(
                    error,
                    record.request_id,
                    traceparent=tracing.header_of(span),
                )
            finally:
                self._finish(record, started)
            return response

    def _finish(
        self, record: _recent.RequestRecord, started: datetime.timedelta
    ) -> None:
        elapsed = self._clock.monotonic() - started
        record.total_ms = clock_lib.to_ms(elapsed * 1000) / 1000
        self._recent.add(record)
        self._metrics.count("search.requests")
        self._metrics.timing("search.time", elapsed)

    async def _search(
        self,
        request: web.Request,
        record: _recent.RequestRecord,
        traceparent: str,
    ) -> web.StreamResponse:
        table = self._feed.current.table
        if table is None:
            raise errors.SearchError(
                errors.ErrorCode.NOT_READY, "the table is not known yet"
            )
        row = _inputs.service_row(table, record.service, table_lib.Kind.SEARCH)
        values = _inputs.search(
            await _bodies.read(request),
            row,
            {other.priority_class for other in table.rows},
        )
        record.deadline_ms = values.deadline_ms
        record.priority_class = values.priority_class
        search_request = search.SearchRequest(
            # Two callers may state the same id, but the tier needs a unique
            # one: a cancellation must not reach the request of another.
            request_id=f"{record.request_id}~{secrets.token_hex(4)}",
            service=row.service,
            query=values.query,
            deadline=record.received + clock_lib.from_ms(values.deadline_ms),
            priority_class=values.priority_class,
            allow_partial=values.allow_partial,
            traceparent=traceparent,
        )
        if values.stream:
            return await self._stream(request, search_request, row, record)
        answer = await self._admitted(search_request, row, record)
        return _responses.answer(answer, record.request_id, traceparent)

    async def _admitted(
        self,
        search_request: search.SearchRequest,
        row: table_lib.ServiceRow,
        record: _recent.RequestRecord,
        rows: reactive.ObserverBase[search.ShardRows] | None = None,
    ) -> search.SearchAnswer:
        """Waits for a place, searches, and gives the place back."""
        async with self._gate.admit(
            search_request.priority_class, row.service, search_request.deadline
        ) as admitted:
            record.admitted_ms = admitted.waited.total_seconds() * 1000
            try:
                answer = await self._searcher.search(
                    search_request, row, record.plans.append, rows
                )
            finally:
                observation = _observe.observe(record.plans)
                observation.count(self._metrics)
                admitted.congested = observation.congested
                admitted.answered = observation.answered
            # A search waits for a missing shard up to its deadline, which says
            # nothing about the time that answers take.
            admitted.answered &= not answer.coverage.partial
        self._count_coverage(answer)
        return answer

    async def _stream(
        self,
        request: web.Request,
        search_request: search.SearchRequest,
        row: table_lib.ServiceRow,
        record: _recent.RequestRecord,
    ) -> web.StreamResponse:
        """Sends a line per shard as it arrives, and last the coverage."""
        response = web.StreamResponse(
            headers={
                "Content-Type": _NDJSON,
                **_responses.headers(
                    record.request_id, search_request.traceparent
                ),
            }
        )
        lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        shard_rows: subject.Subject[search.ShardRows] = subject.Subject()
        shard_rows.subscribe(
            on_next=lambda rows: lines.put_nowait(_responses.shard_line(rows)),
            on_completed=lambda: lines.put_nowait(None),
        )
        writer = asyncio.create_task(_write_lines(request, response, lines))
        try:
            answer = await self._admitted(
                search_request, row, record, shard_rows
            )
            last = _responses.last_line(answer, record.request_id)
        except errors.SassafrasError as error:
            if not response.prepared and lines.empty():
                raise
            record.error = error
            last = _responses.error_line(error, record.request_id)
        except BaseException:
            writer.cancel()
            raise
        finally:
            shard_rows.on_completed()
        try:
            async with asyncio.timeout(_WRITE_TIMEOUT_S):
                await writer
                if not response.prepared:
                    await response.prepare(request)
                await response.write(last)
                await response.write_eof()
        except TimeoutError:
            # The caller reads too slowly; without the last line it knows
            # that the result is incomplete.
            self._metrics.count("search.slow_callers")
            writer.cancel()
            if request.transport is not None:
                request.transport.abort()
        return response

    def _count_coverage(self, answer: search.SearchAnswer) -> None:
        self._metrics.count("search.shards_asked", answer.coverage.shards_asked)
        if answer.coverage.partial:
            self._metrics.count("search.partial")
            self._metrics.count(
                "search.shards_missing", len(answer.coverage.missing_shards)
            )


async def _write_lines(
    request: web.Request,
    response: web.StreamResponse,
    lines: asyncio.Queue[bytes | None],
) -> None:
    """Writes lines until None; a caller that has left ends the writing."""
    line = await lines.get()
    if line is None:
        return
    await response.prepare(request)
    with contextlib.suppress(ConnectionError):
        while line is not None:
            await response.write(line)
            line = await lines.get()
