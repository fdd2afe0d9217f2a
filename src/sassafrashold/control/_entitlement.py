"""Answers to the local owner: what it may do under the lease."""

import datetime
from typing import Any

from sassafrashold import clock
from sassafrashold import lease
from sassafrashold import wire
from sassafrashold.control import _node

_MILLISECOND = datetime.timedelta(milliseconds=1)


def ceil_ms(duration: datetime.timedelta) -> int:
    """Returns a duration in milliseconds, rounded up.

    An age that is rounded down would make evidence look fresher than it is.
    """
    return -(-duration // _MILLISECOND)


def answer(node: _node.Node, request: Any) -> Any:
    """Records the owner's call and returns its entitlement.

    Args:
        node: The state of this process.
        request: `EntitlementRequest`.

    Returns:
        `EntitlementReply`; epoch 0 without evidence while no lease is known.
    """
    now = node.now()
    node.owner.record(
        request.incarnation, request.released_epoch, request.leaving, now
    )
    node.refresh()
    situation = node.lease.situation(now)
    if situation is None:
        return wire.messages.EntitlementReply(
            zone=node.settings.zone,
            epoch=0,
            members=[],
            earlier=[],
            member=False,
        )
    known = situation.lease
    proof = node.lease.evidence(now)
    own = known.member_by_host.get(node.settings.host)
    return wire.messages.EntitlementReply(
        zone=known.zone,
        epoch=known.epoch,
        members=[member.host for member in known.members],
        evidence_age_ms=(None if proof is None else ceil_ms(now - proof.time)),
        earlier=[
            message
            for earlier in known.earlier
            if (message := _earlier(situation, earlier, request.incarnation))
        ],
        member=own is not None and own.incarnation == request.incarnation,
    )


def _earlier(
    situation: lease.Situation, earlier: lease.EarlierEpoch, asker: str
) -> Any:
    """Returns an earlier epoch; None if it has no unreleased owner left.

    The process that asks is left out, because it counts its own calls itself.
    """
    unreleased = [
        wire.messages.HostIncarnation(
            host=member.host, incarnation=member.incarnation
        )
        for member in situation.unreleased(earlier)
        if member.incarnation != asker
    ]
    if not unreleased:
        return None
    return wire.messages.EarlierOwners(
        epoch=earlier.epoch,
        members=[member.host for member in earlier.members],
        unreleased=unreleased,
    )


def age_from_wire(milliseconds: int) -> datetime.timedelta:
    """Returns an age from the wire; a negative one counts as zero."""
    return clock.from_ms(max(0, milliseconds))
