"""The choice of the index version that a query is pinned to."""

from collections.abc import Callable
import dataclasses

from sassafrashold.index import _shardmap


@dataclasses.dataclass(frozen=True)
class VersionChoice:
    """The chosen version and what of it can be served."""

    version: _shardmap.IndexVersion
    """The version to pin."""

    usable_by_shard: tuple[tuple[_shardmap.Leaf, ...], ...]
    """Usable replicas of each shard; the position is the shard."""

    missing_shards: tuple[int, ...]
    """Shards without a usable replica, rising."""

    @property
    def is_full(self) -> bool:
        """Whether each shard has a usable replica."""
        return not self.missing_shards


def choose_version(
    shardmap: _shardmap.ShardMap,
    is_usable: Callable[[_shardmap.Leaf, str], bool],
    excluded: frozenset[str] = frozenset(),
) -> VersionChoice | None:
    """Chooses the version to pin.

    The newest version with a usable replica for every shard wins. Without one,
    the version with the largest share of served shards wins, and of equal ones
    the newest.

    Args:
        shardmap: The versions of the service.
        is_usable: Tells whether a leaf can be asked for a version.
        excluded: Names of versions that must not be chosen.

    Returns:
        The choice; None if no version is left.
    """
    best: VersionChoice | None = None
    for version in shardmap.versions:
        if version.version in excluded:
            continue
        choice = _examine(shardmap, version, is_usable)
        if choice.is_full:
            return choice
        if best is None or _coverage(choice) > _coverage(best):
            best = choice
    return best


def _examine(
    shardmap: _shardmap.ShardMap,
    version: _shardmap.IndexVersion,
    is_usable: Callable[[_shardmap.Leaf, str], bool],
) -> VersionChoice:
    usable = tuple(
        tuple(
            leaf
            for leaf in map(shardmap.leaf_by_id.__getitem__, replicas)
            if is_usable(leaf, version.version)
        )
        for replicas in version.replicas
    )
    missing = tuple(shard for shard, leafs in enumerate(usable) if not leafs)
    return VersionChoice(version, usable, missing)


def _coverage(choice: VersionChoice) -> float:
    shards = len(choice.usable_by_shard)
    return (shards - len(choice.missing_shards)) / shards if shards else 0.0
