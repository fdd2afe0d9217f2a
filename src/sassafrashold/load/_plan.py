"""What to send, where and when."""

from collections.abc import Iterator
import dataclasses
import random

from sassafrashold import settings


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry process behind the balancer."""

    zone: str
    """Availability zone, for the figures per zone."""

    address: settings.Address
    """HTTP address."""

    @classmethod
    def parse(cls, text: str) -> "Entry":
        """Parses `zone=ip:port` or `ip:port`.

        Raises:
            ValueError: The text has another form.
        """
        zone, _, address = text.rpartition("=")
        return cls(zone or "-", settings.Address.parse(address))


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that gets a part of the load."""

    service: str
    """Name of the service."""

    weight: float = 1.0
    """Share relative to the other targets."""

    priority_class: str | None = None
    """Class that requests state; None to state none."""

    deadline_ms: int | None = None
    """Deadline that requests state; None to state none."""

    allow_partial: bool | None = None
    """Whether requests accept partial answers; None to state nothing."""

    @classmethod
    def parse(cls, text: str) -> "Target":
        """Parses `service[:weight[:class[:deadline_ms]]]`.

        Raises:
            ValueError: The text has another form.
        """
        service, *rest = text.split(":")
        weight, priority_class, deadline_ms, *more = [*rest, "", "", ""]
        if not service or any(more):
            raise ValueError("expected service[:weight[:class[:deadline_ms]]]")
        return cls(
            service,
            float(weight or 1),
            priority_class or None,
            int(deadline_ms) if deadline_ms else None,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchPlan:
    """An open-loop load of searches."""

    entries: tuple[Entry, ...]
    """Where to send; in turn, as a balancer does."""

    targets: tuple[Target, ...]
    """What to send."""

    rate: float
    """Requests per second."""

    duration_s: float
    """Time over which requests are sent."""

    arrivals: str = "poisson"
    """constant or poisson."""

    seed: int = 1
    """Seed of arrivals and of the mix."""

    warmup_s: float = 0.0
    """Time at the start whose requests are not counted."""

    leaf_admins: tuple[settings.Address, ...] = ()
    """Admin interfaces whose records give the leaf calls."""

    timeout_s: float = 30.0
    """Time after which a request without an answer counts as lost."""

    check_rows: bool = True
    """Whether rows come from the leaf stand-in and can be checked."""


def arrival_offsets(
    rate: float, duration_s: float, arrivals: str, seed: int
) -> Iterator[float]:
    """Yields the intended send times in seconds from the start.

    Raises:
        ValueError: The kind of arrivals is unknown.
    """
    if arrivals not in ("constant", "poisson"):
        raise ValueError(f"arrivals {arrivals!r}: expected constant or poisson")
    source = random.Random(seed)
    offset = 0.0
    while True:
        if arrivals == "poisson":
            offset += source.expovariate(rate)
        else:
            offset += 1 / rate
        if offset >= duration_s:
            return
        yield offset
