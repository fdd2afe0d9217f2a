"""Updates of the lease object and their outcomes."""

import dataclasses
import enum

from sassafrashold.lease import _document


class WriteKind(enum.Enum):
    """Why the lease object is written."""

    CREATE = "create"
    RENEW = "renew"
    PROPOSE = "propose"


@dataclasses.dataclass(frozen=True)
class Write:
    """One conditional update of the lease object."""

    kind: WriteKind
    """Why it is written."""

    expected_version: int
    """Version that it replaces; 0 creates the object."""

    lease: _document.ZoneLease
    """The new lease."""


class Outcome(enum.Enum):
    """The outcome of a write, as far as the caller knows it."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
