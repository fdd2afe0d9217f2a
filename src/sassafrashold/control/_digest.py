"""Gossip messages from the state of a node, and back."""

from collections.abc import Iterable
import datetime
import functools
from typing import Any

from sassafrashold import membership
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.control import _entitlement
from sassafrashold.control import _node

_NO_PROMISE = -1
_MAX_AGE_MS = 2**31 - 1
_MAX_OBJECTS = 2000

_STATE_TO_WIRE = {
    membership.State.STARTING: wire.messages.MemberState.STARTING,
    membership.State.SERVING: wire.messages.MemberState.SERVING,
    membership.State.LEAVING: wire.messages.MemberState.LEAVING,
}
_STATE_FROM_WIRE = {value: key for key, value in _STATE_TO_WIRE.items()}


class DigestError(Exception):
    """A gossip message has invalid contents."""


def request(
    node: _node.Node,
    *,
    members: bool,
    changed_keys: Iterable[str] = (),
) -> Any:
    """Returns a request for an exchange.

    Args:
        node: The state of this process.
        members: Whether to exchange members; only within the zone.
        changed_keys: Objects that the peer may not have yet.
    """
    message = _message(node)
    if members:
        message.known_members = node.members.digests()
    message.objects = [
        wire.messages.ObjectVersion(key=key, version=node.objects.version(key))
        for key in changed_keys
    ]
    message.objects_digest = node.objects.digest()
    return message


def evidence_request(
    node: _node.Node, *, below: str | None = None, all_members: bool = False
) -> Any:
    """Returns a request for the proofs of the epoch.

    Args:
        node: The state of this process.
        below: A host whose part of the tree is asked for.
        all_members: Whether to ask for all members that need no full entry.
    """
    known = None
    if below is not None:
        hosts = (below, *node.tree(below).children)
        entries = [node.members.get(host) for host in hosts]
        known = [e.description.digest for e in entries if e is not None]
    return wire.messages.GossipMessage(
        sender=node.settings.host,
        zone=node.settings.zone,
        members=[],
        known_members=known,
        objects=[],
        epoch=node.lease.epoch,
        evidence_only=True,
        all_members=all_members,
    )


def answer(node: _node.Node, asked: Any) -> Any:
    """Returns the answer to a request.

    Members that the sender names are sent in the compact form, all others in
    full. Object versions are sent only if they differ.
    """
    if asked.evidence_only:
        return _evidence_answer(node, asked)
    message = _message(node)
    _add_proofs(node, message)
    if asked.zone == node.settings.zone:
        own = node.members.own
        entries = [e for e in node.members.entries() if e is not own]
        _add_members(node, message, entries, asked)
    message.objects_digest = node.objects.digest()
    if asked.objects_digest != message.objects_digest:
        message.objects = [
            wire.messages.ObjectVersion(key=key, version=version)
            for key, version in node.objects.versions().items()
        ][:_MAX_OBJECTS]
    return message


def merge_answer(
    node: _node.Node, message: Any, asked: datetime.timedelta
) -> None:
    """Takes over an answer.

    Args:
        node: The state of this process.
        message: `GossipMessage` from a peer.
        asked: Monotonic time before the request was sent.

    Raises:
        DigestError: The message is invalid; nothing was taken over.
    """
    if message.zone != node.settings.zone:
        return
    reports = [
        *(_from_wire(member) for member in message.members),
        *_known(node, message),
    ]
    if message.renewal_age_ms is not None:
        age = _entitlement.age_from_wire(message.renewal_age_ms)
        node.lease.record_renewal(message.epoch, asked - age)
    if message.promised_age_ms is not None:
        age = _entitlement.age_from_wire(message.promised_age_ms)
        node.lease.record_promised(message.epoch, asked - age)
    now = node.now()
    entries = [
        membership.Entry.from_answer(report, asked, now) for report in reports
    ]
    for entry in entries:
        if (
            entry.description.host == node.settings.host
            and entry.promise is not None
        ):
            node.lease.record_predecessor(entry.promise)
    node.members.merge(entries)


def merge_request(node: _node.Node, message: Any) -> settings.Address | None:
    """Takes over what the sender of a request says about itself.

    Returns:
        The control address of the sender; None if it is not stated.

    Raises:
        DigestError: The message is invalid; nothing was taken over.
    """
    now = node.now()
    for member in message.members:
        report = _from_wire(member)
        if member.host == message.sender:
            node.members.merge([membership.Entry.from_request(report, now)])
            return report.description.control
    return None


def _message(node: _node.Node) -> Any:
    """Returns a message with only the own entry."""
    own = node.refresh()
    return wire.messages.GossipMessage(
        sender=node.settings.host,
        zone=node.settings.zone,
        members=[_to_wire(own, node.now())],
        objects=[],
        epoch=node.lease.epoch,
    )


def _evidence_answer(node: _node.Node, asked: Any) -> Any:
    """Returns the proofs, and the members that are asked for."""
    node.refresh()
    message = evidence_request(node)
    message.evidence_only = False
    _add_proofs(node, message)
    entries = []
    if asked.all_members:
        entries = [e for e in node.members.entries() if _fits(node, e)]
    elif asked.known_members is not None:
        hosts = (node.settings.host, *node.tree().children)
        found = [node.members.get(host) for host in hosts]
        entries = [entry for entry in found if entry is not None]
    _add_members(node, message, entries, asked)
    return message


def _add_members(
    node: _node.Node,
    message: Any,
    entries: Iterable[membership.Entry],
    asked: Any,
) -> None:
    """Adds members, in the compact form where the asker understands it."""
    known = frozenset(asked.known_members or ())
    compact = []
    for entry in entries:
        if entry.confirmed_at is None:
            continue
        is_known = asked.all_members or entry.description.digest in known
        if is_known and _fits(node, entry):
            compact.append(entry)
        else:
            message.members.append(_to_wire(entry, node.now()))
    _add_known(node, message, compact)


def _add_proofs(node: _node.Node, message: Any) -> None:
    now = node.now()
    renewed = node.lease.renewal_time()
    if renewed is not None:
        message.renewal_age_ms = _entitlement.ceil_ms(now - renewed)
    promised = node.lease.promised_time(now)
    if promised is not None:
        message.promised_age_ms = _entitlement.ceil_ms(now - promised)


def _add_known(
    node: _node.Node, message: Any, entries: Iterable[membership.Entry]
) -> None:
    """Adds members in the compact form."""
    now = node.now()
    digests, freshness_ages, promise_ages = [], [], []
    for entry in entries:
        digests.append(entry.description.digest)
        freshness_ages.append(_freshness_ms(entry, now))
        promise = entry.promise
        if promise is None or promise.epoch != message.epoch:
            promise_ages.append(_NO_PROMISE)
        else:
            promise_ages.append(_age_ms(now - promise.made_at))
    message.known_members = digests
    message.freshness_ages_ms = freshness_ages
    message.promise_ages_ms = promise_ages


def _fits(node: _node.Node, entry: membership.Entry) -> bool:
    """Returns whether the compact form says everything about an entry."""
    epoch = node.lease.epoch
    description = entry.description
    return (
        entry.released_epoch == epoch
        and (entry.promise is None or entry.promise.epoch <= epoch)
        and node.members.description(description.digest) == description
    )


def _known(node: _node.Node, message: Any) -> list[membership.Report]:
    """Returns the compact members whose hash is known here."""
    digests = message.known_members or []
    freshness_ages = message.freshness_ages_ms or []
    promise_ages = message.promise_ages_ms or []
    if not len(digests) == len(freshness_ages) == len(promise_ages):
        raise DigestError("lists of known members differ in length")
    reports = []
    for digest, freshness_ms, promise_ms in zip(
        digests, freshness_ages, promise_ages, strict=True
    ):
        description = node.members.description(digest)
        if description is None:
            continue
        reports.append(
            membership.Report(
                description,
                _entitlement.age_from_wire(freshness_ms),
                None
                if promise_ms == _NO_PROMISE
                else _entitlement.age_from_wire(promise_ms),
                message.epoch,
                message.epoch,
            )
        )
    return reports


def _to_wire(entry: membership.Entry, now: datetime.timedelta) -> Any:
    description = entry.description
    promise = entry.promise
    return wire.messages.MemberEntry(
        host=description.host,
        zone=description.zone,
        incarnation=description.incarnation,
        state=_STATE_TO_WIRE[description.state],
        control=str(description.control),
        owner=str(description.owner),
        entry=str(description.entry),
        freshness_age_ms=_freshness_ms(entry, now),
        promise_age_ms=None
        if promise is None
        else _age_ms(now - promise.made_at),
        promise_epoch=0 if promise is None else promise.epoch,
        released_epoch=entry.released_epoch,
    )


# Descriptions rarely change, and parsing one costs more than the rest of an
# entry.
@functools.lru_cache(maxsize=512)
def _description(
    host: str,
    zone: str,
    incarnation: str,
    state: int,
    control: str,
    owner: str,
    entry: str,
) -> membership.Description:
    return membership.Description(
        host,
        zone,
        incarnation,
        _STATE_FROM_WIRE[state],
        settings.Address.parse(control),
        settings.Address.parse(owner),
        settings.Address.parse(entry),
    )


def _from_wire(member: Any) -> membership.Report:
    try:
        description = _description(
            member.host,
            member.zone,
            member.incarnation,
            member.state,
            member.control,
            member.owner,
            member.entry,
        )
    except (KeyError, ValueError) as error:
        raise DigestError(f"member {member.host!r}: {error}") from error
    return membership.Report(
        description,
        _entitlement.age_from_wire(member.freshness_age_ms),
        None
        if member.promise_age_ms is None
        else _entitlement.age_from_wire(member.promise_age_ms),
        member.promise_epoch,
        member.released_epoch,
    )


def _freshness_ms(entry: membership.Entry, now: datetime.timedelta) -> int:
    proven = (
        entry.last_heard if entry.confirmed_at is None else entry.confirmed_at
    )
    return _age_ms(now - proven)


def _age_ms(age: datetime.timedelta) -> int:
    return min(_MAX_AGE_MS, _entitlement.ceil_ms(age))
