"""A host and services with leafs in three zones, for tests of the policy."""

from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import random
from typing import TypeVar

from sassafrashold import calls
from sassafrashold import directory
from sassafrashold import routing
from sassafrashold import settings

_ValueT = TypeVar("_ValueT")
MS = datetime.timedelta(milliseconds=1)
ZONES = ("z1", "z2", "z3")


def entry(service: str, zone: str, slots: int = 3) -> directory.LeafEntry:
    """Returns a ready leaf named after its service and zone."""
    return directory.LeafEntry(
        ref=directory.LeafRef(f"{service}-{zone}", 1),
        service=service,
        address=settings.Address("10.0.0.1", 80),
        zone=zone,
        slots=slots,
        draining=False,
        cold_for=datetime.timedelta(),
    )


def configuration(
    version: int,
    routes: Sequence[routing.Route],
    limits_by_service: Mapping[str, routing.ServiceLimits] | None = None,
) -> routing.Configuration:
    """Returns a configuration with routes of the host `h`."""
    return routing.Configuration(
        version=version,
        routes_by_host={"h": tuple(routes)},
        limits_by_service=limits_by_service or {},
        client_limits=routing.ClientLimits(
            max_header_bytes=1,
            max_body_bytes=1,
            header_timeout=MS,
            idle_timeout=MS,
        ),
    )


class World:
    """State of one host and a route to `shards` services."""

    def __init__(
        self,
        shards: int = 1,
        *,
        hosts: int = 1,
        ratio: float = 0.2,
        burst: float = 50,
        max_connections: int = 30,
        max_cold_rps: float | None = None,
        idempotent: bool = True,
        max_leafs: int = 2,
        min_coverage: float = 0.89,
        target_latency_ms: int = 100,
    ) -> None:
        self.services = tuple(f"s{i}" for i in range(shards))
        self.gather = routing.Gather(self.services, 20, min_coverage)
        self.route = routing.Route(
            name="r",
            host="h",
            prefix="/",
            target=self.gather,
            idempotent=idempotent,
            max_leafs=max_leafs,
            timeout=1000 * MS,
            target_latency=target_latency_ms * MS,
            priority=1,
        )
        limits = routing.ServiceLimits(
            max_connections=max_connections,
            max_cold_rps=max_cold_rps,
            health_path="/health",
        )
        self.table = routing.RouteTable(random.Random(1))
        self.table.adopt(
            configuration(
                1, (self.route,), dict.fromkeys(self.services, limits)
            )
        )
        self.directory = directory.LeafDirectory(
            directory.GracePeriods(1000 * MS, 1000 * MS, 1000 * MS)
        )
        self.directory.replace_all(
            [entry(s, z) for s in self.services for z in ZONES], 0 * MS
        )
        names = tuple(f"h{i}" for i in range(hosts))
        self.state = calls.CallState(
            "z1",
            self.directory,
            self.table,
            calls.LimitShare(
                hosts=names,
                own_host="h0",
                extra_calls_ratio=ratio,
                extra_calls_burst=burst,
                extra_calls_window=10_000 * MS,
                cold_burst_factor=1.5,
                cold_slack=5,
            ),
            random.Random(1),
        )

    def fill_budgets(self, extra_calls: int) -> None:
        """Fills the budgets as many earlier requests would."""
        for service in self.services:
            for _ in range(
                int(extra_calls / self.state.share.extra_calls_ratio)
            ):
                self.state.budget(service).add_request(0 * MS)

    def call(self) -> calls.ServiceCall:
        """Returns a new call to the first service."""
        return calls.ServiceCall(self.state, self.route, self.services[0])

    def record_latencies(self, latency_ms: int = 20, count: int = 64) -> None:
        """Records answers of the usual latency for the route."""
        for _ in range(count):
            self.state.latency(self.route).record(latency_ms * MS, 0 * MS)

    def record_latency(self, now_ms: int, latency_ms: int = 20) -> None:
        """Records one answer of the usual latency for the route."""
        self.state.latency(self.route).record(latency_ms * MS, now_ms * MS)

    def plan(self, answer_at_ms: int = 90, end_ms: int = 900):
        """Returns a plan over all shards."""
        return calls.GatherPlan(
            self.state,
            self.route,
            self.gather,
            calls.GatherTimes(answer_at_ms * MS, end_ms * MS),
        )


def must(value: _ValueT | None) -> _ValueT:
    """Returns the value, which must not be None."""
    assert value is not None
    return value


def answered(body: bytes = b"0" * 16, signature: str = "sig"):
    """Returns the result of a successful call."""
    return calls.Answered(
        calls.LeafAnswer(
            status=200,
            headers=tuple,
            body=body,
            signature=signature,
            not_run=False,
            encoded=False,
        )
    )


def failed(kind: calls.FailureKind):
    """Returns the result of a failed call."""
    return calls.Failed(kind)
