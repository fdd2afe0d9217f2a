"""Proof that an epoch was current at some recent time."""

from collections.abc import Mapping
import dataclasses
import datetime

from sassafrashold import membership
from sassafrashold.lease import _document

LEASE_TIME = datetime.timedelta(seconds=3)
"""How long evidence and promises are valid; called L in comments."""


@dataclasses.dataclass(frozen=True)
class Proof:
    """A time at which an epoch was certainly current."""

    time: datetime.timedelta
    """Local monotonic time; the epoch was current then or later."""

    source: str
    """`renewal` or `promises`."""


class ProofTimes:
    """The latest time at which each epoch is proven to have been current."""

    def __init__(self) -> None:
        self._time_by_epoch: dict[int, datetime.timedelta] = {}

    def record(self, epoch: int, time: datetime.timedelta) -> None:
        """Records a proof.

        Args:
            epoch: The epoch.
            time: Local time at which, or after which, it was current.
        """
        known = self._time_by_epoch.get(epoch)
        if known is None or known < time:
            self._time_by_epoch[epoch] = time

    def time(self, epoch: int) -> datetime.timedelta | None:
        """Returns the latest proven time of an epoch."""
        return self._time_by_epoch.get(epoch)

    def prune(self, epoch: int) -> None:
        """Drops all epochs before `epoch`."""
        for known in list(self._time_by_epoch):
            if known < epoch:
                del self._time_by_epoch[known]


def earliest_promise(
    lease: _document.ZoneLease,
    promise_by_host: Mapping[str, membership.Promise | None],
) -> datetime.timedelta | None:
    """Returns the latest time at which promises prove an epoch current.

    Only members propose, so an epoch whose members have all promised at or
    after a time is current at that time.

    Args:
        lease: The committed lease.
        promise_by_host: Newest known promise of each host.
    """
    times = []
    for member in lease.members:
        promise = promise_by_host.get(member.host)
        if promise is None or promise.epoch != lease.epoch:
            return None
        times.append(promise.made_at)
    return min(times, default=None)


def latest_proof(one: Proof | None, other: Proof | None) -> Proof | None:
    """Returns the proof with the later time."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda proof: proof.time)
