"""The kinds of objects that a host follows in the platform's store."""

import datetime
import logging
from typing import Any

from sassafrashold import directory
from sassafrashold import errors
from sassafrashold import front
from sassafrashold import routing
from sassafrashold.platform import documents
from sassafrashold.platform import store_client

_LOGGER = logging.getLogger(__name__)
_CONFIGURATION = "config"
_CONFIGURATION_NAME = "main"
_LEAFS = "servers"
_ZONES_OUT = "evacuations"
_HOSTS = "sassafras-hosts"
_AT_ONCE = datetime.timedelta()


class ConfigurationTopic:
    """Versions of the configuration, as operators write them."""

    name = "configuration"

    def __init__(self, client: store_client.StoreClient) -> None:
        self._client = client

    async def snapshot(self) -> front.Snapshot[routing.Configuration]:
        """Returns the newest version, if there is one."""
        return self._decode(await self._client.list(_CONFIGURATION))

    async def changes(
        self, revision: int, wait: datetime.timedelta
    ) -> front.Snapshot[routing.Configuration]:
        """Returns versions written since a revision."""
        return self._decode(
            await self._client.watch(_CONFIGURATION, revision, wait)
        )

    async def peek(
        self, revision: int
    ) -> front.Snapshot[routing.Configuration]:
        """Returns versions written since a revision; may be seconds old."""
        return self._decode(
            await self._client.watch(
                _CONFIGURATION, revision, _AT_ONCE, stale=True
            )
        )

    def _decode(
        self, found: store_client.ObjectList
    ) -> front.Snapshot[routing.Configuration]:
        values = []
        for item in found.objects:
            if item.deleted or item.name != _CONFIGURATION_NAME:
                continue
            try:
                values.append(
                    documents.configuration(
                        f"{_CONFIGURATION}/{item.name}", item.spec
                    )
                )
            except errors.DocumentError as error:
                _LOGGER.error(
                    "configuration can't be read and is not used",
                    extra={"revision": item.revision, "cause": error.message},
                )
        return front.Snapshot(tuple(values), found.revision)


class LeafTopic:
    """Entries of leafs."""

    name = "leafs"

    def __init__(self, client: store_client.StoreClient) -> None:
        self._client = client

    async def snapshot(self) -> front.Snapshot[directory.LeafChange]:
        """Returns all entries."""
        return self._decode(await self._client.list(_LEAFS))

    async def changes(
        self, revision: int, wait: datetime.timedelta
    ) -> front.Snapshot[directory.LeafChange]:
        """Returns changes since a revision."""
        return self._decode(await self._client.watch(_LEAFS, revision, wait))

    def _decode(
        self, found: store_client.ObjectList
    ) -> front.Snapshot[directory.LeafChange]:
        return front.Snapshot(
            tuple(_leaf_change(item) for item in found.objects),
            found.revision,
        )


class ZonesOutTopic:
    """Zones that operators have taken out of service."""

    name = "zones out of service"

    def __init__(self, client: store_client.StoreClient) -> None:
        self._client = client

    async def snapshot(self) -> front.Snapshot[front.ZoneChange]:
        """Returns all zones that are out."""
        return self._decode(await self._client.list(_ZONES_OUT))

    async def changes(
        self, revision: int, wait: datetime.timedelta
    ) -> front.Snapshot[front.ZoneChange]:
        """Returns changes since a revision."""
        return self._decode(
            await self._client.watch(_ZONES_OUT, revision, wait)
        )

    def _decode(
        self, found: store_client.ObjectList
    ) -> front.Snapshot[front.ZoneChange]:
        return front.Snapshot(
            tuple(
                front.ZoneChange(item.name, not item.deleted)
                for item in found.objects
            ),
            found.revision,
        )


class HostRegistry:
    """Names of the system's own hosts."""

    def __init__(self, client: store_client.StoreClient) -> None:
        self._client = client

    async def register(self, host: str, zone: str, beat: int) -> None:
        """Writes the entry of this host.

        Args:
            host: Name of the host.
            zone: Its availability zone.
            beat: A number that changes with each call.
        """
        await self._client.put(_HOSTS, host, {"zone": zone, "beat": beat})

    async def remove(self, host: str) -> None:
        """Removes the entry of a host."""
        await self._client.delete(_HOSTS, host)

    async def beats(self) -> dict[str, int]:
        """Returns the last number of each host; may be seconds old."""
        found = await self._client.list(_HOSTS, stale=True)
        beat_by_host = {}
        for item in found.objects:
            beat = _beat(item.spec)
            if beat is None:
                _LOGGER.warning(
                    "host entry can't be read", extra={"entry": item.name}
                )
                continue
            beat_by_host[item.name] = beat
        return beat_by_host


def _beat(spec: Any) -> int | None:
    beat = spec.get("beat") if isinstance(spec, dict) else None
    return beat if isinstance(beat, int) else None


def _leaf_change(item: store_client.StoredObject) -> directory.LeafChange:
    if item.deleted:
        return directory.LeafRemoved(item.name)
    spec = item.spec
    if isinstance(spec, dict) and item.born_unix_ms is not None:
        spec = {"born": item.born_unix_ms, **spec}
    try:
        return directory.LeafSeen(
            documents.leaf_entry(f"{_LEAFS}/{item.name}", item.name, spec)
        )
    except errors.DocumentError as error:
        _LOGGER.warning(
            "leaf entry can't be read; the leaf is not used",
            extra={
                "leaf": item.name,
                "revision": item.revision,
                "cause": error.message,
            },
        )
        return directory.LeafRemoved(item.name)
