"""Index versions, their shard maps, and the choice of a version."""

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
