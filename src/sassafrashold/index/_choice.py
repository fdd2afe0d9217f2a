"""Selects the index version that a query is pinned to."""

from collections.abc import Callable
import dataclasses

from sassafrashold.index import _shardmap


@dataclasses.dataclass(frozen=True)
class VersionChoice:
    """The selected version and the replicas that can serve it."""

    version: _shardmap.IndexVersion
    """The version to pin the query to."""

    usable_by_shard: tuple[tuple[_shardmap.Leaf, ...], ...]
    """Usable replicas of each shard, indexed by shard number."""

    missing_shards: tuple[int, ...]
    """Numbers of the shards without a usable replica, ascending."""

    @property
    def is_full(self) -> bool:
        """Whether each shard has a usable replica."""
        return not self.missing_shards


def choose_version(
    shardmap: _shardmap.ShardMap,
    is_usable: Callable[[_shardmap.Leaf, str], bool],
    excluded: frozenset[str] = frozenset(),
) -> VersionChoice | None:
    """Selects the version to pin a query to.

    The newest version with a usable replica for every shard is selected. If
    there is none, the version with the highest coverage is; the newest one
    wins a tie.

    Args:
        shardmap: The versions of the service.
        is_usable: Whether a leaf can serve a version, given by its name.
        excluded: Names of versions that must not be selected.

    Returns:
        The selected version; None if all versions are excluded.
    """
    best: VersionChoice | None = None
    for version in shardmap.versions:
        if version.version in excluded:
            continue
        choice = _evaluate(shardmap, version, is_usable)
        if choice.is_full:
            return choice
        if best is None or _coverage(choice) > _coverage(best):
            best = choice
    return best


def _evaluate(
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
