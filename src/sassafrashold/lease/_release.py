"""Decides when an owner of an earlier epoch is released."""

import dataclasses
import datetime

from sassafrashold import membership
from sassafrashold.lease import _document

ABSENT_AFTER = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True)
class Situation:
    """The inputs of the lease rules at one time."""

    lease: _document.ZoneLease
    """The newest known lease."""

    learned: datetime.timedelta
    """When this host learned of the epoch; after its commit."""

    version_learned: datetime.timedelta
    """When this host learned of the newest version; after its commit."""

    members: membership.Members
    """The hosts of the zone."""

    hosts: membership.PlatformHosts
    """The platform's host list over time."""

    now: datetime.timedelta
    """Local monotonic time."""

    def is_recent(self, entry: membership.Entry) -> bool:
        """Returns whether an entry is certainly newer than the epoch.

        Incarnations are not ordered. An incarnation that a host reports after
        the commit of an epoch has replaced any other incarnation that the epoch
        or its earlier epochs name for that host.
        """
        return (
            entry.confirmed_at is not None and entry.confirmed_at > self.learned
        )

    def unreleased(
        self, earlier: _document.EarlierEpoch
    ) -> tuple[_document.Member, ...]:
        """Returns the members of an earlier epoch that are not released."""
        return tuple(
            member
            for member in earlier.members
            if not self._is_released(member, earlier.epoch)
        )

    def pruned_earlier(self) -> tuple[_document.EarlierEpoch, ...]:
        """Returns the earlier epochs that still have unreleased members."""
        return tuple(e for e in self.lease.earlier if self.unreleased(e))

    def _is_released(self, member: _document.Member, epoch: int) -> bool:
        return (
            self._has_released(member, epoch)
            or self._is_replaced(member, epoch)
            or self._is_absent(member)
        )

    def _has_released(self, member: _document.Member, epoch: int) -> bool:
        """Returns whether the owner said that it has moved past an epoch.

        An owner that has released epoch n uses only leafs that it owns in n.
        For those, the entry of epoch n itself counts once n is an earlier
        epoch, so any n after `epoch` releases `epoch`.
        """
        entry = self.members.get(member.host)
        return (
            entry is not None
            and entry.description.incarnation == member.incarnation
            and entry.released_epoch > epoch
        )

    def _is_replaced(self, member: _document.Member, epoch: int) -> bool:
        """Returns whether the owner process is known to be gone."""
        later = [
            self.lease.members,
            *(e.members for e in self.lease.earlier if e.epoch > epoch),
        ]
        for members in later:
            for other in members:
                if _replaces(other.host, other.incarnation, member):
                    return True
        entry = self.members.get(member.host)
        return (
            entry is not None
            and _replaces(
                entry.description.host, entry.description.incarnation, member
            )
            and self.is_recent(entry)
        )

    def _is_absent(self, member: _document.Member) -> bool:
        """Returns whether the platform no longer runs the host.

        A host with recent heartbeats in gossip is not released, even if the
        platform no longer lists it.
        """
        return (
            self.hosts.absent_for(member.host) >= ABSENT_AFTER
            and self.members.age(member.host, self.now)
            > membership.REMOVE_AFTER
        )


def _replaces(host: str, incarnation: str, member: _document.Member) -> bool:
    return (
        host == member.host
        and bool(incarnation)
        and incarnation != member.incarnation
    )
