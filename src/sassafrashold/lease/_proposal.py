"""Which members the next epoch should have."""

import dataclasses
import datetime
from typing import assert_never

from sassafrashold import membership
from sassafrashold.lease import _document
from sassafrashold.lease import _release

_NOT_SERVING_AFTER = datetime.timedelta(seconds=2)

# A member that is about to be removed makes no promises any more, so the others
# need not keep theirs up. A shorter time would give up evidence for hosts that
# are only slow.
_PREPARE_AFTER = datetime.timedelta(seconds=4)

# A member that hears less than half of the members may itself be cut off. It
# waits, so that the larger part removes it first.
_MINORITY_DELAY = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True)
class Wanted:
    """A change of the members that the situation asks for."""

    members: tuple[_document.Member, ...]
    """Members of the next epoch, ordered by host id."""

    certain: bool
    """False while members are only close to their removal."""


def wanted(situation: _release.Situation) -> Wanted | None:
    """Returns the change that a member should propose; None if there is none.

    The last member is never removed: the zone would gain nothing, and a
    newcomer replaces it under the rule for hosts that the platform no longer
    names.
    """
    kept = [_kept(situation, member) for member in situation.lease.members]
    changed = [member for member in kept if member is not None]
    members = _ordered([*changed, *newcomers(situation)])
    if members and members != situation.lease.members:
        return Wanted(members, True)
    suspect = any(
        _silent_for(situation, member.host) > _PREPARE_AFTER
        for member in situation.lease.members
    )
    return Wanted(situation.lease.members, False) if suspect else None


def takeover(situation: _release.Situation) -> Wanted | None:
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
    return Wanted(_ordered(newcomers(situation)), True)


def serving(
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


def _kept(
    situation: _release.Situation, member: _document.Member
) -> _document.Member | None:
    """Returns a member as it should be in the next epoch; None to drop it."""
    entry = situation.members.get(member.host)
    if _silent_for(situation, member.host) >= membership.REMOVE_AFTER:
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
            return None if silent >= _NOT_SERVING_AFTER else member
        case membership.State.SERVING:
            return _member(description) if replaced and recent else member
        case _ as never:
            assert_never(never)


def _silent_for(situation: _release.Situation, host: str) -> datetime.timedelta:
    """Returns how long a member was silent since its epoch was learned."""
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
        _silent_for(situation, member.host)
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
