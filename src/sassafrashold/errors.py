"""All exceptions of the package and the codes that callers see."""

import dataclasses
import datetime
import enum


class ErrorCode(enum.Enum):
    """Codes of refusals and failures; documented in docs/OPERATIONS.md."""

    BAD_REQUEST = "BAD_REQUEST"
    UNKNOWN_FIELD = "UNKNOWN_FIELD"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    UNKNOWN_SERVICE = "UNKNOWN_SERVICE"
    UNKNOWN_METHOD = "UNKNOWN_METHOD"
    UNKNOWN_REQUEST = "UNKNOWN_REQUEST"
    DEADLINE_EXCEEDED = "DEADLINE_EXCEEDED"
    DEADLINE_TOO_SHORT = "DEADLINE_TOO_SHORT"
    OVERLOADED = "OVERLOADED"
    NOT_READY = "NOT_READY"
    DRAINING = "DRAINING"
    CANCELLED = "CANCELLED"
    UNAVAILABLE = "UNAVAILABLE"
    CONNECTION_LOST = "CONNECTION_LOST"
    BAD_FRAME = "BAD_FRAME"
    FRAME_TOO_LARGE = "FRAME_TOO_LARGE"
    INTERNAL = "INTERNAL"
    NOT_OWNER = "NOT_OWNER"
    NO_ENTITLEMENT = "NO_ENTITLEMENT"
    ZONE_OUT = "ZONE_OUT"
    HOST_OUT = "HOST_OUT"
    LEAVING = "LEAVING"
    LEAF_SHED = "LEAF_SHED"
    LEAF_FAILED = "LEAF_FAILED"
    LEAF_UNREACHABLE = "LEAF_UNREACHABLE"
    LEAF_BUSY = "LEAF_BUSY"
    LEAF_RESTARTED = "LEAF_RESTARTED"
    VERSION_GONE = "VERSION_GONE"
    VERSION_MISMATCH = "VERSION_MISMATCH"
    NO_FULL_VERSION = "NO_FULL_VERSION"
    PARTIAL_NOT_ALLOWED = "PARTIAL_NOT_ALLOWED"
    KEY_MISSING = "KEY_MISSING"
    KEY_REUSED = "KEY_REUSED"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"
    STORE_UNAVAILABLE = "STORE_UNAVAILABLE"
    STORE_AMBIGUOUS = "STORE_AMBIGUOUS"
    STORE_CONFLICT = "STORE_CONFLICT"
    HISTORY_GONE = "HISTORY_GONE"
    BAD_SETTINGS = "BAD_SETTINGS"
    BAD_TABLE = "BAD_TABLE"
    BAD_DOCUMENT = "BAD_DOCUMENT"


class Ran(enum.Enum):
    """Whether a refused or failed request may have run."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class SassafrasError(Exception):
    """Base of all errors, with the details that a caller receives."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        field: str | None = None,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Initializes the error.

        Args:
            code: The documented code.
            message: Human-readable description.
            ran: NOT_RUN only when it is certain that the request did not run.
            field: Name of the invalid input field; None if there is none.
            retry_after: Delay after which a retry can succeed; None if unknown.
        """
        super().__init__(f"{code.value}: {message}")
        self.code = code
        self.message = message
        self.ran = ran
        self.field = field
        self.retry_after = retry_after


class SettingsError(SassafrasError):
    """A settings file cannot be read or has an invalid value."""


class RpcError(SassafrasError):
    """A call between two processes of the system failed."""


class StoreError(SassafrasError):
    """The platform's object store or host list failed."""


class StoreConflictError(StoreError):
    """A conditional update failed: the object has another version."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        """Initializes the error with the two versions of the object."""
        super().__init__(
            ErrorCode.STORE_CONFLICT,
            f"object {key!r} is at version {found}, not at {expected}",
        )
        self.key = key
        self.expected = expected
        self.found = found


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a revision."""

    def __init__(self, key: str) -> None:
        """Initializes the error with the watched key or prefix."""
        super().__init__(
            ErrorCode.HISTORY_GONE, f"history of {key!r} is no longer kept"
        )


class EarlierEraError(StoreError):
    """An answer is from before the store came back from an older copy."""

    def __init__(self, call: str, era: int, latest_era: int) -> None:
        """Initializes the error with the era of the answer and the latest."""
        super().__init__(
            ErrorCode.STORE_UNAVAILABLE,
            f"{call}: answer of era {era}, but era {latest_era} has begun",
            ran=Ran.OUTCOME_UNKNOWN,
        )


class SourceWithoutStoreError(StoreError):
    """A host to follow is alive but does not know the store's state."""


class TableError(SassafrasError):
    """A table, a cell or an edit is invalid."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CellConflict:
    """One cell that two operators changed at the same time."""

    service: str
    """Row of the cell."""

    column: str
    """Column of the cell."""

    base: str | None
    """Value that the rejected edit was based on; None if there was no row."""

    theirs: str | None
    """Value that is in force now; None if the row was removed."""

    ours: str | None
    """Value that the rejected edit sets; None if it removes the row."""


class EditConflictError(TableError):
    """An edit conflicts with a concurrent edit of the same cells."""

    def __init__(self, conflicts: tuple[CellConflict, ...]) -> None:
        """Initializes the error with the conflicting cells."""
        cells = "; ".join(
            f"{cell.service}.{cell.column}: now {cell.theirs!r}, "
            f"yours {cell.ours!r}, based on {cell.base!r}"
            for cell in conflicts
        )
        super().__init__(ErrorCode.STORE_CONFLICT, f"edit conflicts: {cells}")
        self.conflicts = conflicts


class DocumentError(SassafrasError):
    """A stored document cannot be read."""


class LeaseError(SassafrasError):
    """A rule of the zone lease was violated."""


class LeafError(SassafrasError):
    """A leaf refused or failed a call."""


class SearchError(SassafrasError):
    """A search request cannot be answered."""


class AdmissionError(SassafrasError):
    """A request was refused before any work was done for it."""


class DispatchError(SassafrasError):
    """A dispatch was refused or its outcome is unknown."""
