"""Guards against wrong routes, version rollback and skewed splits."""

import collections
import datetime
import random

from sassafrashold import routing

_LIMITS = routing.ClientLimits(
    max_header_bytes=16384,
    max_body_bytes=1000,
    header_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
)


def _route(name, prefix, target=None):
    return routing.Route(
        name=name,
        host="a.example",
        prefix=prefix,
        target=target or routing.SingleService(name),
        idempotent=True,
        max_leafs=2,
        timeout=datetime.timedelta(seconds=1),
        target_latency=datetime.timedelta(milliseconds=100),
        priority=1,
    )


def _configuration(version, *routes):
    ordered = sorted(routes, key=lambda r: -len(r.prefix))
    return routing.Configuration(
        version=version,
        routes_by_host={"a.example": tuple(ordered)},
        limits_by_service={},
        client_limits=_LIMITS,
    )


def test_longest_matching_prefix_wins():
    table = routing.RouteTable(random.Random(1))
    table.adopt(_configuration(1, _route("x", "/a/"), _route("y", "/a/b/")))
    cases = {
        ("a.example", "/a/b/c"): "y",
        ("A.example:80", "/a/c"): "x",
        ("a.example", "/a"): None,
        ("b.example", "/a/c"): None,
    }
    for (host, path), expected in cases.items():
        route = table.match(host, path)
        assert (route.name if route else None) == expected, path


def test_version_that_is_not_newer_is_rejected():
    table = routing.RouteTable(random.Random(1))
    assert table.adopt(_configuration(7, _route("x", "/a/")))
    assert not table.adopt(_configuration(5, _route("y", "/a/")))
    assert not table.adopt(_configuration(7, _route("y", "/a/")))
    assert table.current is not None
    assert table.current.version == 7
    route = table.match("a.example", "/a/")
    assert route is not None
    assert route.name == "x"


def test_split_keeps_its_weights_over_a_hundred_requests():
    split = routing.SplitTraffic(
        (
            routing.WeightedService("s", 9),
            routing.WeightedService("t", 1),
            routing.WeightedService("u", 0),
        )
    )
    route = _route("x", "/a/", split)
    table = routing.RouteTable(random.Random(1))
    table.adopt(_configuration(1, route))
    for version in range(2, 12):
        counts = collections.Counter(
            table.select_services(route)[0] for _ in range(100)
        )
        assert abs(counts["s"] - 90) <= 1
        assert counts["u"] == 0
        # A new version with an unchanged split continues the rotation.
        table.adopt(_configuration(version, route))
