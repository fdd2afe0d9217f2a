"""Requests of callers and results of leaf calls, independent of the wire."""

from collections.abc import Callable
import dataclasses
import datetime
import enum
import re

# Signatures are passed on in a header, and in a list separated by commas.
_SIGNATURE = re.compile(r"[!-+\--~]+")


def is_signature(text: str) -> bool:
    """Returns whether a text can be passed on as the signature of an answer.

    Args:
        text: Value of the header, as a leaf sent it.
    """
    return _SIGNATURE.fullmatch(text) is not None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientRequest:
    """A request of a caller; a retry by the caller is another one."""

    request_id: str | None
    """Id that the caller gave; a retry has a new one. None if absent."""

    method: str
    """HTTP method."""

    target: str
    """Request target as sent, with query."""

    path: str
    """The target without query."""

    host: str
    """Value of the Host header."""

    time_left: datetime.timedelta | None
    """Time that the caller keeps waiting; None if it sets no deadline."""

    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, in order."""

    body: bytes
    """The complete body."""

    @property
    def header_bytes(self) -> int:
        """Size of the names and values of the end-to-end headers."""
        return sum(
            len(name) + len(value) for name, value in self.forwarded_headers
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeafAnswer:
    """A complete answer of a leaf."""

    status: int
    """HTTP status."""

    headers: Callable[[], tuple[tuple[str, str], ...]]
    """Decodes the end-to-end headers; called only if they are passed on."""

    body: bytes
    """The complete body."""

    signature: str | None
    """Proof that a leaf made this answer for this request; None if absent."""

    not_run: bool
    """Whether the leaf states that it did not run the request."""

    encoded: bool
    """Whether the body has a content encoding, so isn't the leaf's own."""

    @property
    def succeeded(self) -> bool:
        """Whether this is a signed 2xx answer without a content encoding."""
        return (
            200 <= self.status < 300
            and self.signature is not None
            and not self.encoded
        )


class FailureKind(enum.Enum):
    """Why a call has no usable answer."""

    NOT_SENT = "not_sent"
    """No byte of the request reached the leaf's host."""

    REJECTED = "rejected"
    """The leaf states that it did not run the request."""

    WRONG_LEAF = "wrong_leaf"
    """Another leaf uses the address; the request did not run."""

    LOST = "lost"
    """The connection closed or the answer is invalid; it may have run."""

    ERROR = "error"
    """The leaf ran the request and failed."""


@dataclasses.dataclass(frozen=True)
class Answered:
    """Result of a call with a successful answer."""

    answer: LeafAnswer
    """The answer."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """Result of a call without a successful answer."""

    kind: FailureKind
    """Why the call failed."""

    answer: LeafAnswer | None = None
    """The error answer of the leaf; None if it sent none."""

    detail: str = ""
    """Cause for logs; may be empty."""

    @property
    def may_have_run(self) -> bool:
        """Whether the leaf may have worked on the request."""
        return self.kind in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset({FailureKind.LOST, FailureKind.ERROR})

CallResult = Answered | Failed
