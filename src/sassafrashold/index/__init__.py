"""Shard maps, index versions, and the selection of a version for a query."""

from sassafrashold.index._choice import VersionChoice
from sassafrashold.index._choice import choose_version
from sassafrashold.index._shardmap import IndexVersion
from sassafrashold.index._shardmap import Leaf
from sassafrashold.index._shardmap import ShardMap
from sassafrashold.index._shardmap import shardmap_key

__all__ = [
    "IndexVersion",
    "Leaf",
    "ShardMap",
    "VersionChoice",
    "choose_version",
    "shardmap_key",
]
