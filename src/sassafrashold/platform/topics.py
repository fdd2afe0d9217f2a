"""The kinds of objects that a host follows in the platform's store."""

from collections.abc import Iterable
import datetime
import logging

from sassafrashold import directory
from sassafrashold import errors
from sassafrashold import front
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold.platform import documents
from sassafrashold.platform import store_client

_LOGGER = logging.getLogger(__name__)
_CONFIGURATION_NAME = "main"
_HOSTS = "sassafras-hosts"
_NO_WAIT = datetime.timedelta()


class _StoreTopic:
    """Documents of one kind in the store."""

    def __init__(self, client: store_client.StoreClient, kind: str) -> None:
        self._client = client
        self._kind = kind

    async def snapshot(self) -> relay.Batch:
        """Returns all documents."""
        return _snapshot(await self._client.list(self._kind))

    async def changes(
        self, position: relay.Position, wait: datetime.timedelta
    ) -> relay.Batch:
        """Returns changes since a position."""
        found = await self._client.watch(self._kind, position.revision, wait)
        return _changes(found, position.revision)

    async def stale_changes(self, position: relay.Position) -> relay.Batch:
        """Returns changes since a position; may be seconds old."""
        found = await self._client.watch(
            self._kind, position.revision, _NO_WAIT, stale=True
        )
        return _changes(found, position.revision)


class ConfigurationTopic(_StoreTopic):
    """Versions of the configuration, as operators write them."""

    name = "configuration"

    def __init__(self, client: store_client.StoreClient) -> None:
        super().__init__(client, "config")

    def decode(
        self, found: Iterable[relay.Document]
    ) -> tuple[routing.Configuration, ...]:
        """Decodes versions."""
        values = []
        for document in found:
            if document.deleted or document.name != _CONFIGURATION_NAME:
                continue
            try:
                values.append(
                    documents.configuration(
                        f"{self._kind}/{document.name}",
                        document.content.get("spec"),
                    )
                )
            except errors.DocumentError as error:
                _LOGGER.error(
                    "configuration can't be read and is not used",
                    extra={"cause": error.message},
                )
        return tuple(values)


class LeafTopic(_StoreTopic):
    """Entries of leafs."""

    name = "leafs"

    def __init__(self, client: store_client.StoreClient) -> None:
        super().__init__(client, "servers")

    def decode(
        self, found: Iterable[relay.Document]
    ) -> tuple[directory.LeafChange, ...]:
        """Decodes entries; an unreadable one removes its leaf."""
        return tuple(self._change(document) for document in found)

    def _change(self, document: relay.Document) -> directory.LeafChange:
        if document.deleted:
            return directory.LeafRemoved(document.name)
        spec = document.content.get("spec")
        born = document.content.get("born")
        if isinstance(spec, dict) and born is not None:
            spec = {"born": born, **spec}
        try:
            return directory.LeafUpdated(
                documents.leaf_entry(
                    f"{self._kind}/{document.name}", document.name, spec
                )
            )
        except errors.DocumentError as error:
            _LOGGER.warning(
                "leaf entry can't be read; the leaf is not used",
                extra={"leaf": document.name, "cause": error.message},
            )
            return directory.LeafRemoved(document.name)


class ZonesOutTopic(_StoreTopic):
    """Zones that operators have taken out of service."""

    name = "zones_out"

    def __init__(self, client: store_client.StoreClient) -> None:
        super().__init__(client, "evacuations")

    def decode(
        self, found: Iterable[relay.Document]
    ) -> tuple[front.ZoneChange, ...]:
        """Decodes zones."""
        return tuple(
            front.ZoneChange(document.name, not document.deleted)
            for document in found
        )


class HostRegistry:
    """Entries of the system's own hosts."""

    def __init__(self, client: store_client.StoreClient) -> None:
        self._client = client
        # Names of the entries seen so far.
        self._known: frozenset[str] = frozenset()

    async def register(self, host: front.RegisteredHost) -> None:
        """Writes the entry of a host."""
        await self._client.put(
            _HOSTS,
            host.peer.host,
            {
                "zone": host.peer.zone,
                "address": str(host.peer.address),
                "link_mbps": host.peer.link_mbps,
                "beat": host.heartbeat,
            },
            exists=host.peer.host in self._known,
        )
        self._known |= {host.peer.host}

    async def remove(self, host: str) -> None:
        """Removes the entry of a host."""
        await self._client.delete(_HOSTS, host)

    async def hosts(self) -> tuple[front.RegisteredHost, ...]:
        """Returns all entries; may be seconds old."""
        found = await self._client.list(_HOSTS, stale=True)
        self._known = frozenset(item.name for item in found.objects)
        hosts = []
        for item in found.objects:
            try:
                hosts.append(documents.registered_host(item.name, item.spec))
            except errors.DocumentError as error:
                _LOGGER.warning(
                    "host entry can't be read", extra={"cause": error.message}
                )
        return tuple(hosts)


def _snapshot(found: store_client.ObjectList) -> relay.Batch:
    return relay.Batch(
        tuple(_document(item) for item in found.objects if not item.deleted),
        found.position,
        is_snapshot=True,
    )


def _changes(found: store_client.ObjectList, revision: int) -> relay.Batch:
    """Returns changes after a revision.

    The store knows only the revision: it counts from there in its present era,
    whatever the era in which the copy has reached it.
    """
    return relay.Batch(
        tuple(_document(item) for item in found.objects),
        found.position,
        since=relay.Position(found.position.era, revision),
    )


def _document(item: store_client.StoredObject) -> relay.Document:
    return relay.Document(
        item.name,
        {"spec": item.spec, "born": item.born_unix_ms},
        item.deleted,
    )
