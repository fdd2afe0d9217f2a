"""Settings of the entry daemon."""

import dataclasses

from sassafrashold import process
from sassafrashold import settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(process.ProcessSettings):
    """Section `[entry]`."""

    listen_http: settings.Address
    """Where callers and the balancer connect."""

    listen_thrift: settings.Address
    """Where the control of this host reaches the platform gateway."""

    control: settings.Address
    """Thrift address of the control of this host."""

    owner: settings.Address
    """Thrift address of the owner of this host."""

    platform: settings.Address
    """HTTP address of the platform."""

    combine: str = settings.option(default="direct", choices=("direct", "zone"))
    """Send a message per owner (direct) or per zone (zone)."""

    drain_ms: int = settings.option(default=5000, minimum=0, maximum=600000)
    """Time for requests under way to finish after accepting has ended."""

    balancer_ms: int = settings.option(default=1000, minimum=0, maximum=60000)
    """Time to go on accepting after the readiness is withdrawn."""

    hedging: bool = True
    """Whether sub-queries are hedged."""
