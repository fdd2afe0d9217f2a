"""Settings of the front daemon."""

import dataclasses
import datetime

from sassafrashold import settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontSettings:
    """Host, addresses and limits that the daemon runs with."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    readiness_path: str
    """HTTP path of the readiness probe."""

    peer_address: settings.Address
    """Address on which this host serves its peers, the other hosts."""

    seeds: tuple[settings.Address, ...]
    """Addresses on which some other hosts serve their peers; may be stale."""

    link_mbps: float
    """Bandwidth of the host's link, in Mbit/s; 0 if it is not known."""

    max_answer_bytes: int
    """Maximum size of all leaf answers that are being received."""

    max_request_bytes: int
    """Maximum size of the bodies of all open requests of callers."""

    max_client_bytes: int
    """Maximum memory of the connections of all clients, with their requests."""

    max_caller_connections: int
    """Maximum number of open connections of callers."""

    max_peer_connections: int
    """Maximum number of open connections of other hosts."""

    bootstrap: bool
    """Whether this is the first start of the whole system."""

    metrics_address: settings.Address | None
    """Address on which metrics are served; None if they are not."""

    leaf_heartbeat: datetime.timedelta
    """Interval at which a leaf writes its entry."""

    leaf_drain_time: datetime.timedelta
    """How long a leaf may get requests after it began to drain."""

    shutdown_grace: datetime.timedelta
    """Time between SIGTERM and SIGKILL."""

    extra_calls_ratio: float
    """Extra calls (retries, hedges) per request to a service, by all hosts."""

    extra_calls_burst: float
    """Extra calls allowed on top of the ratio, by all hosts together."""

    extra_calls_window: datetime.timedelta
    """Length of the sliding window in which ratio and burst apply."""

    cold_burst_factor: float
    """Factor on the request rate that a cold leaf states."""

    cold_slack: float
    """Requests per second allowed on top of that rate."""
