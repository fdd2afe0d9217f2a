"""Selects the members of the next epoch."""

import dataclasses
import datetime
from typing import assert_never

from sassafrashold import membership
from sassafrashold.lease import _document
from sassafrashold.lease import _release

_STARTING_TIMEOUT = datetime.timedelta(seconds=2)

# A member that is about to be removed has stopped promising, so the promises of
# the others prove nothing and they can suspend them early. A shorter time would
# give up this evidence because of hosts that are only slow.
_PREPARE_REMOVAL_AFTER = datetime.timedelta(seconds=4)

# A member that receives heartbeats from less than half of the members may
# itself be partitioned. It waits so that the majority removes it first.
_MINORITY_DELAY = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True)
class MemberChange:
    """A required change of the lease members."""

    members: tuple[_document.Member, ...]
    """Members of the next epoch, ordered by host id."""

    certain: bool
    """False while a member is only close to its removal time."""


def required_change(situation: _release.Situation) -> MemberChange | None:
    """Returns the change that a member should propose; None if there is none.

    The last member is never removed: the zone would gain nothing. A host
    outside the epoch replaces it once the platform no longer lists it; see
    `takeover_change`.
    """
    kept = [
        _next_member(situation, member) for member in situation.lease.members
    ]
    changed = [member for member in kept if member is not None]
    members = _ordered([*changed, *newcomers(situation)])
    if members and members != situation.lease.members:
        return MemberChange(members, True)
    suspect = any(
        _heartbeat_age(situation, member.host) > _PREPARE_REMOVAL_AFTER
        for member in situation.lease.members
    )
    return MemberChange(situation.lease.members, False) if suspect else None


def takeover_change(situation: _release.Situation) -> MemberChange | None:
    """Returns the change that a host outside the epoch may propose.

    It may do so only when the platform's list names no member any more. The
    list must have been read after this host learned of the version that the
    update is conditional on: a member that comes back later can then get
    evidence only by a renewal, and one of the two updates fails. The list must
    name this host, since one that does not is evidently out of date.
    """
    own = situation.members.own
    hosts = situation.hosts
    if (
        own is None
        or own.description.state is not membership.State.SERVING
        or own.description.host in situation.lease.member_by_host
        or hosts.requested_at is None
        or hosts.requested_at <= situation.version_learned
        or not hosts.is_listed(own.description.host)
        or any(hosts.is_listed(m.host) for m in situation.lease.members)
    ):
        return None
    return MemberChange(_ordered(newcomers(situation)), True)


def serving_members(
    members: membership.Members, now: datetime.timedelta
) -> tuple[_document.Member, ...]:
    """Returns all fresh hosts that serve, for the first epoch of a zone."""
    return _ordered(
        [
            _member(entry.description)
            for entry in members.entries()
            if _serves(members, entry, now)
        ]
    )


def newcomers(situation: _release.Situation) -> list[_document.Member]:
    """Returns the hosts to add: fresh, serving, with a current incarnation."""
    return [
        _member(entry.description)
        for entry in situation.members.entries()
        if entry.description.host not in situation.lease.member_by_host
        and _serves(situation.members, entry, situation.now)
        and situation.is_recent(entry)
        and not situation.hosts.is_leaving(entry.description.host)
    ]


def _next_member(
    situation: _release.Situation, member: _document.Member
) -> _document.Member | None:
    """Returns a member as it should be in the next epoch; None to drop it."""
    entry = situation.members.get(member.host)
    if _heartbeat_age(situation, member.host) >= membership.REMOVE_AFTER:
        return member if _is_minority(situation) else None
    if entry is None:
        return member
    description = entry.description
    replaced = description.incarnation != member.incarnation
    recent = situation.is_recent(entry)
    match description.state:
        case membership.State.LEAVING:
            return None if not replaced or recent else member
        case membership.State.STARTING:
            silent = situation.now - entry.first_seen
            return None if silent >= _STARTING_TIMEOUT else member
        case membership.State.SERVING:
            return _member(description) if replaced and recent else member
        case _ as never:
            assert_never(never)


def _heartbeat_age(
    situation: _release.Situation, host: str
) -> datetime.timedelta:
    """Returns the time since a member's heartbeat or since learning the epoch.

    The shorter of the two counts.
    """
    return min(
        situation.members.age(host, situation.now),
        situation.now - situation.learned,
    )


def _is_minority(situation: _release.Situation) -> bool:
    members = situation.lease.members
    fresh = [
        member.host
        for member in members
        if situation.members.is_fresh(member.host, situation.now)
    ]
    if 2 * len(fresh) >= len(members):
        return False
    silent = [
        _heartbeat_age(situation, member.host)
        for member in members
        if member.host not in fresh
    ]
    return min(silent) < membership.REMOVE_AFTER + _MINORITY_DELAY


def _serves(
    members: membership.Members,
    entry: membership.Entry,
    now: datetime.timedelta,
) -> bool:
    return (
        entry.description.state is membership.State.SERVING
        and entry.description.incarnation != ""
        and members.is_fresh(entry.description.host, now)
    )


def _member(description: membership.Description) -> _document.Member:
    return _document.Member(
        description.host,
        description.incarnation,
        description.owner,
        description.control,
        description.entry,
    )


def _ordered(
    members: list[_document.Member],
) -> tuple[_document.Member, ...]:
    return tuple(sorted(members, key=lambda member: member.host))
