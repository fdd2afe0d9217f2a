"""A bounded ring of recent requests, for explain."""

import collections
import dataclasses
import datetime
from typing import Any

from sassafrashold import errors
from sassafrashold import search

_MILLISECOND = datetime.timedelta(milliseconds=1)
_MAX_REQUESTS = 2000
# Bounds the memory of the ring when each query has many shards.
_MAX_ATTEMPTS = 50_000


@dataclasses.dataclass
class RequestRecord:
    """What is known of one request; filled in while it runs."""

    request_id: str
    """Id that the caller sees."""

    kind: str
    """search or dispatch."""

    service: str
    """Name of the service."""

    received: datetime.datetime
    """Wall time of arrival."""

    trace_id: str
    """Id of the trace."""

    deadline_ms: int | None = None
    """Time that the caller gave."""

    priority_class: str | None = None
    """Class of the request."""

    admitted_ms: float | None = None
    """Time in the admission queue."""

    total_ms: float | None = None
    """Time from arrival to the end."""

    error: errors.SassafrasError | None = None
    """Refusal or failure."""

    plans: list[search.PlanReport] = dataclasses.field(default_factory=list)
    """Reports of the plans; a rerun adds one."""

    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    """Facts of a dispatch."""

    def attempts(self) -> int:
        """Returns the number of sub-queries on record."""
        return sum(len(plan.attempts) for plan in self.plans)

    def document(self) -> dict[str, Any]:
        """Returns the explanation as JSON values; times are milliseconds."""
        return {
            "request_id": self.request_id,
            "kind": self.kind,
            "service": self.service,
            "received": self.received.isoformat(),
            "trace_id": self.trace_id,
            "deadline_ms": self.deadline_ms,
            "priority_class": self.priority_class,
            "admission_wait_ms": self.admitted_ms,
            "total_ms": self.total_ms,
            "late": _is_late(self),
            "error": _error(self.error),
            "verdict": _verdict(self),
            "plans": [_plan_document(plan) for plan in self.plans],
            **self.detail,
        }


class RecentRequests:
    """The last requests, limited in number and in sub-queries."""

    def __init__(
        self,
        max_requests: int = _MAX_REQUESTS,
        max_attempts: int = _MAX_ATTEMPTS,
    ) -> None:
        self._max_requests = max_requests
        self._max_attempts = max_attempts
        self._attempts = 0
        self._record_by_id: collections.OrderedDict[str, RequestRecord] = (
            collections.OrderedDict()
        )

    def add(self, record: RequestRecord) -> None:
        """Adds a finished request and drops the oldest ones."""
        earlier = self._record_by_id.pop(record.request_id, None)
        if earlier is not None:
            self._attempts -= earlier.attempts()
        self._record_by_id[record.request_id] = record
        self._attempts += record.attempts()
        while len(self._record_by_id) > 1 and (
            len(self._record_by_id) > self._max_requests
            or self._attempts > self._max_attempts
        ):
            _, dropped = self._record_by_id.popitem(last=False)
            self._attempts -= dropped.attempts()

    def get(self, request_id: str) -> RequestRecord | None:
        """Returns a request, if it is still on record."""
        return self._record_by_id.get(request_id)

    def __len__(self) -> int:
        return len(self._record_by_id)


def _plan_document(plan: search.PlanReport) -> dict[str, Any]:
    return {
        "index_version": plan.version,
        "shards_asked": plan.coverage.shards_asked,
        "shards_answered": plan.coverage.shards_answered,
        "missing_shards": [
            {"shard": shard, "error": _error(plan.error_by_shard.get(shard))}
            for shard in plan.coverage.missing_shards
        ],
        "late_results": plan.late_results,
        "attempts": [
            {
                "shard": report.shard,
                "leaf": report.leaf_id,
                "zone": report.zone,
                "kind": report.kind,
                "outcome": report.outcome,
                "started_ms": _ms(report.started),
                "ended_ms": _ms(report.ended),
                "queue_ms": report.queue_ms,
                "leaf_ms": report.leaf_ms,
            }
            for report in plan.reports()
        ],
    }


def _verdict(record: RequestRecord) -> str:
    """Says in a sentence why a request was refused, partial or late."""
    if record.error is not None:
        return f"refused or failed: {record.error.message}"
    parts = []
    if record.plans:
        plan = record.plans[-1]
        if len(record.plans) > 1:
            parts.append(
                f"rerun because version {record.plans[-2].version!r} is gone"
            )
        if plan.coverage.partial:
            parts.append(_missing(plan))
        parts.extend(_slowest(plan))
    if _is_late(record):
        parts.append("later than its deadline")
    return "; ".join(parts) or "complete"


def _missing(plan: search.PlanReport) -> str:
    counts = collections.Counter(
        plan.error_by_shard[shard].code.value
        if shard in plan.error_by_shard
        else (
            "unanswered"
            if any(a.shard == shard for a in plan.attempts)
            else "no usable replica"
        )
        for shard in plan.coverage.missing_shards
    )
    causes = ", ".join(f"{name} {n}" for name, n in counts.most_common())
    return f"partial: {len(plan.coverage.missing_shards)} missing ({causes})"


def _slowest(plan: search.PlanReport) -> list[str]:
    reports = [r for r in plan.reports() if r.ended is not None]
    if not reports:
        return []
    last = max(reports, key=lambda r: r.ended or datetime.timedelta())
    return [
        f"slowest: shard {last.shard} at leaf {last.leaf_id} "
        f"({last.kind}, {last.outcome}, {_ms(last.ended)} ms)"
    ]


def _is_late(record: RequestRecord) -> bool:
    return (
        record.total_ms is not None
        and record.deadline_ms is not None
        and record.total_ms > record.deadline_ms
    )


def _error(error: errors.SassafrasError | None) -> dict[str, Any] | None:
    if error is None:
        return None
    return {
        "code": error.code.value,
        "message": error.message,
        "ran": error.ran.value,
    }


def _ms(duration: datetime.timedelta | None) -> float | None:
    return None if duration is None else round(duration / _MILLISECOND, 3)
