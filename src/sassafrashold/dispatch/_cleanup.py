"""Deletion of expired claims."""

import dataclasses
import datetime

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.dispatch import _claim

CLAIM_LIFETIME = datetime.timedelta(hours=24)


@dataclasses.dataclass(frozen=True)
class Cleanup:
    """Progress of one pass over the claims."""

    read: int
    """Number of claims that were processed."""

    deleted: int
    """Number of claims that were deleted."""

    next_key: str | None
    """First key of the next call; None at the end of the pass."""


async def delete_expired(
    store: store_lib.ObjectStore,
    clock: clock_lib.Clock,
    *,
    start_key: str = "",
    limit: int = 500,
) -> Cleanup:
    """Deletes claims that are older than 24 h.

    A call reads a bounded number of claims, so that a pass can be spread over
    time: the store also serves the configuration and must not be overloaded.

    Args:
        store: The store.
        clock: The clock. The wall clocks of all hosts are assumed to agree.
        start_key: First key to process, from `Cleanup.next_key`.
        limit: Maximum number of claims to read.

    Raises:
        StoreError: The store failed; the call may be repeated.
    """
    keys = sorted(
        key for key in await store.list(_claim.CLAIM_PREFIX) if key >= start_key
    )
    deleted = 0
    for key in keys[:limit]:
        deleted += await _delete_if_expired(store, clock, key)
    rest = keys[limit:]
    return Cleanup(len(keys) - len(rest), deleted, rest[0] if rest else None)


async def _delete_if_expired(
    store: store_lib.ObjectStore, clock: clock_lib.Clock, key: str
) -> bool:
    stored = await store.get(key)
    if stored is None:
        return False
    try:
        claim = _claim.Claim.decode(key, stored.value)
    except errors.DocumentError:
        return False
    if clock.now() - claim.claimed_at < CLAIM_LIFETIME:
        return False
    try:
        await store.delete(key, stored.version)
    except errors.StoreConflictError:
        return False
    return True
