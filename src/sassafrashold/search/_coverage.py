"""The shards that an answer covers."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Coverage:
    """Number of queried shards and the shards without a result."""

    shards_asked: int
    """Number of shards of the pinned version."""

    missing_shards: tuple[int, ...]
    """Shards without a result, in ascending order."""

    @property
    def shards_answered(self) -> int:
        """Number of shards whose result is in the answer."""
        return self.shards_asked - len(self.missing_shards)

    @property
    def partial(self) -> bool:
        """Whether any shard is missing."""
        return bool(self.missing_shards)
