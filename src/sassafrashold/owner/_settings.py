"""Settings of the owner daemon."""

import dataclasses

from sassafrashold import process
from sassafrashold import settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerSettings(process.ProcessSettings):
    """The section `[owner]`."""

    listen: settings.Address
    """Where entries and other owners connect."""

    control: settings.Address
    """The local control process."""

    drain_ms: int = settings.option(default=8000, minimum=0, maximum=600_000)
    """How long a leaving process waits for its successor."""

    static_share_slots: int = settings.option(default=0, minimum=0, maximum=64)
    """Above 0: slots per leaf without lease and cold start (baseline)."""
