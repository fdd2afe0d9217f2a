"""A fake leaf, a fake control and an owner daemon in one event loop."""

import asyncio
import contextlib
import datetime
import json

from aiohttp import web
import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import lease
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.owner import _daemon
from sassafrashold.owner import _settings

ZONE = "zone-a"
CLOCK = clock_lib.SystemClock()
ANY_PORT = settings.Address("127.0.0.1", 0)


class FakeLeaf:
    """Answers after `gate` is open and records what it ran."""

    def __init__(self):
        self.calls = []
        self.cancelled = []
        self.running = 0
        self.most_at_once = 0
        self.generation = 1
        self.refusal = None
        self.gate = asyncio.Event()
        self.gate.set()
        self.delay_s = 0.0
        self.repeat = 1
        self.lose_next = False

    async def start(self):
        app = web.Application(client_max_size=rpc.MAX_FRAME_BYTES)
        app.router.add_post("/v1/query", self._query)
        app.router.add_post("/v1/dispatch", self._dispatch)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        app.router.add_get("/v1/health", self._health)
        self._runner = web.AppRunner(app, shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = settings.Address("127.0.0.1", port)

    async def close(self):
        self.gate.set()
        await self._runner.cleanup()

    async def _run(self, request):
        body = await request.json()
        if self.refusal is not None:
            status, code = self.refusal
            return None, web.json_response(
                {"error": code, "ran": False}, status=status
            )
        self.calls.append(body)
        if self.lose_next:
            self.lose_next = False
            request.transport.abort()
        self.running += 1
        self.most_at_once = max(self.most_at_once, self.running)
        await self.gate.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        self.running -= 1
        return body, None

    async def _query(self, request):
        body, refusal = await self._run(request)
        return refusal or web.json_response(
            {
                "index_version": body["index_version"],
                "generation": self.generation,
                "items": [
                    {
                        "id": item["id"],
                        "rows": [item["shard"], item["query"]] * self.repeat,
                    }
                    for item in body["items"]
                ],
            }
        )

    async def _dispatch(self, request):
        body, refusal = await self._run(request)
        return refusal or web.json_response(
            {"result": {"did": body["body"]}, "generation": self.generation}
        )

    async def _cancel(self, request):
        self.cancelled.append(request.match_info["id"])
        return web.json_response({"cancelled": 1})

    async def _health(self, request):
        return web.json_response(
            {"state": "serving", "generation": self.generation, "load": 0}
        )


class FakeControl:
    """Hands out objects and entitlements; keeps the requests."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.requests = []
        self.members = ("host-1",)
        self.epoch = 1
        self.evidence_age_ms = 0
        self.earlier = []

    async def start(self):
        self._server = rpc.Server(
            {"subscribe": self._subscribe, "entitlement": self._entitlement},
            CLOCK,
        )
        self.address = await self._server.start(ANY_PORT)

    async def close(self):
        await self._server.close()

    async def put(self, key, value):
        async with self.changed:
            self.version += 1
            self.objects[key] = (self.version, json.dumps(value).encode())
            self.changed.notify_all()

    async def _subscribe(self, context, body):
        sent = 0
        while True:
            for key, (version, value) in sorted(
                self.objects.items(), key=lambda item: item[1][0]
            ):
                if version > sent:
                    await context.emit(
                        wire.encode(
                            wire.messages.ViewObject(
                                key=key, version=version, value=value
                            )
                        )
                    )
                    sent = version
            async with self.changed:
                while self.version <= sent:
                    await self.changed.wait()

    async def _entitlement(self, context, body):
        request = wire.decode(wire.messages.EntitlementRequest, body)
        self.requests.append(request)
        return wire.encode(
            wire.messages.EntitlementReply(
                zone=ZONE,
                epoch=self.epoch,
                members=list(self.members),
                evidence_age_ms=self.evidence_age_ms,
                earlier=self.earlier,
                member="host-1" in self.members,
            )
        )


class Setup:
    """One owner with its control and leafs."""

    def __init__(self):
        self.control = FakeControl()
        self.leaf = FakeLeaf()
        self.stopping = asyncio.Event()
        self.static_share_slots = 0

    async def start(self, *, shards=4, marks=None, **cells):
        await self.leaf.start()
        await self.control.start()
        self.row = {
            "service": "almanac",
            "zones": f"{ZONE}=1",
            "slots_per_leaf": "3",
            "connections_per_leaf": "30",
            "kind": "both",
            "warmup_successes": "1",
            **cells,
        }
        await self.put_table(marks or {"zones": [], "hosts": []})
        await self.control.put(
            "shardmaps/almanac",
            {
                "service": "almanac",
                "versions": [
                    {"version": "v1", "shards": [["leaf-1"]] * shards}
                ],
                "leafs": {
                    "leaf-1": {
                        "zone": ZONE,
                        "host": "up-1",
                        "address": str(self.leaf.address),
                    }
                },
            },
        )
        self.daemon = _daemon.Daemon(
            _settings.OwnerSettings(
                host="host-1",
                zone=ZONE,
                listen=ANY_PORT,
                control=self.control.address,
                drain_ms=1500,
                static_share_slots=self.static_share_slots,
            ),
            CLOCK,
        )
        self.running = asyncio.create_task(self.daemon.run(self.stopping))
        await self.until(self._ready)
        self.client = rpc.Client(self.daemon.address, CLOCK)

    def _ready(self):
        if self.static_share_slots:
            return self.daemon.registry._known_leafs
        return "leaf-1" in self.daemon.registry.task_by_leaf

    async def close(self):
        await self.client.close()
        self.running.cancel()
        with contextlib.suppress(asyncio.CancelledError, errors.LeaseError):
            await self.running
        await self.control.close()
        await self.leaf.close()

    async def put_table(self, marks):
        await self.control.put(
            "config/table",
            {"revision": 1, "rows": [self.row], "marks": marks, "edits": []},
        )

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    def now(self):
        return CLOCK.monotonic()

    def deadline(self, seconds=3.0):
        return CLOCK.now() + datetime.timedelta(seconds=seconds)

    async def scatter(self, *subqueries, query=b'{"q":1}', **fields):
        """Returns (shard, rows or error code, ran) in order of arrival."""
        request = wire.messages.ScatterRequest(
            request_id="r1",
            service_name="almanac",
            index_version="v1",
            query=query,
            subqueries=[
                wire.messages.SubQuery(shard=shard, leaf=leaf, extra=extra)
                for shard, leaf, extra in subqueries
            ],
            priority_class="normal",
            **fields,
        )
        items = [
            item
            async for item in self.client.stream(
                "scatter", wire.encode(request), deadline=self.deadline()
            )
        ]
        end = wire.decode(wire.messages.ScatterEnd, items.pop())
        assert end.results == len(items)
        results = [wire.decode(wire.messages.ShardResult, i) for i in items]
        return [
            (r.shard, json.loads(r.rows))
            if r.error is None
            else (r.shard, r.error.code, r.error.ran)
            for r in results
        ]

    async def warm(self):
        """Brings the leaf to its full window."""
        state = self.daemon.registry.task_by_leaf["leaf-1"].aggregate.state
        while state.cold:
            await self.scatter((0, "leaf-1", False))
        return state

    async def dispatch(self, seconds=3.0):
        request = wire.messages.DispatchRequest(
            request_id="r2",
            service_name="almanac",
            idempotency_key="k1",
            claim_id="c1",
            leaf="leaf-1",
            body=b'{"do":1}',
        )
        try:
            answer = await self.client.call(
                "dispatch",
                wire.encode(request),
                deadline=self.deadline(seconds),
            )
        except errors.RpcError as error:
            return error.code, error.ran
        return json.loads(
            wire.decode(wire.messages.DispatchReply, answer).result
        )

    async def put_lease(self, *hosts, epoch, addresses=None):
        """Publishes a lease document with these members."""
        value = lease.ZoneLease(
            ZONE,
            epoch,
            tuple(
                lease.Member(
                    host,
                    self.daemon.rights.incarnation if host == "host-1" else "x",
                    (addresses or {}).get(host, ANY_PORT),
                    ANY_PORT,
                    ANY_PORT,
                )
                for host in hosts
            ),
            (),
            1,
            "w",
        )
        await self.control.put(f"leases/{ZONE}", json.loads(value.encode()))


@pytest.fixture
async def setup():
    value = Setup()
    yield value
    await value.close()
