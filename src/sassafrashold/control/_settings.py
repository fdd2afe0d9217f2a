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

    gossip_interval_ms: int = settings.option(
        default=500, minimum=50, maximum=5000
    )
    """Time between exchanges with hosts of the own zone."""
