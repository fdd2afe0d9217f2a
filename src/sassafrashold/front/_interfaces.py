"""What the daemon needs of the platform it runs on."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import typing
from typing import Generic
from typing import TypeVar

from sassafrashold import calls
from sassafrashold import directory

_ItemT_co = TypeVar("_ItemT_co", covariant=True)


@dataclasses.dataclass(frozen=True)
class Snapshot(Generic[_ItemT_co]):
    """Items read from the store and the revision they are complete up to."""

    items: tuple[_ItemT_co, ...]
    """All items of a kind, or the changes to them in order."""

    revision: int
    """Where to continue."""


@dataclasses.dataclass(frozen=True)
class ZoneChange:
    """Operators have taken a zone out of service or brought it back."""

    zone: str
    """The availability zone."""

    out: bool
    """Whether it is out now."""


class Topic(typing.Protocol[_ItemT_co]):
    """One kind of objects that can be read and followed."""

    name: str

    async def snapshot(self) -> Snapshot[_ItemT_co]:
        """Returns all items.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...

    async def changes(
        self, revision: int, wait: datetime.timedelta
    ) -> Snapshot[_ItemT_co]:
        """Waits for changes.

        Raises:
            HistoryGoneError: Changes since then are no longer kept.
            StoreError: The store refused or did not answer.
        """
        ...


class PeekableTopic(Topic[_ItemT_co], typing.Protocol[_ItemT_co]):
    """A topic whose changes can also be asked for at a low price."""

    async def peek(self, revision: int) -> Snapshot[_ItemT_co]:
        """Returns changes since a revision at once; may be seconds old.

        Raises:
            HistoryGoneError: Changes since then are no longer kept.
            StoreError: The store refused or did not answer.
        """
        ...


class HostRegistry(typing.Protocol):
    """The hosts of the system, as they have written themselves down."""

    async def register(self, host: str, zone: str, beat: int) -> None:
        """Writes the entry of a host."""
        ...

    async def remove(self, host: str) -> None:
        """Removes the entry of a host."""
        ...

    async def beats(self) -> dict[str, int]:
        """Returns a number by host that changes while the host is alive."""
        ...


RawHeaders = Sequence[tuple[bytes, bytes]]


class Protocol(typing.Protocol):
    """How callers and leafs spell requests and answers."""

    def client_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> calls.ClientRequest:
        """Decodes a request of a caller."""
        ...

    def leaf_request(
        self,
        request: calls.ClientRequest,
        leaf: directory.LeafEntry,
        time_left: datetime.timedelta,
    ) -> bytes:
        """Encodes a request for a leaf."""
        ...

    def answer_belongs(
        self, headers: RawHeaders, request_id: str | None
    ) -> bool:
        """Returns whether a leaf's answer is one to the request."""
        ...

    def leaf_answer(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> calls.CallResult:
        """Decodes a complete answer of a leaf."""
        ...

    def keep_open(self, headers: RawHeaders) -> datetime.timedelta | None:
        """Returns how long a leaf keeps an idle connection."""
        ...

    def gather_headers(
        self, signatures: Sequence[str], missing: int
    ) -> Mapping[str, str]:
        """Returns the headers of a merged answer."""
        ...

    def retry_after(self, delay: datetime.timedelta) -> Mapping[str, str]:
        """Returns the header that tells a caller when to come back."""
        ...
