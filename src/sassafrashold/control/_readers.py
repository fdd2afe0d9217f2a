"""Reads the store and the host list for the zone."""

import datetime

from sassafrashold import errors
from sassafrashold import lease
from sassafrashold import store as store_lib
from sassafrashold import table
from sassafrashold import views
from sassafrashold.control import _node
from sassafrashold.control import _objects
from sassafrashold.control import _store

_SHARDMAPS = "shardmaps/"
_WATCH = datetime.timedelta(seconds=20)


class Readers:
    """Brings objects from the store into the cache.

    Each method does one round of reading, if it is this host's turn.
    """

    def __init__(self, node: _node.Node, store: _store.Store) -> None:
        self._node = node
        self._store = store

    async def load_all(self) -> None:
        """Reads everything that a starting host needs.

        Raises:
            StoreError: The host is not up to date.
        """
        await self._confirm_table()
        await self._read_newer(_SHARDMAPS, skip=())
        await self._read_newer(lease.KEY_PREFIX, skip=())
        self._node.set_up_to_date("store")

    async def watch_table(self) -> bool:
        """Waits for a newer table; returns False if it is not this host's turn.

        Raises:
            StoreError: The store does not answer.
        """
        # A read by a host that has just started may be older than what this
        # host had in force before, so the table is confirmed first.
        if self._node.up_to_date_source is None or not self._node.is_reader():
            return False
        key = table.TABLE_KEY
        found = await self._store.watch(
            key, self._node.objects.version(key), _WATCH
        )
        self._reached()
        if found is not None:
            self._put(found)
        return True

    async def read_shardmaps(self) -> None:
        """Reads changed shard maps.

        Raises:
            StoreError: The store does not answer.
        """
        if self._node.is_reader():
            await self._read_newer(_SHARDMAPS, skip=())

    async def read_other_leases(self) -> None:
        """Reads the leases of the other zones.

        Raises:
            StoreError: The store does not answer.
        """
        if self._node.is_reader(1):
            await self._read_newer(
                lease.KEY_PREFIX, skip=(self._node.lease_key,)
            )

    async def read_hosts(self) -> None:
        """Reads the platform's host list.

        Raises:
            StoreError: The platform does not answer.
            DocumentError: The list is malformed.
        """
        if not self._node.is_reader():
            return
        read = self._node.now()
        version, value = await self._store.host_list()
        self._reached()
        self._node.record_hosts(value, read)
        self._put(store_lib.Stored(views.HOSTS_KEY, version, value))

    async def _read_newer(self, prefix: str, skip: tuple[str, ...]) -> None:
        versions = await self._store.list(prefix)
        self._reached()
        for key, version in versions.items():
            if key not in skip and version > self._node.objects.version(key):
                await self._read(key)

    async def _confirm_table(self) -> None:
        """Takes over the newest table, proven by a conditional update.

        A read can be stale. Writing the table back unchanged succeeds only if
        it was the newest one, and a conflict names the version that was.

        Raises:
            StoreError: It is not known which table is the newest.
        """
        key = table.TABLE_KEY
        stored = await self._newest_table()
        if stored is None:
            return
        try:
            version = await self._store.put(key, stored.value, stored.version)
        except errors.StoreConflictError as error:
            stored = await self._newest_table()
            if stored is None or stored.version < error.found:
                raise errors.StoreError(
                    errors.ErrorCode.STORE_UNAVAILABLE,
                    f"reads of {key!r} are older than version {error.found}",
                ) from error
            version = stored.version
        self._reached()
        self._put(store_lib.Stored(key, version, stored.value))

    async def _newest_table(self) -> store_lib.Stored | None:
        """Returns the newer one of what the store and the peers show."""
        key = table.TABLE_KEY
        found = await self._store.get(key)
        self._reached()
        known = self._node.objects.get(key)
        if known is None or (found and found.version >= known.version):
            return found
        return store_lib.Stored(key, known.version, known.value)

    async def _read(self, key: str) -> None:
        found = await self._store.get(key)
        self._reached()
        if found is not None:
            self._put(found)

    def _reached(self) -> None:
        self._node.lease.store_reached(self._node.now())

    def _put(self, found: store_lib.Stored) -> None:
        self._node.put(
            _objects.StoredObject(
                found.key,
                found.version,
                found.value,
                self._node.now(),
                "store",
            )
        )
