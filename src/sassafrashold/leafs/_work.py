"""What waits in the queue of a leaf."""

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
    """Service that it belongs to."""

    index_version: str
    """Pinned snapshot; empty for a dispatch."""

    shard: int
    """Shard to search; 0 for a dispatch."""

    body: bytes
    """JSON query or JSON body."""

    priority_class: str
    """Class whose share it uses."""

    deadline: datetime.timedelta
    """Monotonic time at which nobody waits for it any more."""

    extra: bool = False
    """Whether it is a hedge or a retry."""

    dispatch: bool = False
    """Whether it must be neither batched nor shared."""

    detail: Any = None
    """What the caller wants back with the call, such as dispatch ids."""


@dataclasses.dataclass(frozen=True)
class Rows:
    """Result of one item."""

    value: bytes
    """JSON rows, or the JSON result of a dispatch."""

    index_version: str
    """Snapshot that it comes from; empty for a dispatch."""

    queued: datetime.timedelta
    """Time in the queue."""

    called: datetime.timedelta
    """Time of the leaf call."""

    batch_size: int
    """Items in the leaf call."""

    cold: bool = False
    """Whether the leaf has not reached its full load."""


Answer = Rows | errors.SassafrasError


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """Somebody who waits for the answer to some work; compared by identity."""

    work: Work
    """What is wanted."""

    reply: Callable[[Answer], None]
    """Called once with the answer."""

    enqueued: datetime.timedelta
    """Monotonic time of arrival."""
