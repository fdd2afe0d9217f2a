"""Decodes what operators and leafs write into the platform's store."""

from collections.abc import Mapping
import datetime
from typing import Any

from sassafrashold import directory
from sassafrashold import documents
from sassafrashold import front
from sassafrashold import relay
from sassafrashold import routing
from sassafrashold import settings

_IDEMPOTENT = "idempotent"
_ROUTE_TYPES = frozenset({_IDEMPOTENT, "non_idempotent"})
# Limits on numbers: larger ones do not fit into times and counts.
_MAX_NUMBER = 10**12
_MAX_UNIX_MS = 10**14
_LEAF_STATES = frozenset({"ready", "draining"})


def configuration(key: str, spec: Any) -> routing.Configuration:
    """Decodes a version of the configuration.

    Args:
        key: Key of the object, for messages.
        spec: The document.

    Raises:
        DocumentError: A field is missing or wrong. The whole version is
            unusable: part of it would be a configuration that nobody wrote.
    """
    document = _object(key, spec)
    routes_by_host: dict[str, list[routing.Route]] = {}
    names: set[str] = set()
    for item in documents.get(key, document, "routes", list):
        route = _route(key, _object(key, item))
        if route.name in names:
            raise documents.invalid(
                key, f"route {route.name!r} is listed twice"
            )
        names.add(route.name)
        routes_by_host.setdefault(route.host, []).append(route)
    limits_by_service: dict[str, routing.ServiceLimits] = {}
    for item in documents.get(key, document, "services", list):
        service = _object(key, item)
        name = documents.get(key, service, "name", str)
        if name in limits_by_service:
            raise documents.invalid(key, f"service {name!r} is listed twice")
        limits_by_service[name] = _service_limits(key, service)
    return routing.Configuration(
        version=documents.get(key, document, "version", int),
        routes_by_host={
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in routes_by_host.items()
        },
        limits_by_service=limits_by_service,
        client_limits=_client_limits(
            key, documents.get(key, document, "limits", dict)
        ),
    )


def leaf_entry(key: str, leaf_id: str, stored: Any) -> directory.LeafEntry:
    """Decodes the entry of a leaf.

    Args:
        key: Key of the object, for messages.
        leaf_id: Id under which the entry is stored.
        stored: Document that the leaf wrote.

    Raises:
        DocumentError: A field is missing, of another type or unknown.
    """
    spec = _object(key, stored)
    state = documents.get(key, spec, "state", str)
    if state not in _LEAF_STATES:
        raise documents.invalid(key, f"state: {state!r} is not known")
    text = documents.get(key, spec, "address", str)
    try:
        address = settings.Address.parse(text)
    except ValueError as error:
        raise documents.invalid(key, f"address: {error}") from error
    born = spec.get("born", 0)
    if (
        isinstance(born, bool)
        or not isinstance(born, int)
        or not 0 <= born <= _MAX_UNIX_MS
    ):
        raise documents.invalid(key, "born: expected Unix milliseconds")
    slots = documents.get(key, spec, "slots", int)
    if slots < 1:
        raise documents.invalid(key, "slots: expected 1 or more")
    return directory.LeafEntry(
        ref=directory.LeafRef(leaf_id, born),
        service=documents.get(key, spec, "service", str),
        address=address,
        zone=documents.get(key, spec, "zone", str),
        slots=slots,
        draining=state == "draining",
        cold_for=datetime.timedelta(
            milliseconds=_number(key, spec, "cold_remaining_ms")
        ),
    )


def registered_host(name: str, spec: Any) -> front.RegisteredHost:
    """Decodes the entry of a host of the system.

    Raises:
        DocumentError: A field is missing or wrong.
    """
    document = _object(name, spec)
    text = documents.get(name, document, "address", str)
    try:
        address = settings.Address.parse(text)
    except ValueError as error:
        raise documents.invalid(name, f"address: {error}") from error
    heartbeat = documents.get(name, document, "beat", int)
    if not 0 <= heartbeat <= _MAX_UNIX_MS:
        raise documents.invalid(name, "beat: expected Unix milliseconds")
    return front.RegisteredHost(
        relay.Peer(
            name,
            documents.get(name, document, "zone", str),
            address,
            _number(name, document, "link_mbps", 0.0),
        ),
        heartbeat,
    )


def _route(key: str, item: Mapping[str, Any]) -> routing.Route:
    document = dict(item)
    name = documents.get(key, document, "name", str)
    route_type = documents.get(key, document, "type", str)
    if route_type not in _ROUTE_TYPES:
        raise documents.invalid(
            key, f"route {name!r}: unknown type {route_type!r}"
        )
    target = _target(key, name, document)
    return routing.Route(
        name=name,
        host=documents.get(key, document, "host", str).lower(),
        prefix=documents.get(key, document, "path_prefix", str),
        target=target,
        idempotent=route_type == _IDEMPOTENT
        or isinstance(target, routing.Gather),
        max_leafs=max(int(_number(key, document, "attempts", 1)), 1),
        timeout=_milliseconds(key, document, "timeout_ms"),
        target_latency=_milliseconds(key, document, "target_latency_ms"),
        priority=int(_number(key, document, "priority", 0)),
    )


def _target(
    key: str, route: str, document: Mapping[str, Any]
) -> routing.Target:
    target_fields = [
        name
        for name in ("service", "traffic_split", "gather")
        if document.get(name)
    ]
    match target_fields:
        case ["service"]:
            return routing.SingleService(
                documents.get(key, dict(document), "service", str)
            )
        case ["traffic_split"]:
            return _split(key, route, document)
        case ["gather"]:
            shards = documents.get(key, dict(document), "gather", list)
            if not all(isinstance(shard, str) for shard in shards):
                raise documents.invalid(
                    key, f"route {route!r}: gather: expected names"
                )
            if len(set(shards)) != len(shards):
                raise documents.invalid(
                    key, f"route {route!r}: a shard is listed twice"
                )
            return routing.Gather(
                tuple(shards),
                int(_number(key, document, "top_k")),
                _number(key, document, "min_shard_fraction", 0),
            )
        case _:
            raise documents.invalid(
                key,
                f"route {route!r}: expected one target, got {target_fields}",
            )


def _split(
    key: str, route: str, document: Mapping[str, Any]
) -> routing.SplitTraffic:
    parts = tuple(
        routing.WeightedService(
            documents.get(key, part, "service", str),
            _number(key, part, "weight"),
        )
        for part in (
            _object(key, item)
            for item in documents.get(
                key, dict(document), "traffic_split", list
            )
        )
    )
    if not any(part.weight > 0 for part in parts):
        raise documents.invalid(key, f"route {route!r}: no weight above 0")
    return routing.SplitTraffic(parts)


def _service_limits(
    key: str, document: Mapping[str, Any]
) -> routing.ServiceLimits:
    max_cold_rps = _number(key, document, "cold_per_s", 0)
    return routing.ServiceLimits(
        max_connections=int(_number(key, document, "max_connections")),
        # 0 means that cold leafs of the service take full load.
        max_cold_rps=max_cold_rps if max_cold_rps > 0 else None,
        health_path=str(document.get("health_path", "")),
    )


def _client_limits(
    key: str, document: Mapping[str, Any]
) -> routing.ClientLimits:
    return routing.ClientLimits(
        max_header_bytes=int(_number(key, document, "max_header_bytes")),
        max_body_bytes=int(_number(key, document, "max_body_bytes")),
        header_timeout=_milliseconds(key, document, "header_timeout_ms"),
        idle_timeout=_milliseconds(key, document, "idle_timeout_ms"),
    )


def _object(key: str, value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise documents.invalid(key, "expected a JSON object")
    return value


def _number(
    key: str,
    document: Mapping[str, Any],
    name: str,
    default: float | None = None,
) -> float:
    value = document.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= _MAX_NUMBER
    ):
        raise documents.invalid(
            key, f"{name}: expected a number from 0 to {_MAX_NUMBER}"
        )
    return value


def _milliseconds(
    key: str, document: Mapping[str, Any], name: str
) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=_number(key, document, name))
