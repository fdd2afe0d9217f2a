"""Deletion of old claims by one host of the deployment."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from sassafrashold import errors
from sassafrashold import membership
from sassafrashold import views

_LOGGER = logging.getLogger(__name__)
# A pass reads all claims, and the store serves the configuration as well.
_BATCH_PAUSE_S = 5.0
_PASS_PAUSE_S = 1800.0

DeleteBatch = Callable[[str], Awaitable[str | None]]
"""Deletes expired claims from a key on; returns where to go on."""


def is_responsible(view: views.View, host: str) -> bool:
    """Returns whether a host renews the lease of the first zone by name.

    The first member by rendezvous hashing of the zone name renews. Two hosts
    with different views may both delete, which does no harm.
    """
    if not view.lease_by_zone:
        return False
    zone = min(view.lease_by_zone)
    members = view.lease_by_zone[zone].member_by_host
    return membership.choose(zone, members) == host


async def clean_up(
    current: Callable[[], views.View], host: str, delete: DeleteBatch
) -> None:
    """Deletes old claims for ever while this host is responsible."""
    while True:
        await asyncio.sleep(_BATCH_PAUSE_S)
        if not is_responsible(current(), host):
            continue
        start_key: str | None = ""
        while start_key is not None:
            try:
                start_key = await delete(start_key)
            except errors.StoreError as error:
                _LOGGER.warning(
                    "old claims are not deleted now",
                    extra={"code": error.code.value},
                )
            await asyncio.sleep(_BATCH_PAUSE_S)
        await asyncio.sleep(_PASS_PAUSE_S)
