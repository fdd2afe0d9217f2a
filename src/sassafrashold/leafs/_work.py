"""Work in the queue of a leaf, its waiters and its answers."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Any

from sassafrashold import errors

MAX_BATCH_ITEMS = 64


@dataclasses.dataclass(frozen=True)
class Work:
    """One sub-query or one dispatch for one leaf."""

    service: str
    """Service that the work belongs to."""

    index_version: str
    """Pinned index version; empty for a dispatch."""

    shard: int
    """Shard to search; 0 for a dispatch."""

    body: bytes
    """JSON query of a sub-query or JSON body of a dispatch."""

    priority_class: str
    """Priority class that the work is scheduled in."""

    deadline: datetime.timedelta
    """Monotonic time after which the result is of no use."""

    extra: bool = False
    """Whether the work is a hedge or a retry."""

    dispatch: bool = False
    """Whether the work is not idempotent: neither batched nor shared."""

    detail: Any = None
    """Opaque data of the caller, such as dispatch ids."""


@dataclasses.dataclass(frozen=True)
class Rows:
    """Successful result of one item."""

    value: bytes
    """JSON rows, or the JSON result of a dispatch."""

    index_version: str
    """Index version of the result; empty for a dispatch."""

    queue_time: datetime.timedelta
    """Time that the waiter spent in the queue."""

    call_time: datetime.timedelta
    """Duration of the leaf call."""

    batch_size: int
    """Number of items in the leaf call."""

    cold: bool = False
    """Whether the leaf was still below its full number of slots."""


Answer = Rows | errors.SassafrasError


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A caller that waits for the answer to its work; compared by identity."""

    work: Work
    """The work to answer."""

    reply: Callable[[Answer], None]
    """Callback for the answer; called exactly once."""

    enqueued: datetime.timedelta
    """Monotonic time of arrival."""
