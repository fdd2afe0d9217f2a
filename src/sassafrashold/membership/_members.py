"""The hosts of a zone as one control process knows them."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime

from sassafrashold.membership import _entries

# A host without a sign of life for longer than this is suspect.
SUSPECT_AFTER = datetime.timedelta(seconds=3)
# Silence after which a host is removed from the lease.
REMOVE_AFTER = datetime.timedelta(seconds=5)
# Silence after which the entry of a host is dropped.
FORGET_AFTER = datetime.timedelta(seconds=60)


class Members:
    """The entries of the hosts of a zone, merged from gossip.

    The entry of this host is only ever set by `put_own`, never by gossip.
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self._entry_by_host: dict[str, _entries.Entry] = {}
        self._description_by_digest: dict[int, _entries.Description] = {}

    @property
    def host(self) -> str:
        """Id of this host."""
        return self._host

    @property
    def zone(self) -> str:
        """The zone whose hosts are tracked."""
        return self._zone

    @property
    def own(self) -> _entries.Entry | None:
        """The entry of this host; None before `put_own`."""
        return self._entry_by_host.get(self._host)

    def get(self, host: str) -> _entries.Entry | None:
        """Returns the entry of a host; None if the host is unknown."""
        return self._entry_by_host.get(host)

    def entries(self) -> list[_entries.Entry]:
        """Returns all entries, ordered by host."""
        return [self._entry_by_host[h] for h in sorted(self._entry_by_host)]

    def description(self, digest: int) -> _entries.Description | None:
        """Returns the current description with a digest; None if unknown."""
        return self._description_by_digest.get(digest)

    def digests(self) -> list[int]:
        """Returns the digests of all current descriptions."""
        return list(self._description_by_digest)

    def put_own(self, entry: _entries.Entry) -> None:
        """Replaces the entry of this host.

        Keeps `first_seen` while the description is unchanged.
        """
        known = self.own
        if known is not None and known.description == entry.description:
            entry = dataclasses.replace(entry, first_seen=known.first_seen)
        self._store(entry)

    def merge(self, entries: Iterable[_entries.Entry]) -> None:
        """Merges entries received by gossip.

        Entries of this host and of other zones are ignored.
        """
        for entry in entries:
            host = entry.description.host
            if host == self._host or entry.description.zone != self._zone:
                continue
            known = self._entry_by_host.get(host)
            if known is not None:
                if not _entries.is_merge_noop(known, entry):
                    self._store(_entries.merge(known, entry))
            elif entry.first_seen - entry.last_heard <= FORGET_AFTER:
                # Peers drop entries at different times; an expired entry must
                # not be restored by a peer that still has it.
                self._store(entry)

    def age(self, host: str, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since the last sign of life of a host.

        Zero for this host; `timedelta.max` for an unknown host.
        """
        entry = self._entry_by_host.get(host)
        if host == self._host:
            return datetime.timedelta()
        return (
            datetime.timedelta.max if entry is None else now - entry.last_heard
        )

    def is_fresh(self, host: str, now: datetime.timedelta) -> bool:
        """Returns whether a host is known and not suspect."""
        return self.age(host, now) <= SUSPECT_AFTER

    def fresh_hosts(self, now: datetime.timedelta) -> list[str]:
        """Returns the ids of all fresh hosts, including this one, in order."""
        return [h for h in sorted(self._entry_by_host) if self.is_fresh(h, now)]

    def forget(self, now: datetime.timedelta, needed: Collection[str]) -> None:
        """Drops the entries of long-silent hosts that no epoch names.

        Args:
            now: Local monotonic time.
            needed: Hosts to keep: those in the lease or its earlier epochs.
        """
        for host in list(self._entry_by_host):
            if host not in needed and self.age(host, now) > FORGET_AFTER:
                self._drop(host)

    def _store(self, entry: _entries.Entry) -> None:
        description = entry.description
        known = self._entry_by_host.get(description.host)
        if known is not None and known.description != description:
            self._description_by_digest.pop(known.description.digest, None)
        self._entry_by_host[description.host] = entry
        self._description_by_digest[description.digest] = description

    def _drop(self, host: str) -> None:
        entry = self._entry_by_host.pop(host)
        self._description_by_digest.pop(entry.description.digest, None)
