"""What this process may use, as last reported by the local control."""

import datetime
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import index
from sassafrashold import leafs
from sassafrashold import lease

# Ages on the wire are rounded down to whole milliseconds.
_AGE_ROUNDING = datetime.timedelta(milliseconds=1)
# A new epoch is often known from the lease document a little before control
# reports its evidence. Work may wait that long.
_EVIDENCE_DUE = datetime.timedelta(seconds=1)


class Rights:
    """The one place that decisions ask about ownership and slots."""

    def __init__(
        self,
        host: str,
        zone: str,
        clock: clock_lib.Clock,
        static_share_slots: int = 0,
    ) -> None:
        """Initializes the rights; without reports there are none.

        Args:
            host: Host of this process.
            zone: Its availability zone.
            clock: The clock.
            static_share_slots: Above 0 replaces the lease (baseline).
        """
        self.zone = zone
        self._clock = clock
        self._static_share_slots = static_share_slots
        self.incarnation = ""
        self.entitlement = leafs.Entitlement(host)

    @property
    def static(self) -> bool:
        """Whether a static share replaces the lease."""
        return self._static_share_slots > 0

    def owns(self, leaf: index.Leaf) -> bool:
        """Returns whether this process is the owner of a leaf."""
        if self.static:
            return True
        return leaf.zone == self.zone and self.entitlement.owns(leaf.leaf_id)

    def grant(self, leaf: index.Leaf, slots: int) -> leafs.SlotGrant:
        """Returns what may be used of a leaf right now.

        Args:
            leaf: The leaf.
            slots: Slots of the leaf, from the table.
        """
        if self.static:
            return leafs.SlotGrant(self._static_share_slots, leafs.Basis.STATIC)
        if leaf.zone != self.zone:
            return leafs.SlotGrant(0, leafs.Basis.NOT_OWNER)
        return self.entitlement.grant(
            leaf.leaf_id, slots, self._clock.monotonic()
        )

    def evidence_due(self) -> bool:
        """Returns whether the first evidence of a new epoch is still due."""
        known = self.entitlement
        age = self._clock.monotonic() - known.learned_at
        return known.evidence_at is None and age < _EVIDENCE_DUE

    def on_report(self, reply: Any, sent: datetime.timedelta) -> None:
        """Takes over an `EntitlementReply`.

        Args:
            reply: What control said.
            sent: Monotonic time just before control was asked.
        """
        if reply.zone != self.zone:
            return
        evidence_at = None
        if reply.evidence_age_ms is not None:
            age = clock_lib.from_ms(reply.evidence_age_ms) + _AGE_ROUNDING
            evidence_at = leafs.evidence_time(sent, age)
        report = leafs.Report(
            reply.epoch,
            tuple(reply.members),
            reply.member,
            evidence_at,
            tuple(
                leafs.EarlierOwners(
                    earlier.epoch,
                    tuple(earlier.members),
                    frozenset(other.host for other in earlier.unreleased),
                )
                for earlier in reply.earlier
            ),
        )
        self.entitlement = self.entitlement.with_report(
            report, self._clock.monotonic()
        )

    def on_lease(self, zone_lease: lease.ZoneLease) -> None:
        """Takes over the epoch of a lease document, if it is newer."""
        if zone_lease.epoch <= self.entitlement.epoch:
            return
        host = self.entitlement.host
        member = zone_lease.member_by_host.get(host)
        report = leafs.Report(
            zone_lease.epoch,
            tuple(other.host for other in zone_lease.members),
            member is not None and member.incarnation == self.incarnation,
            None,
            tuple(
                leafs.EarlierOwners(
                    earlier.epoch,
                    tuple(other.host for other in earlier.members),
                    frozenset(other.host for other in earlier.members),
                )
                for earlier in zone_lease.earlier
            ),
        )
        self.entitlement = self.entitlement.with_newer_epoch(
            report, self._clock.monotonic()
        )
