"""Facts for operators, each with its age and source."""

import datetime
from typing import Any

from sassafrashold import clock
from sassafrashold import lease
from sassafrashold.control import _node
from sassafrashold.control import _peers


def facts(node: _node.Node, peers: _peers.Peers) -> list[dict[str, Any]]:
    """Returns what this process knows; an unknown value is None.

    Args:
        node: The state of this process.
        peers: Its exchanges with peers.
    """
    return [
        *_own_facts(node),
        *_member_facts(node),
        *_lease_facts(node),
        *_object_facts(node),
        *_traffic_facts(node, peers.traffic),
    ]


def _own_facts(node: _node.Node) -> list[dict[str, Any]]:
    host = node.settings.host
    zero = datetime.timedelta()
    reached = node.lease.store_reached_at
    store_age = None if reached is None else node.now() - reached
    reachable = None
    if store_age is not None:
        reachable = store_age < lease.LEASE_TIME
    owner_age = node.owner.age(node.now())
    return [
        _fact("up_to_date", host, node.up_to_date_source, zero, host),
        _fact("store_reachable", host, reachable, store_age, "gateway"),
        _fact(
            "owner_incarnation",
            host,
            node.owner.incarnation or None,
            owner_age,
            "owner",
        ),
    ]


def _member_facts(node: _node.Node) -> list[dict[str, Any]]:
    now = node.now()
    return [
        _fact(
            "member",
            entry.description.host,
            entry.description.state.value,
            node.members.age(entry.description.host, now),
            "gossip",
        )
        for entry in node.members.entries()
    ]


def _lease_facts(node: _node.Node) -> list[dict[str, Any]]:
    now = node.now()
    zone = node.settings.zone
    situation = node.lease.situation(now)
    if situation is None:
        return [
            _fact("lease_epoch", zone, None, None, None),
            _fact("lease_evidence", zone, None, None, None),
        ]
    known = situation.lease
    proof = node.lease.evidence(now)
    learned = now - situation.learned
    return [
        _fact("lease_epoch", zone, known.epoch, learned, "lease"),
        _fact(
            "lease_members",
            zone,
            [member.host for member in known.members],
            learned,
            "lease",
        ),
        _fact(
            "lease_evidence",
            zone,
            None if proof is None else now - proof.time < lease.LEASE_TIME,
            None if proof is None else now - proof.time,
            None if proof is None else proof.source,
        ),
        *(
            _fact(
                "unreleased_owners",
                f"{zone}/{earlier.epoch}",
                [member.host for member in situation.unreleased(earlier)],
                learned,
                "lease",
            )
            for earlier in known.earlier
        ),
    ]


def _object_facts(node: _node.Node) -> list[dict[str, Any]]:
    now = node.now()
    return [
        _fact(
            "object_version",
            stored.key,
            stored.version,
            now - stored.received,
            stored.source,
        )
        for stored in node.objects
    ]


def _traffic_facts(
    node: _node.Node, traffic: _peers.Traffic
) -> list[dict[str, Any]]:
    host = node.settings.host
    age = node.now() - node.started
    values = {
        "exchanges_started": traffic.started,
        "exchanges_answered": traffic.answered,
        "exchanges_failed": traffic.failed,
        "gossip_sent_bytes": traffic.sent_bytes,
        "gossip_received_bytes": traffic.received_bytes,
    }
    return [
        _fact(name, host, value, age, "counter since start")
        for name, value in values.items()
    ]


def _fact(
    name: str,
    subject: str,
    value: Any,
    age: datetime.timedelta | None,
    source: str | None,
) -> dict[str, Any]:
    return {
        "name": name,
        "subject": subject,
        "value": value,
        "age_ms": None if age is None else max(0, clock.to_ms(age)),
        "source": source,
    }
