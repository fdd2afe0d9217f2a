"""An in-memory store and helpers for tests of control."""

import asyncio
import contextlib
import datetime
import time

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import telemetry
from sassafrashold import wire
from sassafrashold.control import _daemon
from sassafrashold.control import _settings
from sassafrashold.control import _store

CLOCK = clock_lib.SystemClock()


class FakeStore:
    """Shared by all controls of a test."""

    def __init__(self):
        self.by_key = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        self.writes = []
        self.hosts = {}
        self.changed = asyncio.Condition()

    def _check(self):
        if self.down:
            raise errors.StoreError(errors.ErrorCode.STORE_UNAVAILABLE, "down")

    async def get(self, key):
        self._check()
        return self.by_key.get(key, _store.Versioned(0, b""))

    async def put(self, key, expected_version, value):
        self._check()
        found = (await self.get(key)).version
        if found != expected_version:
            raise errors.StoreConflictError(key, expected_version, found)
        self.version += 1
        self.by_key[key] = _store.Versioned(self.version, value)
        self.writes.append(key)
        async with self.changed:
            self.changed.notify_all()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.StoreError(
                errors.ErrorCode.STORE_AMBIGUOUS,
                "answer lost",
                ran=errors.Ran.OUTCOME_UNKNOWN,
            )
        return self.version

    async def watch(self, key, known_version, wait):
        self._check()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()), self.changed:
                await self.changed.wait_for(
                    lambda: (
                        self.by_key.get(key, _store.Versioned(0, b"")).version
                        != known_version
                    )
                )
                return self.by_key[key]
        return None

    async def list_versions(self, prefix):
        self._check()
        return {
            key: found.version
            for key, found in self.by_key.items()
            if key.startswith(prefix)
        }

    async def host_list(self):
        self._check()
        as_of = clock_lib.to_unix_ms(CLOCK.now())
        hosts = [
            {"host": host, "zone": zone, "state": "live"}
            for host, zone in self.hosts.items()
        ]
        return _store.Versioned(
            as_of, documents.dump({"as_of_unix_ms": as_of, "hosts": hosts})
        )


class Host:
    """A control with a fake owner that calls it as the real one does."""

    def __init__(self, name, zone, store, seeds=(), listen=None):
        self.name = name
        self.incarnation = f"{name}-1"
        self.released_epoch = 0
        self.leaving = False
        self.reply = None
        self.store = store
        self._values = _settings.ControlSettings(
            host=name,
            zone=zone,
            listen=listen or settings.Address("127.0.0.1", 0),
            owner=settings.Address("127.0.0.1", 1),
            entry=settings.Address("127.0.0.1", 2),
            seeds=tuple(seeds),
            gossip_interval_ms=100,
        )
        self._tasks = []

    async def start(self):
        self.daemon = _daemon.Daemon(
            self._values, CLOCK, telemetry.NullMetrics(), self.store
        )
        self.address = await self.daemon.start()
        self.client = rpc.Client(self.address, CLOCK)
        self.start_owner()
        return self

    def start_owner(self):
        self._tasks.append(asyncio.create_task(self._call()))

    async def stop_owner(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def stop(self):
        await self.stop_owner()
        await self.client.close()
        await self.daemon.close()

    async def call(self, method, request, reply_type):
        body = await self.client.call(
            method,
            wire.encode(request),
            deadline=CLOCK.now() + datetime.timedelta(seconds=2),
        )
        return wire.decode(reply_type, body)

    async def _call(self):
        while True:
            with contextlib.suppress(errors.RpcError):
                self.reply = await self.call(
                    "entitlement",
                    wire.messages.EntitlementRequest(
                        incarnation=self.incarnation,
                        released_epoch=self.released_epoch,
                        leaving=self.leaving,
                    ),
                    wire.messages.EntitlementReply,
                )
                if self.reply.member:
                    self.released_epoch = self.reply.epoch
            await asyncio.sleep(0.05)

    def fresh(self):
        """Whether the owner may use all its slots."""
        age = self.reply and self.reply.evidence_age_ms
        return age is not None and age < 3000


async def eventually(condition, seconds=15):
    """Waits until a condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition did not come true"
        await asyncio.sleep(0.02)
