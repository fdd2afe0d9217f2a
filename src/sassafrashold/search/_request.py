"""Requests, answers and reports of searches."""

import dataclasses
import datetime

from sassafrashold import errors
from sassafrashold.search import _attempt
from sassafrashold.search import _coverage


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchRequest:
    """One search of a caller."""

    request_id: str
    """Unique id of the request."""

    service: str
    """Name of the service."""

    query: bytes
    """The query as JSON; not parsed by this package."""

    deadline: datetime.datetime
    """Wall time at which the caller stops waiting."""

    priority_class: str
    """Priority class of the request."""

    allow_partial: bool
    """Whether an answer may lack shards."""

    traceparent: str | None = None
    """W3C trace context of the caller."""


@dataclasses.dataclass(frozen=True)
class ShardRows:
    """The result of one shard."""

    version: str
    """Index version of the result."""

    shard: int
    """Number of the shard."""

    rows: bytes
    """Result rows as a JSON array."""


@dataclasses.dataclass(frozen=True)
class AttemptReport:
    """Timing and outcome of one sub-query."""

    shard: int
    """Number of the shard."""

    leaf_id: str
    """Leaf that the sub-query was sent to."""

    zone: str
    """Zone of the leaf."""

    kind: str
    """primary, hedge or retry."""

    outcome: str
    """OK, CANCELLED, UNANSWERED or the code of an error."""

    started: datetime.timedelta
    """Start, relative to the start of the search."""

    ended: datetime.timedelta | None
    """End, relative to the start of the search; None while it is open."""

    queue_ms: int | None
    """Time in the owner's queue; None if the owner did not report it."""

    leaf_ms: int | None
    """Duration of the leaf call; None if the owner did not report it."""


@dataclasses.dataclass(frozen=True)
class PlanReport:
    """Outcome of one query plan; a rerun has a report of its own."""

    version: str
    """Pinned version."""

    coverage: _coverage.Coverage
    """Shards with a result."""

    error_by_shard: dict[int, errors.SassafrasError]
    """Last error of each shard without a result."""

    late_results: int
    """Results that were dropped because their shard was settled."""

    started: datetime.timedelta
    """Monotonic start of the search."""

    attempts: tuple[_attempt.Attempt, ...]
    """All sub-queries in the order in which they were sent."""

    def reports(self) -> list[AttemptReport]:
        """Returns a description of each sub-query."""
        return [
            AttemptReport(
                attempt.shard,
                attempt.replica.leaf_id,
                attempt.replica.zone,
                attempt.kind.value,
                attempt.outcome,
                attempt.started - self.started,
                None if attempt.ended is None else attempt.ended - self.started,
                attempt.queue_ms,
                attempt.leaf_ms,
            )
            for attempt in self.attempts
        ]


@dataclasses.dataclass(frozen=True)
class SearchAnswer:
    """The results of one index version and their coverage."""

    version: str
    """Index version of all results."""

    coverage: _coverage.Coverage
    """Shards with a result."""

    rows: tuple[bytes, ...]
    """JSON arrays, ordered by shard."""
