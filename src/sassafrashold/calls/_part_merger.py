"""Merge of the parts of a request that several hosts gather."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime

from sassafrashold import routing
from sassafrashold.calls import _gather
from sassafrashold.calls import _merge


def proportional_shares(total: int, sizes: Sequence[int]) -> tuple[int, ...]:
    """Divides a number in proportion to sizes; the shares add up to it.

    Args:
        total: The number to divide.
        sizes: Size of each group; their sum is positive.
    """
    whole = sum(sizes)
    shares = [total * size // whole for size in sizes]
    by_remainder = sorted(
        range(len(sizes)), key=lambda index: -(total * sizes[index] % whole)
    )
    for index in by_remainder[: total - sum(shares)]:
        shares[index] += 1
    return tuple(shares)


class PartMerger:
    """Merges parts that arrive in groups of shards; no I/O.

    Decides like `GatherPlan` when the parts make an answer.
    """

    def __init__(
        self, gather: routing.Gather, times: _gather.GatherTimes
    ) -> None:
        """Initializes the merge without parts.

        Args:
            gather: Shards of the route, all from one configuration version.
            times: Times that bound the request.
        """
        self._gather = gather
        self._times = times
        self._signature_by_shard: dict[int, str] = {}
        self._lost: set[int] = set()
        self._records: list[bytes] = []

    def add(
        self, signature_by_shard: Mapping[int, str], records: bytes
    ) -> None:
        """Adds the parts of shards that have not answered before.

        Args:
            signature_by_shard: Signatures of the parts by index of the shard.
            records: The greatest records of these parts.
        """
        self._signature_by_shard.update(signature_by_shard)
        self._records.append(records)

    def settle(self, shards: Iterable[int]) -> None:
        """Records that no further parts of shards are expected.

        Args:
            shards: Indices of the shards, also of those that have answered.
        """
        self._lost.update(
            shard for shard in shards if shard not in self._signature_by_shard
        )

    def next_time(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time at which the outcome changes without new parts."""
        if now < self._times.answer_at:
            return min(self._times.answer_at, self._times.end)
        return self._times.end

    def outcome(
        self, now: datetime.timedelta, *, sent: bool
    ) -> _gather.GatherOutcome | None:
        """Returns the result of the request; None while it is in progress.

        Args:
            now: Monotonic time.
            sent: Whether a leaf may have run the request.
        """
        enough = _gather.decide_success(
            self._gather,
            self._times,
            len(self._signature_by_shard),
            len(self._lost),
            now,
        )
        if enough is None:
            return None
        missing = tuple(
            service
            for shard, service in enumerate(self._gather.shards)
            if shard not in self._signature_by_shard
        )
        if not enough:
            return _gather.GatherOutcome(
                (), b"", len(missing), missing, False, sent
            )
        return _gather.GatherOutcome(
            tuple(
                self._signature_by_shard[shard]
                for shard in sorted(self._signature_by_shard)
            ),
            _merge.greatest_records(self._records, self._gather.top_records),
            len(missing),
            missing,
            True,
            sent,
        )
