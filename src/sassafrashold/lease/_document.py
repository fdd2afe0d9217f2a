"""The lease object of a zone, as stored at `leases/{zone}`."""

import dataclasses
import functools
from typing import Any

from sassafrashold import documents
from sassafrashold import membership
from sassafrashold import settings

KEY_PREFIX = "leases/"


def lease_key(zone: str) -> str:
    """Returns the key of a zone's lease in the store."""
    return KEY_PREFIX + zone


@dataclasses.dataclass(frozen=True)
class Member:
    """A host of the zone that owns leafs."""

    host: str
    """Host id."""

    incarnation: str
    """Drawn by the owner process at start."""

    owner: settings.Address
    """Thrift address of its owner process."""

    control: settings.Address
    """Thrift address of its control process."""

    entry: settings.Address
    """Thrift address of its entry process."""


@dataclasses.dataclass(frozen=True)
class EarlierEpoch:
    """An earlier epoch with owners that are not yet known to have stopped."""

    epoch: int
    """Its number."""

    members: tuple[Member, ...]
    """Its members."""

    def owner_of(self, leaf_id: str) -> Member | None:
        """Returns the member that owned a leaf in this epoch."""
        return _owner(leaf_id, self.members)


@dataclasses.dataclass(frozen=True)
class ZoneLease:
    """The committed ownership of all leafs of a zone."""

    zone: str
    """Availability zone."""

    epoch: int
    """Grows by one with each change of the members."""

    members: tuple[Member, ...]
    """Hosts that own leafs, ordered by host id."""

    earlier: tuple[EarlierEpoch, ...]
    """Epochs whose owners are not all released, newest first."""

    renewal: int
    """Grows with each renewal; has no other meaning."""

    write_id: str
    """Unique id of the last update; resolves a write whose answer was lost."""

    @functools.cached_property
    def member_by_host(self) -> dict[str, Member]:
        """Members by host id."""
        return {member.host: member for member in self.members}

    def owner_of(self, leaf_id: str) -> Member | None:
        """Returns the member that owns a leaf; None without members."""
        return _owner(leaf_id, self.members)

    def with_renewal(self, write_id: str) -> "ZoneLease":
        """Returns the lease with one more renewal."""
        return dataclasses.replace(
            self, renewal=self.renewal + 1, write_id=write_id
        )

    @classmethod
    def decode(cls, data: bytes) -> "ZoneLease":
        """Parses the stored document.

        Raises:
            DocumentError: It is malformed.
        """
        document = documents.parse(KEY_PREFIX, data)
        zone = documents.get(KEY_PREFIX, document, "zone", str)
        key = lease_key(zone)
        earlier = documents.get(key, document, "earlier", list)
        return cls(
            zone,
            documents.get(key, document, "epoch", int),
            _decode_members(key, document),
            tuple(
                EarlierEpoch(
                    documents.get(key, value, "epoch", int),
                    _decode_members(key, value),
                )
                for value in earlier
            ),
            documents.get(key, document, "renewal", int),
            documents.get(key, document, "write_id", str),
        )

    def encode(self) -> bytes:
        """Returns the stored form."""
        return documents.dump(
            {
                "zone": self.zone,
                "epoch": self.epoch,
                "members": _encode_members(self.members),
                "earlier": [
                    {
                        "epoch": earlier.epoch,
                        "members": _encode_members(earlier.members),
                    }
                    for earlier in self.earlier
                ],
                "renewal": self.renewal,
                "write_id": self.write_id,
            }
        )


def _owner(leaf_id: str, members: tuple[Member, ...]) -> Member | None:
    host = membership.choose(leaf_id, [member.host for member in members])
    return next((member for member in members if member.host == host), None)


def _encode_members(members: tuple[Member, ...]) -> list[dict[str, str]]:
    return [
        {
            "host": member.host,
            "incarnation": member.incarnation,
            "owner": str(member.owner),
            "control": str(member.control),
            "entry": str(member.entry),
        }
        for member in members
    ]


def _decode_members(key: str, document: Any) -> tuple[Member, ...]:
    if not isinstance(document, dict):
        raise documents.invalid(key, "expected objects")
    members = []
    for value in documents.get(key, document, "members", list):
        if not isinstance(value, dict):
            raise documents.invalid(key, "members: expected objects")
        host = documents.get(key, value, "host", str)
        try:
            addresses = [
                settings.Address.parse(documents.get(key, value, name, str))
                for name in ("owner", "control", "entry")
            ]
        except ValueError as error:
            raise documents.invalid(key, f"members.{host}: {error}") from error
        incarnation = documents.get(key, value, "incarnation", str)
        members.append(Member(host, incarnation, *addresses))
    return tuple(members)
