"""The tasks of a control process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import logging
import random
import secrets

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold import telemetry
from sassafrashold.control import _handlers
from sassafrashold.control import _lease_writer
from sassafrashold.control import _node
from sassafrashold.control import _objects
from sassafrashold.control import _peers
from sassafrashold.control import _readers
from sassafrashold.control import _settings
from sassafrashold.control import _store

_LOGGER = logging.getLogger(__name__)

_LEASE_STEP_S = 0.2
# Neighbours in the tree are asked every third turn, and every second turn while
# there are no renewals: promises then have to go up and down the tree within L.
_TREE_TURN_S = 0.17
_TREE_TURNS = 3
_TREE_TURNS_WITHOUT_RENEWALS = 2
_RENEWALS_MISSING_AFTER = datetime.timedelta(milliseconds=1500)
_OTHER_ZONE_S = 2.0
_SHARDMAPS_S = 1.0
_OTHER_LEASES_S = 5.0
_HOSTS_S = 2.0
_RETRY_S = 1.0
# Longer than the entry of the same host takes to start, because control
# reaches the store through it.
_STORE_PATIENCE = datetime.timedelta(seconds=3)
_HOUSEKEEPING_S = 5.0
_DRAIN_STEP_S = 0.1
# An owner that is told to stop together with control says so by its next call.
_OWNER_NOTICE = datetime.timedelta(seconds=1)
# Peers ask for the last state of this host at once, but can need a second try.
_FAREWELL = datetime.timedelta(seconds=1)
_JITTER = 0.2


class Daemon:
    """A control process; usable in a test without a process of its own."""

    def __init__(
        self,
        values: _settings.ControlSettings,
        clock: clock_lib.Clock,
        metrics: telemetry.Metrics,
        store: _store.Store | None = None,
        chance: random.Random | None = None,
    ) -> None:
        """Initializes the daemon.

        Args:
            values: The settings.
            clock: The clock.
            metrics: Where metrics go.
            store: Replaces the gateway of the local entry.
            chance: Chooses peers and jitter.
        """
        self._values = values
        self._clock = clock
        self._metrics = metrics
        self._random = chance or random.Random()
        self._entry = rpc.Client(values.entry, clock)
        self._store = store or store_lib.GatewayStore(self._entry, clock)
        self._handlers: dict[str, rpc.Handler] = {}
        self._server = rpc.Server(
            dict.fromkeys(_handlers.Handlers.METHODS, self._dispatch),
            clock,
            metrics,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._tree_turn = 0
        self.node: _node.Node
        """State of the process; set by `start`."""

    async def start(self) -> settings.Address:
        """Binds the port and starts all tasks.

        Returns:
            The bound address.
        """
        address = await self._server.start(self._values.listen)
        # The start counts from here: a previous process of this host that
        # was only paused would still hold the port.
        values = dataclasses.replace(self._values, listen=address)
        self.node = _node.Node(
            values, self._clock, lambda: secrets.token_hex(16)
        )
        self._peers = _peers.Peers(self.node, self._clock, self._random)
        handlers = _handlers.Handlers(self.node, self._peers)
        self._handlers = handlers.by_method()
        self.node.objects.changes.subscribe(self._announce)
        self._run_tasks()
        return address

    async def drain(self) -> None:
        """Stays until the peers know that the local owner has handed over.

        Without the release that only this process can pass on, the new owners
        of its leafs would have to wait out the hold-back.
        """
        begin = self.node.now()
        end = begin + clock_lib.from_ms(self._values.drain_ms)
        handed_over: datetime.timedelta | None = None
        while (now := self.node.now()) < end:
            if not self.node.owner.leaving and now - begin > _OWNER_NOTICE:
                return
            if self.node.owner.leaving and self.node.has_handed_over():
                handed_over = handed_over or now
                if now - handed_over > _FAREWELL:
                    return
            await asyncio.sleep(_DRAIN_STEP_S)
        _LOGGER.warning("the owner did not hand over in time")

    async def close(self) -> None:
        """Ends all tasks and closes the port."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.close()
        await self._server.close()
        await self._entry.close()

    async def _dispatch(
        self, context: rpc.RequestContext, body: bytes
    ) -> bytes:
        handler = self._handlers.get(context.method)
        if handler is None:
            raise errors.RpcError(errors.ErrorCode.NOT_READY, "starting")
        return await handler(context, body)

    def _announce(self, stored: _objects.StoredObject) -> None:
        self._metrics.count("control.objects")
        self._peers.announce([stored.key])

    def _run_tasks(self) -> None:
        self._writer = _lease_writer.LeaseWriter(self.node, self._store)
        readers = _readers.Readers(self.node, self._store)
        interval = self._values.gossip_interval_ms / 1000
        for step, seconds in (
            (self._step_lease, _LEASE_STEP_S),
            (self._gossip_in_zone, interval),
            (self._pull_on_tree, _TREE_TURN_S),
            (self._gossip_with_other_zone, _OTHER_ZONE_S),
            (readers.read_shardmaps, _SHARDMAPS_S),
            (readers.read_other_leases, _OTHER_LEASES_S),
            (readers.read_hosts, _HOSTS_S),
            (self._housekeeping, _HOUSEKEEPING_S),
        ):
            self._tasks.append(asyncio.create_task(self._repeat(step, seconds)))
        self._tasks.append(asyncio.create_task(self._load(readers)))
        self._tasks.append(asyncio.create_task(self._watch(readers)))

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], seconds: float
    ) -> None:
        """Runs a step again and again; a failure does not end the task."""
        while True:
            try:
                await step()
            except errors.SassafrasError as error:
                _LOGGER.debug("step failed", extra={"error": str(error)})
            except Exception:
                self._metrics.count("control.step_failures")
                _LOGGER.exception("step failed")
            jitter = 1 + _JITTER * (2 * self._random.random() - 1)
            await asyncio.sleep(seconds * jitter)

    async def _load(self, readers: _readers.Readers) -> None:
        """Reads peers and store until this host is up to date.

        What peers have counts without the store only if the store does not
        answer for a while.
        """
        node = self.node
        await self._ask_peers()
        end = node.started + _STORE_PATIENCE
        while node.up_to_date_source is None:
            try:
                await readers.load_all()
            except errors.SassafrasError as error:
                _LOGGER.warning(
                    "not up to date: the table is not confirmed by the store",
                    extra={"error": str(error)},
                )
                reached = node.lease.store_reached_at
                is_cut_off = reached is None or (
                    node.now() - reached >= _STORE_PATIENCE
                )
                if node.complete_peer and is_cut_off and node.now() >= end:
                    node.set_up_to_date(
                        f"peer {node.complete_peer}, not confirmed"
                    )
                    return
                await asyncio.sleep(_RETRY_S)

    async def _ask_peers(self) -> None:
        for address in self._values.seeds:
            if address != self.node.settings.listen:
                await self._peers.exchange(address)
            if self.node.complete_peer is not None:
                return

    async def _watch(self, readers: _readers.Readers) -> None:
        while True:
            watched = False
            with contextlib.suppress(errors.SassafrasError):
                watched = await readers.watch_table()
            if not watched:
                await asyncio.sleep(_RETRY_S)

    async def _step_lease(self) -> None:
        self._peers.announce_own()
        await self._writer.step()

    async def _gossip_in_zone(self) -> None:
        address = self._peers.zone_peer()
        if address is not None:
            self._peers.start(self._peers.exchange(address))

    async def _pull_on_tree(self) -> None:
        self._tree_turn += 1
        renewed = self.node.lease.renewal_time()
        missing = (
            renewed is None
            or self.node.now() - renewed > _RENEWALS_MISSING_AFTER
        )
        turns = _TREE_TURNS_WITHOUT_RENEWALS if missing else _TREE_TURNS
        if self._tree_turn >= turns:
            self._tree_turn = 0
            self._peers.pull_on_tree()

    async def _gossip_with_other_zone(self) -> None:
        address = self._peers.other_zone_peer()
        if address is not None:
            self._peers.start(self._peers.exchange(address, members=False))

    async def _housekeeping(self) -> None:
        self.node.forget_gone_hosts()
        traffic = self._peers.traffic
        self._metrics.gauge("control.sent_bytes", traffic.sent_bytes)
        self._metrics.gauge("control.received_bytes", traffic.received_bytes)
        self._metrics.gauge("control.epoch", self.node.lease.epoch)


async def run(
    values: _settings.ControlSettings,
    stopping: asyncio.Event,
    metrics: telemetry.Metrics,
) -> None:
    """Runs the daemon until it is told to stop."""
    daemon = Daemon(values, clock_lib.SystemClock(), metrics)
    await daemon.start()
    await stopping.wait()
    await daemon.drain()
    await daemon.close()
