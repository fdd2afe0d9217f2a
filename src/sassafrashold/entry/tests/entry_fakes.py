"""Fakes of owners and of control, and a running daemon."""

import asyncio
import collections
import contextlib
import datetime
import json
from typing import Any

import aiohttp

from sassafrashold import clock as clock_lib
from sassafrashold import dispatch
from sassafrashold import errors
from sassafrashold import index
from sassafrashold import lease
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold import table as table_lib
from sassafrashold import wire
from sassafrashold.entry import _daemon
from sassafrashold.entry import _settings

CLOCK = clock_lib.SystemClock()
ANY_PORT = settings.Address("127.0.0.1", 0)
SERVICE = "tide-desk"
ZONES = ("luzon-a", "visayas-a")


class FakeOwner:
    """Answers scatter requests as told by `answer_by_leaf`."""

    def __init__(self):
        self.asked = []
        self.versions_by_request = collections.defaultdict(set)
        self.cancelled = []
        self.traceparents = []
        self.answer_by_leaf = {}
        self.server = rpc.Server(
            {"scatter": self._scatter, "dispatch": self._dispatch}, CLOCK
        )

    async def _scatter(self, context, body):
        request = wire.decode(wire.messages.ScatterRequest, body)
        self.traceparents.append(context.traceparent)
        await asyncio.gather(
            *(self._one(context, request, s) for s in request.subqueries)
        )
        return wire.encode(
            wire.messages.ScatterEnd(results=len(request.subqueries))
        )

    async def _one(self, context, request, sub):
        request_id = request.request_id.partition("~")[0]
        self.versions_by_request[request_id].add(request.index_version)
        self.asked.append((request.index_version, sub.shard, sub.leaf))
        answer = self.answer_by_leaf.get(sub.leaf, rows_of)
        try:
            for result in await answer(request, sub):
                await context.emit(wire.encode(result))
        except asyncio.CancelledError:
            self.cancelled.append((sub.shard, sub.leaf))
            raise

    async def _dispatch(self, context, body):
        request = wire.decode(wire.messages.DispatchRequest, body)
        answer = self.answer_by_leaf.get("dispatch")
        if answer is not None:
            await answer(request)
        return wire.encode(wire.messages.DispatchReply(result=b'{"sent":1}'))


def result(request, sub, version=None, rows=None):
    """Returns the result of one sub-query."""
    return wire.messages.ShardResult(
        shard=sub.shard,
        leaf=sub.leaf,
        rows=rows or json.dumps([f"row-{sub.shard}"]).encode(),
        index_version=version or request.index_version,
        queue_ms=0,
        leaf_ms=1,
        batch_size=1,
    )


async def rows_of(request, sub):
    """Answers at once."""
    return [result(request, sub)]


def failing(code, ran=errors.Ran.NOT_RUN):
    """Returns an answer that is an error."""

    async def answer(request, sub):
        return [
            wire.messages.ShardResult(
                shard=sub.shard,
                leaf=sub.leaf,
                error=wire.error_to_wire(
                    errors.LeafError(code, "refused", ran=ran)
                ),
            )
        ]

    return answer


def delayed(seconds, then=rows_of):
    """Returns an answer that comes late."""

    async def answer(request, sub):
        await asyncio.sleep(seconds)
        return await then(request, sub)

    return answer


def row(**changes):
    """Returns the row of the service."""
    values: dict[str, Any] = {
        "service": SERVICE,
        "weight_by_zone": dict.fromkeys(ZONES, 1),
        "slots_per_leaf": 2,
        "connections_per_leaf": 35,
        "deadline_ms": 2000,
        "hedge_percent": 50,
    }
    return table_lib.ServiceRow(**(values | changes))


def shardmap(versions=("v2", "v1"), shards=4, service=SERVICE):
    """Returns versions whose shards have a replica in each zone."""
    leafs = {
        f"{zone}-{shard}": index.Leaf(
            f"{zone}-{shard}", zone, f"up-{zone}", ANY_PORT
        )
        for zone in ZONES
        for shard in range(shards)
    }
    replicas = tuple(
        tuple(f"{zone}-{shard}" for zone in ZONES) for shard in range(shards)
    )
    return index.ShardMap(
        service, tuple(index.IndexVersion(v, replicas) for v in versions), leafs
    )


class Fixture:
    """A daemon with one fake owner for each zone."""

    def __init__(self, daemon, owner_by_zone, session, stopping, task):
        self.daemon = daemon
        self.stopping = stopping
        self.task = task
        self.owner_by_zone = owner_by_zone
        self.session = session
        self.version = 1

    def apply(self, key, document):
        """Puts an object into the daemon's view."""
        self.version += 1
        self.daemon.feed.apply(key, self.version, document.encode())

    def answer(self, leaf_id, answer):
        """Sets how a leaf answers."""
        zone = leaf_id.rpartition("-")[0]
        self.owner_by_zone[zone].answer_by_leaf[leaf_id] = answer

    def asked(self):
        """Returns all sub-queries that owners got."""
        return [a for o in self.owner_by_zone.values() for a in o.asked]

    async def search(self, headers=None, service=SERVICE, **body):
        """Searches and returns status and document."""
        async with self.session.post(
            f"/v1/services/{service}/search",
            json={"query": "tides"} | body,
            headers=headers,
        ) as response:
            return response.status, await response.json()


def values_for(**changes):
    """Returns settings with free ports."""
    values: dict[str, Any] = {
        "host": "entry-1",
        "zone": "luzon-a",
        "listen_http": ANY_PORT,
        "listen_thrift": ANY_PORT,
        "control": settings.Address("127.0.0.1", 1),
        "owner": settings.Address("127.0.0.1", 1),
        "platform": settings.Address("127.0.0.1", 1),
        "balancer_ms": 0,
        "drain_ms": 2000,
    }
    return _settings.EntrySettings(**(values | changes))


@contextlib.asynccontextmanager
async def running(table_row=None, shards=None, **changes):
    """Runs a daemon whose view is known."""
    owner_by_zone = {zone: FakeOwner() for zone in ZONES}
    parts = _daemon.PlatformParts(
        dispatch.Dispatcher(store_lib.MemoryStore(), "entry-1", CLOCK),
        _nothing,
        {},
        _nothing,
    )
    daemon = _daemon.Daemon(values_for(**changes), CLOCK, parts)
    stopping = asyncio.Event()
    task = asyncio.create_task(daemon.run(stopping))
    while daemon.http_address is None:
        assert not task.done(), task.exception()
        await asyncio.sleep(0.001)
    async with aiohttp.ClientSession(
        f"http://{daemon.http_address}"
    ) as session:
        fixture = Fixture(daemon, owner_by_zone, session, stopping, task)
        fixture.apply(
            table_lib.TABLE_KEY, table_lib.Table(1, (table_row or row(),))
        )
        fixture.apply(f"shardmaps/{SERVICE}", shards or shardmap())
        for zone, owner in owner_by_zone.items():
            address = await owner.server.start(ANY_PORT)
            member = lease.Member(
                f"host-{zone}", "1", address, ANY_PORT, ANY_PORT
            )
            fixture.apply(
                f"leases/{zone}",
                lease.ZoneLease(zone, 1, (member,), (), 1, "w"),
            )
        try:
            yield fixture
        finally:
            stopping.set()
            await asyncio.wait_for(task, 10)
            for owner in owner_by_zone.values():
                await owner.server.close()


def seconds(number):
    """Returns a duration."""
    return datetime.timedelta(seconds=number)


async def until(condition):
    """Waits until a condition of another task holds."""
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


async def _nothing(*arguments):
    """Stands in for platform calls that these tests do not look at."""
