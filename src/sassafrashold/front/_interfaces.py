"""What the daemon needs of the platform it runs on."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import typing
from typing import TypeVar

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold import relay

_ItemT_co = TypeVar("_ItemT_co", covariant=True)


@dataclasses.dataclass(frozen=True)
class ZoneChange:
    """Operators have taken a zone out of service or brought it back."""

    zone: str
    """The availability zone."""

    out: bool
    """Whether it is out now."""


class Topic(typing.Protocol[_ItemT_co]):
    """One kind of objects in the store that can be read and followed."""

    name: str

    async def snapshot(self) -> relay.Batch:
        """Returns all documents.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...

    async def changes(
        self, revision: int, wait: datetime.timedelta
    ) -> relay.Batch:
        """Waits for changes.

        Raises:
            HistoryGoneError: Changes since then are no longer kept.
            StoreError: The store refused or did not answer.
        """
        ...

    async def peek(self, revision: int) -> relay.Batch:
        """Returns changes since a revision at once, at a low price.

        They may be seconds old.

        Raises:
            HistoryGoneError: Changes since then are no longer kept.
            StoreError: The store refused or did not answer.
        """
        ...

    def decode(
        self, documents: Iterable[relay.Document]
    ) -> tuple[_ItemT_co, ...]:
        """Decodes documents; leaves out, with a log line, what can't be."""
        ...


@dataclasses.dataclass(frozen=True)
class RegisteredHost:
    """What a host of the system has written of itself."""

    peer: relay.Peer
    """Its name, zone and address."""

    beat: int
    """A number that changes while the host is alive."""


class HostRegistry(typing.Protocol):
    """The hosts of the system, as they have written themselves down."""

    async def register(self, host: RegisteredHost) -> None:
        """Writes the entry of a host."""
        ...

    async def remove(self, host: str) -> None:
        """Removes the entry of a host."""
        ...

    async def hosts(self) -> tuple[RegisteredHost, ...]:
        """Returns all entries; may be seconds old."""
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
