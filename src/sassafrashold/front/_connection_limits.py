"""Limits on what the clients of one port make this process hold."""

from collections.abc import Callable
import dataclasses
import enum

from sassafrashold.front import _client_memory


class Refusal(enum.Enum):
    """Why a client was refused or cut off, as metrics show it."""

    HEAD_TOO_LARGE = "head_too_large"
    UNREADABLE = "unreadable"
    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limits on what the clients of one port make this process hold."""

    memory: _client_memory.ClientMemory
    """Bounds all connections of the process together."""

    max_header_bytes: Callable[[], int]
    """Returns the maximum size of the headers of a request."""

    max_connections: int
    """Maximum number of open connections of this port."""

    on_refusal: Callable[[Refusal], None] = lambda _: None
    """Called for each refusal."""
