"""Which shards an answer holds."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Coverage:
    """The shards that were asked and those that are missing."""

    shards_asked: int
    """Shards of the pinned version."""

    missing_shards: tuple[int, ...]
    """Shards without a result, rising."""

    @property
    def shards_answered(self) -> int:
        """Shards whose result is in the answer."""
        return self.shards_asked - len(self.missing_shards)

    @property
    def partial(self) -> bool:
        """Whether any shard is missing."""
        return bool(self.missing_shards)
