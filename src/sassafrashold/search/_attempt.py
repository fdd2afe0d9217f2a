"""A sub-query of a query plan, sent to one leaf for one shard."""

import datetime
import enum

from sassafrashold.search import _topology


class AttemptKind(enum.Enum):
    """Why a sub-query is sent."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"


class Attempt:
    """A sub-query that was sent for a shard; its outcome is set only once."""

    __slots__ = (
        "ended",
        "extra",
        "is_hedge_urgent",
        "kind",
        "leaf_ms",
        "number",
        "outcome",
        "queue_ms",
        "replica",
        "shard",
        "started",
    )

    def __init__(
        self,
        number: int,
        shard: int,
        replica: _topology.Replica,
        kind: AttemptKind,
        extra: bool,
        started: datetime.timedelta,
    ) -> None:
        self.number = number
        self.shard = shard
        self.replica = replica
        self.kind = kind
        self.extra = extra
        self.started = started
        self.ended: datetime.timedelta | None = None
        self.is_hedge_urgent = False
        self.outcome = "OPEN"
        self.queue_ms: int | None = None
        self.leaf_ms: int | None = None
