"""What a stand-in leaf can do, and the faults that it simulates."""

import dataclasses
from typing import Any

from sassafrashold import settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Capacity and timing of the leafs of one service (an INI section)."""

    slots: int = settings.option(default=3, minimum=1)
    """Calls that a leaf runs at once."""

    connections: int = settings.option(default=30, minimum=1)
    """Connections that a leaf accepts; further ones are closed."""

    connect_ms: float = settings.option(default=6.0, minimum=0)
    """Time before a new connection takes its first request."""

    service_ms: float = settings.option(default=8.0, minimum=0)
    """Median time of a call with one item on a warm leaf."""

    service_sigma: float = settings.option(default=0.4, minimum=0)
    """Sigma of the log-normal distribution of the service time."""

    item_ms: float = settings.option(default=0.5, minimum=0)
    """Time that each further item of a batch adds."""

    overload: str = settings.option(default="shed", choices=("shed", "queue"))
    """What happens to calls beyond the slots."""

    cold_slots: int = settings.option(default=1, minimum=1)
    """Calls at once that a cold leaf bears."""

    warmup_successes: int = settings.option(default=20, minimum=1)
    """Successful calls that add one slot to what a cold leaf bears."""

    cold_factor: float = settings.option(default=3.0, minimum=1)
    """Service time of a fully cold leaf relative to a warm one."""

    collapse: str = settings.option(default="fail", choices=("fail", "stall"))
    """How calls end while a leaf is collapsed by work above its bound."""

    collapse_ms: float = settings.option(default=1000.0, minimum=0)
    """How long a collapse lasts."""

    rows_per_shard: int = settings.option(default=2, minimum=0)
    """Rows in the answer of one shard."""

    cold_at_start: bool = True
    """Whether the leafs are cold when the process starts."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults of one leaf; settable while it runs."""

    straggle_factor: float = 1.0
    """Multiplies the service time."""

    extra_ms: float = 0.0
    """Added to the service time."""

    shed_percent: float = 0.0
    """Calls that are shed although a slot is free."""

    fail_percent: float = 0.0
    """Calls that run and then fail with status 500."""

    lost_percent: float = 0.0
    """Calls that run and whose connection is then closed unanswered."""

    draining: bool = False
    """Whether new calls are refused with DRAINING."""

    hang: bool = False
    """Whether calls get no answer until their deadline."""

    unreachable: bool = False
    """Whether new connections are closed at once."""

    answered_version: str | None = None
    """Index version that answers claim, whatever was asked."""

    health_state: str | None = None
    """State that the health report claims."""

    health_load: float | None = None
    """Load that the health report claims."""

    clock_offset_ms: float = 0.0
    """Added to the leaf's wall clock when it judges deadlines."""

    def with_changes(self, changes: dict[str, Any]) -> "Faults":
        """Returns the faults with some fields replaced.

        Raises:
            ValueError: A field is unknown or has a value of another type.
        """
        known = {field.name: field for field in dataclasses.fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"{name}: unknown; known: {sorted(known)}")
            default = known[name].default
            number = isinstance(value, int | float)
            if isinstance(default, bool):
                valid = isinstance(value, bool)
            elif isinstance(default, float):
                valid = number and not isinstance(value, bool)
            else:
                valid = value is None or isinstance(value, str) or number
            if not valid:
                raise ValueError(f"{name}: value {value!r} is of a wrong type")
        return dataclasses.replace(self, **changes)
