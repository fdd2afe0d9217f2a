"""Sends the updates of the lease that the rules ask for."""

import asyncio
import datetime
import logging

from sassafrashold import errors
from sassafrashold import lease
from sassafrashold.control import _node
from sassafrashold.control import _objects
from sassafrashold.control import _store

_LOGGER = logging.getLogger(__name__)
_TIMEOUT_S = _store.LEASE_CALL_TIMEOUT.total_seconds()

# Time between the first answer that there is no lease and its creation, so
# that hosts that start together are in the first epoch together.
_CREATE_DELAY = datetime.timedelta(seconds=1)
_READ_INTERVAL = datetime.timedelta(seconds=1)
_OTHERS_READ_INTERVAL = datetime.timedelta(seconds=5)


class LeaseWriter:
    """Writes the lease of the own zone, one update at a time."""

    def __init__(self, node: _node.Node, store: _store.Store) -> None:
        self._node = node
        self._store = store
        self._absent_since: datetime.timedelta | None = None
        self._read_at: datetime.timedelta | None = None
        self._distributed: tuple[int, tuple[lease.EarlierEpoch, ...]] | None = (
            None
        )

    async def step(self) -> None:
        """Sends the next update, if one is due, and waits for its end."""
        node = self._node
        now = node.now()
        if await self._read_if_needed(now):
            now = node.now()
        write = node.lease.next_write(now)
        if write is None and self._may_create(now):
            write = node.lease.first_write(now)
        if write is not None:
            await self._send(write)

    async def read(self) -> lease.ZoneLease | None:
        """Reads the lease and takes it over if it is newer.

        Returns:
            What was read, which may be stale; None if there is no lease or
            the store did not answer.
        """
        node = self._node
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                found = await self._store.get(node.lease_key)
        except (errors.StoreError, TimeoutError) as error:
            _LOGGER.debug("cannot read the lease", extra={"error": str(error)})
            return None
        now = node.now()
        node.lease.store_reached(now)
        if found is None:
            self._absent_since = self._absent_since or now
            return None
        self._absent_since = None
        return self._accept(found.version, found.value)

    async def _read_if_needed(self, now: datetime.timedelta) -> bool:
        """Reads the lease while there is no way to know that it is current."""
        state = self._node.lease
        renewed = state.renewal_time()
        if renewed is not None and now - renewed < lease.LEASE_TIME:
            return False
        proof = state.evidence(now)
        if proof is not None and now - proof.time < lease.LEASE_TIME:
            return False
        interval = _READ_INTERVAL
        if not self._node.is_reader():
            interval = _OTHERS_READ_INTERVAL
        if self._read_at is not None and now - self._read_at < interval:
            return False
        self._read_at = now
        await self.read()
        return True

    def _may_create(self, now: datetime.timedelta) -> bool:
        since = self._absent_since
        return since is not None and now - since >= _CREATE_DELAY

    def _accept(self, version: int, value: bytes) -> lease.ZoneLease | None:
        node = self._node
        try:
            document = lease.ZoneLease.decode(value)
            newer = node.lease.learn(document, version, node.now())
        except errors.SassafrasError as error:
            _LOGGER.error(
                "the lease is unreadable",
                extra={"version": version, "error": str(error)},
            )
            return None
        if newer:
            self._distribute(version, value)
        return document

    def _distribute(self, version: int, value: bytes) -> None:
        node = self._node
        node.objects.put(
            _objects.StoredObject(
                node.lease_key, version, value, node.now(), "store"
            )
        )

    async def _send(self, write: lease.Write) -> None:
        node = self._node
        sent = node.now()
        outcome, version = lease.Outcome.UNKNOWN, 0
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                version = await self._store.put(
                    node.lease_key, write.lease.encode(), write.expected_version
                )
            outcome = lease.Outcome.APPLIED
        except errors.StoreConflictError:
            outcome = lease.Outcome.CONFLICT
        except errors.StoreError as error:
            if error.ran is errors.Ran.NOT_RUN:
                outcome = lease.Outcome.NOT_RUN
        except TimeoutError:
            # The write may still be under way; it is read back below.
            outcome = lease.Outcome.UNKNOWN
        if outcome in (lease.Outcome.UNKNOWN, lease.Outcome.CONFLICT):
            found = await self.read()
            if found is not None and found.write_id == write.lease.write_id:
                outcome, version = lease.Outcome.APPLIED, node.lease.version
        node.lease.finish(
            write, outcome, version=version, sent=sent, now=node.now()
        )
        if outcome is lease.Outcome.APPLIED:
            self._applied(write, version)
        else:
            _LOGGER.info(
                "lease update was not applied",
                extra={"kind": write.kind.value, "outcome": outcome.value},
            )

    def _applied(self, write: lease.Write, version: int) -> None:
        if write.kind is not lease.WriteKind.RENEW:
            _LOGGER.info(
                "committed an epoch",
                extra={
                    "epoch": write.lease.epoch,
                    "members": [m.host for m in write.lease.members],
                },
            )
        content = (write.lease.epoch, write.lease.earlier)
        if content != self._distributed:
            self._distributed = content
            self._distribute(version, write.lease.encode())
