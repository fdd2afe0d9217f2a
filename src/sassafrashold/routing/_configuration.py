"""The decoded configuration of routes, service limits and client limits."""

from collections.abc import Mapping
import dataclasses
import datetime
import functools
import math

# Tolerance for floating-point rounding when shard counts are compared.
_ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service of a traffic split with its weight."""

    service: str
    """Service that receives the requests."""

    weight: float
    """Share of the requests, relative to the other weights of the split."""


@dataclasses.dataclass(frozen=True)
class SingleService:
    """Target that sends each request to one leaf of one service."""

    service: str
    """Name of the service."""


@dataclasses.dataclass(frozen=True)
class SplitTraffic:
    """Target that distributes requests over services by weight."""

    parts: tuple[WeightedService, ...]
    """The services; at least one has a weight above 0."""


@dataclasses.dataclass(frozen=True)
class Gather:
    """Target that sends a request to every shard and merges the answers."""

    shards: tuple[str, ...]
    """Names of the services, one for each shard."""

    top_records: int
    """Maximum number of records in the merged answer; the greatest are kept."""

    min_coverage: float
    """Minimum share of shards that must answer, 0 to 1."""

    def meets_min_coverage(self, shards: int) -> bool:
        """Returns whether that many shards reach the minimum coverage."""
        return (
            shards >= self.min_coverage * len(self.shards) - _ROUNDING_TOLERANCE
        )

    @property
    def max_missing(self) -> int:
        """Number of shards that an answer may leave out; one is always in."""
        shards = len(self.shards)
        required = math.ceil(self.min_coverage * shards - _ROUNDING_TOLERANCE)
        return shards - max(required, 1)


Target = SingleService | SplitTraffic | Gather


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """How requests for one host and path prefix are served."""

    name: str
    """Unique name of the route."""

    host: str
    """Value of the Host header, in lower case, without port."""

    prefix: str
    """Path prefix; starts and ends with a slash."""

    target: Target
    """Service or services that the requests are sent to."""

    idempotent: bool
    """Whether a request may be executed more than once."""

    max_leafs: int
    """Maximum number of leafs, for each shard, that may execute one request."""

    timeout: datetime.timedelta
    """Maximum time from the arrival of a request to its answer."""

    target_latency: datetime.timedelta
    """Latency within which an answer has its full value to the caller."""

    priority: int
    """Priority class; 0 is the most urgent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceLimits:
    """Load limits of the leafs of a service."""

    max_connections: int
    """Maximum connections to one leaf from all hosts together."""

    max_cold_rps: float | None
    """Maximum requests per second to one cold leaf; None if unlimited.

    Applies to the requests of all hosts together.
    """

    health_path: str
    """HTTP path of the health check."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Limits on the requests and connections of callers."""

    max_header_bytes: int
    """Maximum size of a request head."""

    max_body_bytes: int
    """Maximum size of a request body."""

    header_timeout: datetime.timedelta
    """Maximum time for a request head to arrive."""

    idle_timeout: datetime.timedelta
    """Minimum time for which an idle connection is kept open."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One complete version of the configuration."""

    version: int
    """Version number; increases with each change."""

    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes by Host header, longest prefix first."""

    limits_by_service: Mapping[str, ServiceLimits]
    """Limits of the leafs of each service."""

    client_limits: ClientLimits
    """Limits that apply to all callers."""

    def shards(self) -> frozenset[str]:
        """Returns the services that are shards of a gathering route."""
        return self._shards

    @functools.cached_property
    def _shards(self) -> frozenset[str]:
        return frozenset(
            shard
            for routes in self.routes_by_host.values()
            for route in routes
            if isinstance(route.target, Gather)
            for shard in route.target.shards
        )
