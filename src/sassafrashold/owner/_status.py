"""Facts about this process, for `sassafras-ctl status`."""

import datetime
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import views
from sassafrashold import wire
from sassafrashold.owner import _registry
from sassafrashold.owner import _rights


def encode(
    view: views.View,
    rights: _rights.Rights,
    registry: _registry.Registry,
    now: datetime.timedelta,
    *,
    leaving: bool,
    released_epoch: int,
) -> bytes:
    """Returns the encoded `StatusReply`."""
    known = rights.entitlement
    age = None if known.evidence_at is None else now - known.evidence_at
    host = known.host
    facts = [
        _fact("owner.incarnation", host, rights.incarnation),
        _fact("owner.leaving", host, leaving),
        _fact("owner.released_epoch", host, released_epoch),
        _fact("owner.member", host, known.member, age, "control"),
        _fact("lease.epoch", rights.zone, known.epoch, age, "control"),
        _fact(
            "lease.members", rights.zone, list(known.members), age, "control"
        ),
    ]
    for key, source in sorted(view.source_by_key.items()):
        facts.append(
            _fact(
                "view.version",
                key,
                source.version,
                now - source.received,
                "control",
            )
        )
    for leaf_id, task in sorted(registry.task_by_leaf.items()):
        facts += _leaf_facts(leaf_id, task)
    return wire.encode(wire.messages.StatusReply(value=documents.dump(facts)))


def _leaf_facts(leaf_id: str, task: Any) -> list[dict[str, Any]]:
    state = task.aggregate.state
    grant = task.grant()
    values = {
        "phase": state.phase.value,
        "slots_granted": grant.slots,
        "grant_basis": grant.basis.value,
        "window": state.window,
        "in_use": state.in_use(),
        "queued": len(task.aggregate.queue),
        "generation": state.generation,
        "cold_starts": state.cold_starts,
        "p50_ms": round(state.latency.quantile(0.5).total_seconds() * 1000, 2),
        "p95_ms": round(state.latency.quantile(0.95).total_seconds() * 1000, 2),
    }
    return [
        _fact(f"leaf.{name}", leaf_id, value) for name, value in values.items()
    ]


def _fact(
    name: str,
    subject: str,
    value: Any,
    age: datetime.timedelta | None = datetime.timedelta(),
    source: str = "owner",
) -> dict[str, Any]:
    return {
        "name": name,
        "subject": subject,
        "value": value,
        "age_ms": None if age is None else clock_lib.to_ms(age),
        "source": source,
    }
