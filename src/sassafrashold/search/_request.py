"""What a search is asked with and what it answers."""

import dataclasses
import datetime

from sassafrashold import errors
from sassafrashold.search import _attempt
from sassafrashold.search import _coverage


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchRequest:
    """One search of a caller."""

    request_id: str
    """Unique id."""

    service: str
    """Name of the service."""

    query: bytes
    """The query as JSON; opaque here."""

    deadline: datetime.datetime
    """Wall time at which the caller stops waiting."""

    priority_class: str
    """Class of the request."""

    allow_partial: bool
    """Whether an answer may lack shards."""

    traceparent: str | None = None
    """W3C trace context of the hop that asks."""


@dataclasses.dataclass(frozen=True)
class ShardRows:
    """The result of one shard."""

    version: str
    """Version that it is from."""

    shard: int
    """Number of the shard."""

    rows: bytes
    """JSON array."""


@dataclasses.dataclass(frozen=True)
class AttemptReport:
    """What became of one sub-query."""

    shard: int
    """Number of the shard."""

    leaf_id: str
    """Leaf that was asked."""

    zone: str
    """Zone of the leaf."""

    kind: str
    """primary, hedge or retry."""

    outcome: str
    """OK, CANCELLED, UNANSWERED or the code of an error."""

    started: datetime.timedelta
    """Start, counted from the start of the search."""

    ended: datetime.timedelta | None
    """End, counted from the start of the search."""

    queue_ms: int | None
    """Time in the owner's queue, if stated."""

    leaf_ms: int | None
    """Time of the leaf call, if stated."""


@dataclasses.dataclass(frozen=True)
class PlanReport:
    """What became of one pinned plan; a rerun has its own."""

    version: str
    """Pinned version."""

    coverage: _coverage.Coverage
    """Shards with a result."""

    error_by_shard: dict[int, errors.SassafrasError]
    """Last error of each shard without a result."""

    late_results: int
    """Results that were dropped because their shard had one."""

    started: datetime.timedelta
    """Monotonic start of the search."""

    attempts: tuple[_attempt.Attempt, ...]
    """All sub-queries in order of sending; read by `reports`."""

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
    """The results of one snapshot and their coverage."""

    version: str
    """Index version of all results."""

    coverage: _coverage.Coverage
    """Shards with a result."""

    rows: tuple[bytes, ...]
    """JSON arrays, ordered by shard."""
