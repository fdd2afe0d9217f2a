"""Messages to a leaf task and what leaf tasks share."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import leafs
from sassafrashold import telemetry
from sassafrashold import views
from sassafrashold.leafs import client as leaf_client
from sassafrashold.owner import _rights
from sassafrashold.telemetry import tracing


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a piece of work comes from."""

    request_id: str
    """Id of the caller's request."""

    traceparent: str | None
    """W3C trace context."""

    idempotency_key: str = ""
    """Of a dispatch."""

    claim_id: str = ""
    """Of a dispatch."""


@dataclasses.dataclass(frozen=True)
class Context:
    """What all leaf tasks of the process share."""

    clock: clock_lib.Clock
    """The clock."""

    rights: _rights.Rights
    """What may be used."""

    view: Callable[[], views.View]
    """Returns the current view."""

    metrics: telemetry.Metrics
    """Where to report."""

    tracer: tracing.Tracer
    """Starts spans."""

    call_ids: Iterator[int]
    """Numbers of leaf calls."""

    spans: bool
    """Whether leaf calls get spans of their own."""


@dataclasses.dataclass(frozen=True)
class Submit:
    """New work."""

    waiter: leafs.Waiter
    """Who waits."""


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Nobody waits for the work any more."""

    waiter: leafs.Waiter
    """Who waits."""


@dataclasses.dataclass(frozen=True)
class Succeeded:
    """A call ended with a result."""

    flight: "Flight"
    """The call."""

    generation: str
    """Generation of the leaf."""

    value_by_position: dict[int, bytes]
    """JSON by position of the item in the call."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """A call ended without a result."""

    flight: "Flight"
    """The call."""

    error: errors.SassafrasError
    """What went wrong."""

    sent: bool = True
    """False if nothing was sent to the leaf."""


@dataclasses.dataclass(frozen=True)
class Ended:
    """The leaf has confirmed the end of a call whose connection was lost."""

    flight: "Flight"
    """The call."""


@dataclasses.dataclass(frozen=True)
class Hint:
    """The leaf's own report."""

    health: leaf_client.Health | None
    """The report; None if there was none."""


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time to look at what waits."""


@dataclasses.dataclass(frozen=True)
class Refresh:
    """The view or the entitlement has changed."""


@dataclasses.dataclass(frozen=True)
class HealthDue:
    """Time to ask for the leaf's own report."""


Message = (
    Submit
    | Cancel
    | Succeeded
    | Failed
    | Ended
    | Hint
    | Tick
    | Refresh
    | HealthDue
)


class Flight:
    """A batch under way."""

    def __init__(self, batch: leafs.Batch, request_id: str) -> None:
        self.batch = batch
        self.request_id = request_id
        self.cancelled = False
        self.waiters = {w for entry in batch.entries for w in entry.waiters}
