"""What the sub-queries of a search say about the upstream."""

from collections.abc import Iterable
import dataclasses

from sassafrashold import errors
from sassafrashold import search
from sassafrashold import telemetry

_CONGESTED_OUTCOMES = frozenset(
    {
        errors.ErrorCode.OVERLOADED.value,
        errors.ErrorCode.LEAF_SHED.value,
        errors.ErrorCode.DEADLINE_TOO_SHORT.value,
    }
)
_UNANSWERED = "UNANSWERED"
# An owner batches while the slots are busy, so up to two leaf calls of wait
# are normal at full use. Times are whole milliseconds: one more is rounding.
_QUEUE_FACTOR = 2


@dataclasses.dataclass(frozen=True)
class Observation:
    """Figures of the plans of one search."""

    congested: bool
    """Whether sub-queries were shed or waited longer than leafs worked."""

    answered: bool
    """Whether it ended before its deadline, so that its time is typical."""

    hedges: int
    """Hedges that were sent."""

    retries: int
    """Retries that were sent."""

    late_results: int
    """Results that were dropped, because their shard had one."""

    def count(self, metrics: telemetry.Metrics) -> None:
        """Counts what is not zero."""
        for name, value in (
            ("search.hedges", self.hedges),
            ("search.retries", self.retries),
            ("search.late_results", self.late_results),
            ("search.congested", int(self.congested)),
        ):
            if value:
                metrics.count(name, value)


def observe(plans: Iterable[search.PlanReport]) -> Observation:
    """Returns the figures of the plans of a search."""
    shed = False
    unanswered = False
    queue_ms = leaf_ms = answers = hedges = retries = late_results = 0
    has_plan = False
    for plan in plans:
        has_plan = True
        late_results += plan.late_results
        for attempt in plan.attempts:
            shed = shed or attempt.outcome in _CONGESTED_OUTCOMES
            unanswered = unanswered or attempt.outcome == _UNANSWERED
            hedges += attempt.kind is search.AttemptKind.HEDGE
            retries += attempt.kind is search.AttemptKind.RETRY
            if attempt.queue_ms is not None:
                answers += 1
                queue_ms += attempt.queue_ms
                leaf_ms += attempt.leaf_ms or 0
    return Observation(
        shed or queue_ms > leaf_ms * _QUEUE_FACTOR + answers,
        has_plan and not unanswered,
        hedges,
        retries,
        late_results,
    )
