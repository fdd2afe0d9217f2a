"""Interfaces that the platform implements for the daemon."""

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
    """An operator took a zone out of service or put it back in service."""

    zone: str
    """The availability zone."""

    out_of_service: bool
    """Whether the zone is out of service after this change."""


class Topic(typing.Protocol[_ItemT_co]):
    """One kind of object in the store, which can be read and watched."""

    name: str

    async def snapshot(self) -> relay.Batch:
        """Reads all documents of this kind.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...

    async def changes(
        self, position: relay.Position, wait: datetime.timedelta
    ) -> relay.Batch:
        """Waits until documents change after a position.

        Args:
            position: Place up to which the documents are known.
            wait: How long to wait; the batch is empty if nothing changed.

        Raises:
            HistoryGoneError: The store does not have the changes since the
                position.
            StoreError: The store refused or did not answer.
        """
        ...

    async def stale_changes(self, position: relay.Position) -> relay.Batch:
        """Returns the changes since a position without waiting.

        Uses a cheap stale read: the result may lag by seconds.

        Raises:
            HistoryGoneError: The store does not have the changes since the
                position.
            StoreError: The store refused or did not answer.
        """
        ...

    def decode(
        self, documents: Iterable[relay.Document]
    ) -> tuple[_ItemT_co, ...]:
        """Decodes documents; logs and skips those that are invalid."""
        ...


@dataclasses.dataclass(frozen=True)
class RegisteredHost:
    """Registry entry that a host writes about itself."""

    peer: relay.Peer
    """Name, zone and address of the host."""

    heartbeat: int
    """Heartbeat: a number that changes with each write of a live host."""


class HostRegistry(typing.Protocol):
    """The entries of all hosts of the system, each written by its host."""

    async def register(self, host: RegisteredHost) -> None:
        """Writes the entry of a host.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...

    async def remove(self, host: str) -> None:
        """Removes the entry of a host.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...

    async def hosts(self) -> tuple[RegisteredHost, ...]:
        """Returns all entries, from a read that may lag by seconds.

        Raises:
            StoreError: The store refused or did not answer.
        """
        ...


RawHeaders = Sequence[tuple[bytes, bytes]]


class WireProtocol(typing.Protocol):
    """Wire format of the requests and answers of callers and leafs."""

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

    def carries_request_id(
        self, headers: RawHeaders, request_id: str | None
    ) -> bool:
        """Returns whether a leaf's answer carries the id of the request.

        True for any answer if the request has no id.
        """
        ...

    def leaf_answer(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> calls.CallResult:
        """Decodes a complete answer of a leaf."""
        ...

    def keep_alive_timeout(
        self, headers: RawHeaders
    ) -> datetime.timedelta | None:
        """Returns the keep-alive timeout of a leaf; None if it sends none."""
        ...

    def gather_headers(
        self, signatures: Sequence[str], missing: int
    ) -> Mapping[str, str]:
        """Returns the headers of an answer merged from several shards.

        Args:
            signatures: Signatures of the merged leaf answers.
            missing: Number of shards that the answer lacks.
        """
        ...

    def retry_after(self, delay: datetime.timedelta) -> Mapping[str, str]:
        """Returns the header that tells a caller when to retry."""
        ...
