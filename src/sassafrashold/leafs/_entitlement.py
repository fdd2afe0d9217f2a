"""How many slots of a leaf a process may use: the dispatch rule.

This is the safety rule of section 3.1 of docs/design.md. It has no I/O: it is
fed with what the local control reports and asked before each leaf call.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum
import functools

from sassafrashold import membership

LEASE = datetime.timedelta(seconds=3)
LONGEST_LEAF_CALL = datetime.timedelta(seconds=2)
CLOCK_AGREEMENT = datetime.timedelta(milliseconds=500)
HOLD_BACK = LEASE + LONGEST_LEAF_CALL + CLOCK_AGREEMENT
RESIDUAL_SLOTS = 1


class Basis(enum.Enum):
    """Why a grant has its number of slots."""

    FRESH = "fresh evidence"
    RESIDUAL = "residual slot"
    HOLD_BACK = "hold-back"
    RESERVED = "all slots reserved for earlier owners"
    NO_EVIDENCE = "no fresh evidence"
    NOT_OWNER = "not the owner"
    STATIC = "static share"


@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """What one process may use of one leaf at one moment."""

    slots: int
    """Calls at once; 0 for none."""

    basis: Basis
    """Why."""


@dataclasses.dataclass(frozen=True)
class EarlierOwners:
    """An earlier epoch with members that are not yet released."""

    epoch: int
    """Its number."""

    members: tuple[str, ...]
    """Hosts that owned leafs in it."""

    unreleased: frozenset[str]
    """Those of them that may still have calls in flight."""

    def holder_of(self, leaf_id: str) -> str | None:
        """Returns the unreleased owner of a leaf in this epoch, if any."""
        owner = _owner(leaf_id, self.members)
        return owner if owner in self.unreleased else None


@dataclasses.dataclass(frozen=True)
class Report:
    """What a process was told about an epoch of its zone."""

    epoch: int
    """Number of the epoch."""

    members: tuple[str, ...]
    """Hosts that own leafs in it."""

    member: bool
    """Whether the epoch names the incarnation of this process."""

    evidence_at: datetime.timedelta | None
    """Monotonic time at which the epoch was certainly current."""

    earlier: tuple[EarlierOwners, ...]
    """Earlier epochs with unreleased members."""


@dataclasses.dataclass(frozen=True)
class _FreshReport:
    """The last report that came with fresh evidence."""

    until: datetime.timedelta
    """Monotonic time at which its evidence reaches the age L."""

    earlier: tuple[EarlierOwners, ...]
    """Earlier owners as of that report."""


def evidence_time(
    sent: datetime.timedelta, age: datetime.timedelta
) -> datetime.timedelta:
    """Returns the local time of evidence that a peer reported as an age.

    Args:
        sent: Monotonic time just before the request was sent.
        age: Age in the reply; the peer measured it after `sent`, so the result
            is never later than the evidence.
    """
    return sent - max(age, datetime.timedelta())


@dataclasses.dataclass(frozen=True)
class Entitlement:
    """The ownership that a process knows of in its zone."""

    host: str
    """Host of this process."""

    epoch: int = -1
    """Newest epoch that this process knows of; -1 for none."""

    members: tuple[str, ...] = ()
    """Members of that epoch."""

    member: bool = False
    """Whether that epoch names this incarnation of the process."""

    learned_at: datetime.timedelta = datetime.timedelta()
    """Monotonic time at which this process learned of the epoch."""

    evidence_at: datetime.timedelta | None = None
    """Newest evidence for the epoch."""

    earlier: tuple[EarlierOwners, ...] = ()
    """Earlier epochs with unreleased members."""

    last_fresh: _FreshReport | None = None
    """Last report of this epoch that came with fresh evidence."""

    def with_report(
        self, report: Report, now: datetime.timedelta
    ) -> "Entitlement":
        """Returns the entitlement after a report; older epochs change nothing.

        Args:
            report: What control said.
            now: Monotonic time at which the report was received.
        """
        if report.epoch < self.epoch:
            return self
        known = self if report.epoch == self.epoch else self._adopt(report, now)
        evidence_at = _latest(known.evidence_at, report.evidence_at)
        last_fresh = known.last_fresh
        if evidence_at is not None and now - evidence_at < LEASE:
            last_fresh = _FreshReport(evidence_at + LEASE, report.earlier)
        return dataclasses.replace(
            known,
            member=report.member,
            evidence_at=evidence_at,
            earlier=report.earlier,
            last_fresh=last_fresh,
        )

    def with_newer_epoch(
        self, report: Report, now: datetime.timedelta
    ) -> "Entitlement":
        """Returns the entitlement after a report that only names an epoch.

        Such a report comes from the lease document. It has no evidence and
        knows of no releases, so it counts only if its epoch is new.
        """
        return (
            self.with_report(report, now)
            if (report.epoch > self.epoch)
            else self
        )

    def owns(self, leaf_id: str) -> bool:
        """Returns whether the newest known epoch makes this process owner."""
        return self.member and _owner(leaf_id, self.members) == self.host

    def grant(
        self, leaf_id: str, slots: int, now: datetime.timedelta
    ) -> SlotGrant:
        """Returns what this process may use of a leaf right now.

        Args:
            leaf_id: The leaf.
            slots: Slots of the leaf, from the table.
            now: Monotonic time.
        """
        if not self.owns(leaf_id):
            return SlotGrant(0, Basis.NOT_OWNER)
        if self.evidence_at is not None and now - self.evidence_at < LEASE:
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
        """Applies the rule for evidence older than L.

        The last entitlement under fresh evidence is the one just before
        `last_fresh.until`, so the hold-back must have ended before that time.
        """
        fresh = self.last_fresh
        if fresh is None or slots <= RESIDUAL_SLOTS:
            return SlotGrant(0, Basis.NO_EVIDENCE)
        last_moment = fresh.until - datetime.timedelta.resolution
        last = self._fresh_grant(leaf_id, slots, fresh.earlier, last_moment)
        if last.slots < RESIDUAL_SLOTS:
            return SlotGrant(0, Basis.NO_EVIDENCE)
        return SlotGrant(RESIDUAL_SLOTS, Basis.RESIDUAL)

    def _reserved(self, leaf_id: str, earlier: Iterable[EarlierOwners]) -> int:
        """Returns the number of earlier owners that may hold a slot.

        This host is not counted: an earlier incarnation of it has ended, and
        this process counts its own calls.
        """
        holders = {owners.holder_of(leaf_id) for owners in earlier}
        return len(holders - {None, self.host})


@functools.lru_cache(maxsize=65_536)
def _owner(leaf_id: str, members: tuple[str, ...]) -> str | None:
    return membership.choose(leaf_id, members)


def _latest(
    first: datetime.timedelta | None, second: datetime.timedelta | None
) -> datetime.timedelta | None:
    if first is None or second is None:
        return first if second is None else second
    return max(first, second)
