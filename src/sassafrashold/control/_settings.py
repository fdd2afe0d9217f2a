"""Settings of the control daemon, section `[control]`."""

import dataclasses

from sassafrashold import process
from sassafrashold import settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSettings(process.ProcessSettings):
    """Settings of the control daemon."""

    listen: settings.Address
    """Where it serves Thrift."""

    owner: settings.Address
    """Thrift address of the local owner."""

    entry: settings.Address
    """Thrift address of the local entry."""

    seeds: tuple[settings.Address, ...] = ()
    """Control addresses to ask before any lease is known."""

    drain_ms: int = settings.option(default=9000, minimum=0, maximum=600_000)
    """How long a leaving process waits for its owner to hand over."""

    gossip_interval_ms: int = settings.option(
        default=500, minimum=50, maximum=5000
    )
    """Time between exchanges with hosts of the own zone."""
