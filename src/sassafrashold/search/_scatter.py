"""Sends sub-queries to owners and reports their results."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import datetime
from typing import Any

from opentelemetry import trace

from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold import wire
from sassafrashold.search import _attempt
from sassafrashold.search import _leafs
from sassafrashold.search import _request
from sassafrashold.telemetry import tracing


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """A sub-query returned a result."""

    attempt: _attempt.Attempt
    """The sub-query."""

    version: str | None
    """Index version of the result."""

    rows: bytes
    """Result rows as a JSON array."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A sub-query failed."""

    attempt: _attempt.Attempt
    """The sub-query."""

    error: errors.SassafrasError
    """Cause of the failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer of the plan has expired."""


Event = Rows | Failure | Tick


class _Message:
    """One in-flight scatter message."""

    def __init__(
        self, address: settings.Address, attempts: list[_attempt.Attempt]
    ) -> None:
        self.address = address
        self.open_attempt_by_key = {
            (a.shard, a.replica.leaf_id): a for a in attempts
        }
        self.answered = False
        self.task: asyncio.Task[None] | None = None


class Scatter:
    """Sends the messages of one plan.

    Sub-queries to the same address share one message. Abandoning the last
    unanswered sub-query of a message cancels the message.
    """

    def __init__(
        self,
        request: _request.SearchRequest,
        version: str,
        deadline: datetime.datetime,
        pool: rpc.Pool,
        tracker: _leafs.LeafTracker,
        tracer: tracing.Tracer,
        metrics: telemetry.Metrics,
        report: Callable[[Event], None],
        monotonic: Callable[[], datetime.timedelta],
    ) -> None:
        """Initializes the scatter.

        Args:
            request: The search.
            version: The pinned version.
            deadline: Wall time that is sent to the owners as their deadline.
            pool: Connections to owners.
            tracker: Records answers and failures of owners.
            tracer: Starts a span for each message.
            metrics: Counts unexpected results.
            report: Called on the event loop with each event.
            monotonic: Returns the monotonic time.
        """
        self._request = request
        self._version = version
        self._deadline = deadline
        self._pool = pool
        self._tracker = tracker
        self._tracer = tracer
        self._metrics = metrics
        self._report = report
        self._monotonic = monotonic
        self._message_by_attempt: dict[int, _Message] = {}
        self._messages: set[_Message] = set()

    def send(
        self,
        attempts: Iterable[_attempt.Attempt],
        address_of: Callable[[_attempt.Attempt], settings.Address | None],
    ) -> None:
        """Starts one message per address.

        Reports a failure for each sub-query without a known address.
        """
        by_address: dict[settings.Address, list[_attempt.Attempt]] = {}
        for attempt in attempts:
            address = address_of(attempt)
            if address is None:
                self._report(Failure(attempt, _no_owner_error(attempt)))
                continue
            by_address.setdefault(address, []).append(attempt)
        for address, group in by_address.items():
            message = _Message(address, group)
            for attempt in group:
                self._message_by_attempt[attempt.number] = message
            message.task = asyncio.create_task(self._run(message, group))
            self._messages.add(message)

    def abandon(self, attempts: Iterable[_attempt.Attempt]) -> None:
        """Drops sub-queries; cancels messages that have none left."""
        for attempt in attempts:
            message = self._message_by_attempt.get(attempt.number)
            if message is None:
                continue
            message.open_attempt_by_key.pop(
                (attempt.shard, attempt.replica.leaf_id), None
            )
            if not message.open_attempt_by_key and message.task is not None:
                message.task.cancel()

    async def close(self, deadline_passed: bool) -> None:
        """Cancels all messages and waits for their tasks.

        Args:
            deadline_passed: Whether the deadline has passed. If so, owners that
                have sent nothing count as unreachable.
        """
        tasks = []
        for message in self._messages:
            if deadline_passed and not message.answered:
                self._tracker.owner_failed(message.address, self._monotonic())
            if message.task is not None:
                message.task.cancel()
                tasks.append(message.task)
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, message: _Message, attempts: list[_attempt.Attempt]
    ) -> None:
        request = self._request
        with self._tracer.span(
            "scatter", request.traceparent, trace.SpanKind.CLIENT
        ) as span:
            span.set_attribute("peer", str(message.address))
            span.set_attribute("subqueries", len(attempts))
            try:
                await self._stream(
                    message, self._encode(attempts), tracing.header_of(span)
                )
                error: errors.SassafrasError = errors.RpcError(
                    errors.ErrorCode.INTERNAL,
                    f"owner {message.address} ended without this result",
                    ran=errors.Ran.OUTCOME_UNKNOWN,
                )
            except errors.SassafrasError as caught:
                error = caught
                span.set_attribute("error.code", caught.code.value)
                self._track_owner_failure(message, caught)
            finally:
                self._messages.discard(message)
        for attempt in list(message.open_attempt_by_key.values()):
            self._report(Failure(attempt, error))

    async def _stream(
        self, message: _Message, body: bytes, traceparent: str
    ) -> None:
        client = self._pool.get(message.address)
        async with contextlib.aclosing(
            client.stream(
                "scatter",
                body,
                deadline=self._deadline,
                traceparent=traceparent,
            )
        ) as items:
            async for item in items:
                if not message.answered:
                    message.answered = True
                    self._tracker.owner_answered(message.address)
                self._receive(message, item)

    def _receive(self, message: _Message, item: bytes) -> None:
        try:
            result = wire.decode(wire.messages.ShardResult, item)
        except wire.CodecError:
            # The last item is a ScatterEnd; it lacks the required field `leaf`.
            return
        attempt = message.open_attempt_by_key.pop(
            (result.shard, result.leaf), None
        )
        if attempt is None:
            self._metrics.count("search.unexpected_results")
            return
        attempt.queue_ms = result.queue_ms
        attempt.leaf_ms = result.leaf_ms
        if result.cold is not None:
            attempt.replica.record.is_warming = bool(result.cold)
        self._report(_event_from_result(attempt, result))

    def _encode(self, attempts: list[_attempt.Attempt]) -> bytes:
        return wire.encode(
            wire.messages.ScatterRequest(
                request_id=self._request.request_id,
                service_name=self._request.service,
                index_version=self._version,
                query=self._request.query,
                subqueries=[
                    wire.messages.SubQuery(
                        shard=attempt.shard,
                        leaf=attempt.replica.leaf_id,
                        extra=attempt.kind is _attempt.AttemptKind.HEDGE,
                    )
                    for attempt in attempts
                ],
                priority_class=self._request.priority_class,
                hops=0,
            )
        )

    def _track_owner_failure(
        self, message: _Message, error: errors.SassafrasError
    ) -> None:
        unreachable = error.code in (
            errors.ErrorCode.UNAVAILABLE,
            errors.ErrorCode.CONNECTION_LOST,
        )
        if unreachable and not message.answered:
            self._tracker.owner_failed(message.address, self._monotonic())


def _event_from_result(attempt: _attempt.Attempt, result: Any) -> Event:
    if result.error is not None:
        return Failure(attempt, wire.error_from_wire(result.error))
    rows = result.rows
    if rows is None or rows[:1] != b"[" or rows[-1:] != b"]":
        return Failure(
            attempt,
            errors.SearchError(
                errors.ErrorCode.LEAF_FAILED,
                f"leaf {result.leaf} sent no JSON array",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            ),
        )
    return Rows(attempt, result.index_version, rows)


def _no_owner_error(attempt: _attempt.Attempt) -> errors.SassafrasError:
    return errors.SearchError(
        errors.ErrorCode.UNAVAILABLE,
        f"no owner is known for leaf {attempt.replica.leaf_id}",
    )
