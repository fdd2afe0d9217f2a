"""Dispatch rule: how many slots of a leaf a process may use.

This is the safety rule of section 3.1 of docs/design.md. It does no I/O: the
caller passes in the reports of the local control process and asks for a grant
before each leaf call.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum
import functools

from sassafrashold import membership

LEASE_DURATION = datetime.timedelta(seconds=3)
MAX_LEAF_CALL_DURATION = datetime.timedelta(seconds=2)
MAX_CLOCK_SKEW = datetime.timedelta(milliseconds=500)
HOLD_BACK = LEASE_DURATION + MAX_LEAF_CALL_DURATION + MAX_CLOCK_SKEW
RESIDUAL_SLOTS = 1


class Basis(enum.Enum):
    """Reason for the number of slots in a grant."""

    FRESH = "fresh evidence"
    RESIDUAL = "residual slot"
    HOLD_BACK = "hold-back"
    RESERVED = "all slots reserved for earlier owners"
    NO_EVIDENCE = "no fresh evidence"
    NOT_OWNER = "not the owner"
    STATIC = "static share"


@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """Slots of a leaf that a process may use at the time of the query."""

    slots: int
    """Maximum number of concurrent calls; may be 0."""

    basis: Basis
    """Reason for the number of slots."""


@dataclasses.dataclass(frozen=True)
class EarlierOwners:
    """An earlier epoch with members that have not released it yet."""

    epoch: int
    """Number of the epoch."""

    members: tuple[str, ...]
    """Hosts that owned leafs in it."""

    unreleased: frozenset[str]
    """Members that may still have calls in flight."""

    def unreleased_owner(self, leaf_id: str) -> str | None:
        """Returns the unreleased owner of a leaf in this epoch, if any."""
        owner = _owner(leaf_id, self.members)
        return owner if owner in self.unreleased else None


@dataclasses.dataclass(frozen=True)
class Report:
    """Report from control to a process about an epoch of its zone."""

    epoch: int
    """Number of the epoch."""

    members: tuple[str, ...]
    """Hosts that own leafs in it."""

    member: bool
    """Whether this incarnation of the process is a member of the epoch."""

    evidence_at: datetime.timedelta | None
    """Monotonic time at which the epoch was proven current; None if never."""

    earlier: tuple[EarlierOwners, ...]
    """Earlier epochs with unreleased members."""


@dataclasses.dataclass(frozen=True)
class _FreshReport:
    """Earlier owners in the last report that came with fresh evidence."""

    evidence_expires_at: datetime.timedelta
    """Monotonic time at which the evidence reaches the age of the lease."""

    earlier: tuple[EarlierOwners, ...]
    """Earlier owners as of that report."""


def evidence_time(
    sent: datetime.timedelta, age: datetime.timedelta
) -> datetime.timedelta:
    """Converts an age of evidence reported by a peer to local time.

    Args:
        sent: Monotonic time just before the request was sent.
        age: Age in the reply. The peer measured it after `sent`, so the result
            is never later than the actual time of the evidence.
    """
    return sent - max(age, datetime.timedelta())


@dataclasses.dataclass(frozen=True)
class Entitlement:
    """Ownership in the zone of a process, as far as the process knows it."""

    host: str
    """Host of this process."""

    epoch: int = -1
    """Newest known epoch; -1 for none."""

    members: tuple[str, ...] = ()
    """Members of that epoch."""

    member: bool = False
    """Whether this incarnation of the process is a member of that epoch."""

    learned_at: datetime.timedelta = datetime.timedelta()
    """Monotonic time at which this process learned of the epoch."""

    evidence_at: datetime.timedelta | None = None
    """Monotonic time of the newest evidence for the epoch; None if none."""

    earlier: tuple[EarlierOwners, ...] = ()
    """Earlier epochs with unreleased members."""

    last_fresh: _FreshReport | None = None
    """Last report of this epoch that came with fresh evidence."""

    def with_report(
        self, report: Report, now: datetime.timedelta
    ) -> "Entitlement":
        """Returns the entitlement after a report; ignores older epochs.

        Args:
            report: Report from control.
            now: Monotonic time at which the report was received.
        """
        if report.epoch < self.epoch:
            return self
        updated = (
            self if report.epoch == self.epoch else self._adopt(report, now)
        )
        evidence_at = _latest_or_none(updated.evidence_at, report.evidence_at)
        last_fresh = updated.last_fresh
        if evidence_at is not None and now - evidence_at < LEASE_DURATION:
            last_fresh = _FreshReport(
                evidence_at + LEASE_DURATION, report.earlier
            )
        return dataclasses.replace(
            updated,
            member=report.member,
            evidence_at=evidence_at,
            earlier=report.earlier,
            last_fresh=last_fresh,
        )

    def with_newer_epoch(
        self, report: Report, now: datetime.timedelta
    ) -> "Entitlement":
        """Returns the entitlement after a report that only names an epoch.

        The report is made from the lease document, which has neither evidence
        nor releases. It is ignored unless its epoch is newer.
        """
        return (
            self.with_report(report, now)
            if (report.epoch > self.epoch)
            else self
        )

    def owns(self, leaf_id: str) -> bool:
        """Returns whether this process owns a leaf in the newest epoch."""
        return self.member and _owner(leaf_id, self.members) == self.host

    def grant(
        self, leaf_id: str, slots: int, now: datetime.timedelta
    ) -> SlotGrant:
        """Returns the slots of a leaf that this process may use now.

        Args:
            leaf_id: Id of the leaf.
            slots: Slots of the leaf, from the table.
            now: Monotonic time.
        """
        if not self.owns(leaf_id):
            return SlotGrant(0, Basis.NOT_OWNER)
        if (
            self.evidence_at is not None
            and now - self.evidence_at < LEASE_DURATION
        ):
            return self._fresh_grant(leaf_id, slots, self.earlier, now)
        return self._residual_grant(leaf_id, slots)

    def _adopt(self, report: Report, now: datetime.timedelta) -> "Entitlement":
        return Entitlement(
            self.host, report.epoch, report.members, learned_at=now
        )

    def _fresh_grant(
        self,
        leaf_id: str,
        slots: int,
        earlier: Iterable[EarlierOwners],
        now: datetime.timedelta,
    ) -> SlotGrant:
        reserved = self._reserved(leaf_id, earlier)
        if reserved and now - self.learned_at < HOLD_BACK:
            return SlotGrant(0, Basis.HOLD_BACK)
        if reserved >= slots:
            return SlotGrant(0, Basis.RESERVED)
        return SlotGrant(slots - reserved, Basis.FRESH)

    def _residual_grant(self, leaf_id: str, slots: int) -> SlotGrant:
        """Returns the grant under evidence older than the lease.

        A residual slot requires that the process was granted a slot just before
        `last_fresh.evidence_expires_at`, the last moment with fresh evidence.
        The hold-back must therefore have ended before that time.
        """
        fresh = self.last_fresh
        if fresh is None or slots <= RESIDUAL_SLOTS:
            return SlotGrant(0, Basis.NO_EVIDENCE)
        last_moment = fresh.evidence_expires_at - datetime.timedelta.resolution
        last_grant = self._fresh_grant(
            leaf_id, slots, fresh.earlier, last_moment
        )
        if last_grant.slots < RESIDUAL_SLOTS:
            return SlotGrant(0, Basis.NO_EVIDENCE)
        return SlotGrant(RESIDUAL_SLOTS, Basis.RESIDUAL)

    def _reserved(self, leaf_id: str, earlier: Iterable[EarlierOwners]) -> int:
        """Returns the number of earlier owners that may still use a slot.

        This host is not counted: its earlier incarnations have ended, and this
        process counts its own calls.
        """
        holders = {owners.unreleased_owner(leaf_id) for owners in earlier}
        return len(holders - {None, self.host})


@functools.lru_cache(maxsize=65_536)
def _owner(leaf_id: str, members: tuple[str, ...]) -> str | None:
    return membership.choose(leaf_id, members)


def _latest_or_none(
    first: datetime.timedelta | None, second: datetime.timedelta | None
) -> datetime.timedelta | None:
    if first is None or second is None:
        return first if second is None else second
    return max(first, second)
