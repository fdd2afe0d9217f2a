"""The shard map of a service, as stored by the index builder."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from sassafrashold import documents
from sassafrashold import settings

KEY_PREFIX = "shardmaps/"


def shardmap_key(service: str) -> str:
    """Returns the key of a service's shard map in the store."""
    return KEY_PREFIX + service


@dataclasses.dataclass(frozen=True)
class Leaf:
    """A process of an upstream that holds shards of one service."""

    leaf_id: str
    """Unique id of the leaf."""

    zone: str
    """Availability zone that owns the leaf."""

    host: str
    """Upstream host that the leaf runs on."""

    address: settings.Address
    """Listening address."""


@dataclasses.dataclass(frozen=True)
class IndexVersion:
    """One snapshot of an index."""

    version: str
    """Name of the snapshot."""

    replicas: tuple[tuple[str, ...], ...]
    """Leaf ids of the replicas of each shard, indexed by shard number."""


@dataclasses.dataclass(frozen=True)
class ShardMap:
    """The queryable index versions of a service and their leafs."""

    service: str
    """Name of the service."""

    versions: tuple[IndexVersion, ...]
    """Versions, newest first."""

    leaf_by_id: Mapping[str, Leaf]
    """Leafs by id; contains every leaf that a version names."""

    @classmethod
    def decode(cls, data: bytes) -> "ShardMap":
        """Parses the stored JSON document.

        Raises:
            DocumentError: The document is malformed, or a version names a leaf
                that the document does not define.
        """
        key = KEY_PREFIX
        document = documents.parse(key, data)
        service = documents.get(key, document, "service", str)
        key = shardmap_key(service)
        leafs = {
            leaf_id: _decode_leaf(key, leaf_id, value)
            for leaf_id, value in documents.get(
                key, document, "leafs", dict
            ).items()
        }
        versions = tuple(
            _decode_version(key, value, leafs)
            for value in documents.get(key, document, "versions", list)
        )
        return cls(service, versions, leafs)

    def encode(self) -> bytes:
        """Returns the JSON document to store."""
        return documents.dump(
            {
                "service": self.service,
                "versions": [
                    {"version": v.version, "shards": [*map(list, v.replicas)]}
                    for v in self.versions
                ],
                "leafs": {
                    leaf.leaf_id: {
                        "zone": leaf.zone,
                        "host": leaf.host,
                        "address": str(leaf.address),
                    }
                    for leaf in self.leaf_by_id.values()
                },
            }
        )


def _decode_leaf(key: str, leaf_id: str, value: Any) -> Leaf:
    if not isinstance(value, dict):
        raise documents.invalid(key, f"leafs.{leaf_id}: expected an object")
    try:
        address = settings.Address.parse(
            documents.get(key, value, "address", str)
        )
    except ValueError as error:
        raise documents.invalid(
            key, f"leafs.{leaf_id}.address: {error}"
        ) from error
    return Leaf(
        leaf_id,
        documents.get(key, value, "zone", str),
        documents.get(key, value, "host", str),
        address,
    )


def _decode_version(
    key: str, value: Any, leafs: Mapping[str, Leaf]
) -> IndexVersion:
    if not isinstance(value, dict):
        raise documents.invalid(key, "versions: expected objects")
    name = documents.get(key, value, "version", str)
    shards = documents.get(key, value, "shards", list)
    for shard, replicas in enumerate(shards):
        if not isinstance(replicas, list):
            raise documents.invalid(key, f"{name}.shards: expected lists")
        for leaf_id in replicas:
            if not isinstance(leaf_id, str) or leaf_id not in leafs:
                raise documents.invalid(
                    key, f"{name}.shards[{shard}]: unknown leaf {leaf_id!r}"
                )
    return IndexVersion(name, tuple(tuple(replicas) for replicas in shards))
