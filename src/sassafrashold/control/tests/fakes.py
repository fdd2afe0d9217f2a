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

CLOCK = clock_lib.SystemClock()


def list_hosts(store, names, zone="luzon-a", leaving=()):
    """Sets the platform's host list."""
    as_of = clock_lib.to_unix_ms(CLOCK.now())
    hosts = [
        {
            "host": name,
            "zone": zone,
            "state": "leaving" if name in leaving else "live",
        }
        for name in names
    ]
    store.set_host_list(
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

    async def subscribe(self):
        """Yields the objects of a subscription."""
        request = wire.messages.SubscribeRequest(process="test", prefixes=[])
        async with contextlib.aclosing(
            self.client.stream(
                "subscribe",
                wire.encode(request),
                deadline=CLOCK.now() + datetime.timedelta(minutes=1),
            )
        ) as items:
            async for item in items:
                yield wire.decode(wire.messages.ViewObject, item)

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
