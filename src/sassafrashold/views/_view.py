"""An immutable snapshot of table, shard maps, leases and hosts."""

from collections.abc import Mapping
import dataclasses
import datetime
from typing import Any

from sassafrashold import clock
from sassafrashold import documents
from sassafrashold import index
from sassafrashold import lease
from sassafrashold import table as table_lib

HOSTS_KEY = "platform/hosts"
_SHARDMAP_PREFIX = "shardmaps/"
_LEASE_PREFIX = "leases/"


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """One entry of the platform's host list."""

    host: str
    """Host id."""

    zone: str
    """Availability zone."""

    leaving: bool
    """Whether the platform is taking the host down."""


@dataclasses.dataclass(frozen=True)
class HostList:
    """The platform's list of live and leaving hosts; it may be stale."""

    as_of: datetime.datetime
    """When the platform made the list."""

    entry_by_host: Mapping[str, HostEntry]
    """Entries by host id."""

    @classmethod
    def decode(cls, data: bytes) -> "HostList":
        """Parses the platform's answer.

        Raises:
            DocumentError: It is malformed.
        """
        document = documents.parse(HOSTS_KEY, data)
        entries = {}
        for value in documents.get(HOSTS_KEY, document, "hosts", list):
            if not isinstance(value, dict):
                raise documents.invalid(HOSTS_KEY, "hosts: expected objects")
            entry = _decode_entry(value)
            entries[entry.host] = entry
        return cls(
            clock.from_unix_ms(
                documents.get(HOSTS_KEY, document, "as_of_unix_ms", int)
            ),
            entries,
        )


@dataclasses.dataclass(frozen=True)
class Source:
    """Version and time of receipt of an object in the view."""

    version: int
    """Version in the store."""

    received: datetime.timedelta
    """Monotonic time at which this process received it."""


@dataclasses.dataclass(frozen=True)
class View:
    """Distributed state that decisions use; replaced on each change."""

    table: table_lib.Table | None = None
    """The table; None until it is applied."""

    shardmap_by_service: Mapping[str, index.ShardMap] = dataclasses.field(
        default_factory=dict
    )
    """Shard maps by service."""

    lease_by_zone: Mapping[str, lease.ZoneLease] = dataclasses.field(
        default_factory=dict
    )
    """Zone leases by zone."""

    host_list: HostList | None = None
    """The platform's host list; None until it is applied."""

    source_by_key: Mapping[str, Source] = dataclasses.field(
        default_factory=dict
    )
    """Version and time of receipt of each object."""

    def with_object(
        self,
        key: str,
        version: int,
        value: bytes,
        received: datetime.timedelta,
    ) -> "View":
        """Returns a view with the object, or this view if it is not newer.

        Raises:
            DocumentError, TableError: The object cannot be read.
        """
        applied = self.source_by_key.get(key)
        if applied is not None and applied.version >= version:
            return self
        changes = self._decode_changes(key, value)
        if not changes:
            return self
        sources = {**self.source_by_key, key: Source(version, received)}
        return dataclasses.replace(self, source_by_key=sources, **changes)

    def _decode_changes(self, key: str, value: bytes) -> dict[str, Any]:
        if key == table_lib.TABLE_KEY:
            return {"table": table_lib.Table.decode(value)}
        if key == HOSTS_KEY:
            return {"host_list": HostList.decode(value)}
        if key.startswith(_SHARDMAP_PREFIX):
            shardmap = index.ShardMap.decode(value)
            return {
                "shardmap_by_service": {
                    **self.shardmap_by_service,
                    shardmap.service: shardmap,
                }
            }
        if key.startswith(_LEASE_PREFIX):
            zone_lease = lease.ZoneLease.decode(value)
            return {
                "lease_by_zone": {
                    **self.lease_by_zone,
                    zone_lease.zone: zone_lease,
                }
            }
        return {}

    def owner_of(self, leaf: index.Leaf) -> lease.Member | None:
        """Returns the lease member that owns a leaf, if applied."""
        zone_lease = self.lease_by_zone.get(leaf.zone)
        return None if zone_lease is None else zone_lease.owner_of(leaf.leaf_id)

    def is_out(self, leaf: index.Leaf) -> bool:
        """Returns whether a leaf must get no new work."""
        marks = self.table.marks if self.table else table_lib.Marks()
        return (
            leaf.zone in marks.zones
            or leaf.host in marks.hosts
            or self.is_leaving(leaf.host)
        )

    def is_leaving(self, host: str) -> bool:
        """Returns whether the platform's host list marks a host as leaving."""
        if self.host_list is None:
            return False
        entry = self.host_list.entry_by_host.get(host)
        return entry is not None and entry.leaving


def _decode_entry(value: dict[str, Any]) -> HostEntry:
    state = documents.get(HOSTS_KEY, value, "state", str)
    if state not in ("live", "leaving"):
        raise documents.invalid(HOSTS_KEY, "state: expected live or leaving")
    return HostEntry(
        documents.get(HOSTS_KEY, value, "host", str),
        documents.get(HOSTS_KEY, value, "zone", str),
        state == "leaving",
    )
