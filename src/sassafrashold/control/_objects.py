"""The newest known version of each distributed object."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import datetime

import reactivex
from reactivex import subject
import xxhash

from sassafrashold import errors
from sassafrashold import lease
from sassafrashold import views

_HOSTS_REFRESH_MS = 60_000


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One version of an object."""

    key: str
    """Key in the store, or `platform/hosts`."""

    version: int
    """Version in the store; for the host list its time in Unix ms."""

    value: bytes
    """The document."""

    received: datetime.timedelta
    """Local monotonic time of receipt."""

    source: str
    """`store` or the host id of the peer it came from."""


class ObjectCache:
    """Objects by key; a lower version never replaces a higher one.

    A lease that differs only by its renewal, and a host list that differs only
    by its time, are not distributed again: renewals alone would otherwise send
    every lease to every host each second.
    """

    def __init__(self) -> None:
        self._object_by_key: dict[str, StoredObject] = {}
        self._subject: subject.Subject[StoredObject] = subject.Subject()
        self._digest: int | None = None

    @property
    def changes(self) -> reactivex.Observable[StoredObject]:
        """Emits each object that replaces an older version."""
        return self._subject

    def get(self, key: str) -> StoredObject | None:
        """Returns the known version of an object."""
        return self._object_by_key.get(key)

    def version(self, key: str) -> int:
        """Returns the known version; 0 when the object is not known."""
        known = self._object_by_key.get(key)
        return 0 if known is None else known.version

    def __iter__(self) -> Iterator[StoredObject]:
        return iter(list(self._object_by_key.values()))

    def versions(self) -> Mapping[str, int]:
        """Returns the versions by key."""
        return {o.key: o.version for o in self._object_by_key.values()}

    def digest(self) -> int:
        """Returns a signed 64-bit hash of all keys and versions."""
        if self._digest is None:
            versions = sorted(self.versions().items())
            unsigned = xxhash.xxh3_64_intdigest(repr(versions).encode())
            self._digest = unsigned - 2 * (unsigned & (1 << 63))
        return self._digest

    def put(self, candidate: StoredObject) -> bool:
        """Takes over an object if it is newer.

        Returns:
            Whether it was distributed further.
        """
        known = self._object_by_key.get(candidate.key)
        if known is not None:
            if candidate.version <= known.version:
                return False
            if _is_same(known, candidate):
                return False
        self._replace(candidate)
        self._subject.on_next(candidate)
        return True

    def put_from_peer(self, candidate: StoredObject) -> bool:
        """Takes over an object from a peer if it is newer.

        Unlike `put` it also raises the version of an equal object, so that
        two peers do not offer each other the same object for ever.
        """
        known = self._object_by_key.get(candidate.key)
        if known is None or candidate.version <= known.version:
            return self.put(candidate)
        if not _is_same(known, candidate):
            return self.put(candidate)
        self._replace(dataclasses.replace(candidate, source=known.source))
        return False

    def emit(self, key: str) -> None:
        """Emits an object again, for readers that had to wait for it."""
        known = self._object_by_key.get(key)
        if known is not None:
            self._subject.on_next(known)

    def _replace(self, candidate: StoredObject) -> None:
        self._object_by_key[candidate.key] = candidate
        self._digest = None


def _is_same(known: StoredObject, candidate: StoredObject) -> bool:
    """Returns whether nobody needs the newer version."""
    if known.key.startswith(lease.KEY_PREFIX):
        return _lease_content(known) == _lease_content(candidate)
    if known.key == views.HOSTS_KEY:
        age_ms = candidate.version - known.version
        return age_ms < _HOSTS_REFRESH_MS and (
            _host_content(known) == _host_content(candidate)
        )
    return False


def _lease_content(stored: StoredObject) -> object:
    try:
        document = lease.ZoneLease.decode(stored.value)
    except errors.DocumentError:
        return stored.value
    return document.zone, document.epoch, document.members, document.earlier


def _host_content(stored: StoredObject) -> object:
    try:
        return views.HostList.decode(stored.value).entry_by_host
    except errors.DocumentError:
        return stored.value
