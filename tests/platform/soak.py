"""A randomized soak of real processes on the small platform.

    python tests/platform/soak.py --first 1 --seeds 50 --seconds 8

Faults come from outside: proxies in front of store and leafs delay, cut and
reset connections; signals stop, end and restart processes; the store drops
its history or goes away; leafs turn slow, reject, lose answers, drain. They
overlap. Callers keep their connections. Promises are checked from what callers
and leafs saw. A seed gives the same faults at the same times; timing is the
machine's.
"""

import asyncio
import collections
import contextlib
import datetime
import pathlib
import random
import signal
import sys
import tempfile

import aiohttp
import click

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import platform_world

from sassafrashold.standins import _proxy

_FRONTS = 3
_CALLERS = 6
_CALL_PAUSE_S = 0.02
_SETTLE_S = 6.0
_ATTEMPTS = 2
_PATHS = {"gather": "/all/x", "single": "/one/x", "once": "/once/x"}
_NOT_RUN = frozenset({408, 421, 429, 503})
_WHOLE_AGAIN = 10


class Soak:
    """One run with one seed."""

    def __init__(self, world: platform_world.World, seed: int) -> None:
        self._world = world
        self._random = random.Random(seed)
        self.broken: list[str] = []
        self.faults: list[str] = []
        self._asked: list[tuple[str, str, int]] = []
        self._stopped: set[int] = set()

    async def run(self, seconds: float) -> None:
        """Plays faults under load, then checks that all is well again."""
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(self._call(number, stop))
            for number in range(_CALLERS)
        ]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        pending: list[asyncio.Task[None]] = []
        while loop.time() < end:
            pending.append(asyncio.create_task(self._fault()))
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
        await asyncio.gather(*pending)
        await self._world.configure()
        await asyncio.sleep(_SETTLE_S)
        stop.set()
        await asyncio.gather(*callers)
        self._check_runs()
        await self._check_well()

    async def _call(self, number: int, stop: asyncio.Event) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            kind = self._random.choice(tuple(_PATHS))
            request_id = f"c{number}-{count}"
            front = self._random.randrange(_FRONTS)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._ask(kind, request_id, front)
            await asyncio.sleep(_CALL_PAUSE_S)

    async def _ask(self, kind: str, request_id: str, front: int) -> bool:
        status = 0
        try:
            async with asyncio.timeout(4):
                answer = await self._world.ask(
                    _PATHS[kind],
                    request_id,
                    method="POST" if kind == "once" else "GET",
                    front=front,
                    deadline_ms=1500,
                )
            status = answer.status
        finally:
            self._asked.append((kind, request_id, status))
        if status == 200:
            self._check_answer(kind, request_id, answer)
        elif status not in (*_NOT_RUN, 502, 504):
            self.broken.append(f"{request_id}: status {status}")
        return status == 200

    def _check_answer(
        self, kind: str, request_id: str, answer: platform_world.Answer
    ) -> None:
        if kind != "gather":
            signature = answer.headers.get("Server-Stamp", "")
            signers = [
                leaf
                for leaf in self._world.leafs
                if leaf.signature(request_id) == signature
                and leaf.records(request_id) == answer.body
            ]
            if len(signers) != 1:
                self.broken.append(f"{request_id}: not a leaf's answer")
            return
        services = [part.partition(".")[0] for part in answer.parts]
        whole = len(set(services)) == len(services)
        true = len(services) + answer.missing == len(platform_world.SHARDS)
        own = all(part.endswith(f".{request_id}") for part in answer.parts)
        body = platform_world.greatest(services, request_id, 5)
        if not (services and whole and true and own and body == answer.body):
            self.broken.append(f"{request_id}: untrue merged answer")

    def _check_runs(self) -> None:
        runs_by_key: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for leaf in self._world.leafs:
            for run in leaf.runs:
                runs_by_key[run.request_id, leaf.service] += 1
        for kind, request_id, status in self._asked:
            runs = runs_by_key[request_id, "single"]
            if kind == "once" and runs > 1:
                self.broken.append(f"{request_id}: ran {runs} times")
            if kind == "once" and status in _NOT_RUN and runs:
                self.broken.append(f"{request_id}: {status}, but it ran")
        for (request_id, service), runs in runs_by_key.items():
            if runs > _ATTEMPTS:
                self.broken.append(f"{request_id}: {runs} runs at {service}")

    async def _check_well(self) -> None:
        for front in range(_FRONTS):
            for number in range(_WHOLE_AGAIN):
                for kind in _PATHS:
                    name = f"well-{front}-{number}"
                    try:
                        well = await self._ask(kind, f"{name}-{kind}", front)
                    except (aiohttp.ClientError, TimeoutError) as error:
                        self.broken.append(f"{name}: {error!r} after the end")
                        return
                    if not well:
                        self.broken.append(f"{name}-{kind}: not served")

    async def _fault(self) -> None:
        fault = self._random.choice(
            (
                self._hurt_link,
                self._hurt_leaf,
                self._drain_leaf,
                self._zone_out,
                self._store_away,
                self._history,
                self._configure,
                self._kill,
                self._end,
                self._freeze,
                self._hang_up,
            )
        )
        self.faults.append(fault.__name__)
        await fault(self._random.uniform(0.2, 2.0))

    async def _hurt_link(self, seconds: float) -> None:
        link = self._random.choice(self._world.links)
        link.faults = self._random.choice(
            (
                _proxy.Faults(delay_ms=60, jitter_ms=200),
                _proxy.Faults(cut="both"),
                _proxy.Faults(cut="to_client"),
                _proxy.Faults(cut="to_target"),
                _proxy.Faults(refuse=True),
                _proxy.Faults(late_percent=20, late_ms=300),
            )
        )
        if self._random.random() < 0.3:
            link.disconnect()
        await asyncio.sleep(seconds)
        link.faults = _proxy.Faults()

    async def _hurt_leaf(self, seconds: float) -> None:
        leaf = self._random.choice(self._world.leafs)
        match self._random.randrange(3):
            case 0:
                leaf.work = datetime.timedelta(milliseconds=200)
            case 1:
                leaf.lose_answers = True
            case _:
                leaf.reject = True
        await asyncio.sleep(seconds)
        leaf.work = datetime.timedelta(milliseconds=2)
        leaf.lose_answers = False
        leaf.reject = False

    async def _drain_leaf(self, seconds: float) -> None:
        leaf = self._random.choice(self._world.leafs)
        await self._world.list_leaf(leaf, "draining")
        await asyncio.sleep(seconds)
        await self._world.store.remove("servers", leaf.leaf_id)
        await asyncio.sleep(0.2)
        await self._world.list_leaf(leaf)

    async def _zone_out(self, seconds: float) -> None:
        zone = self._random.choice(platform_world.ZONES)
        await self._world.store.put("evacuations", zone, {})
        await asyncio.sleep(seconds)
        await self._world.store.remove("evacuations", zone)

    async def _store_away(self, seconds: float) -> None:
        name = self._random.choice(("away", "silent"))
        setattr(self._world.store, name, True)
        await asyncio.sleep(seconds)
        setattr(self._world.store, name, False)

    async def _history(self, _seconds: float) -> None:
        await self._world.store.forget_history()

    async def _configure(self, _seconds: float) -> None:
        await self._world.configure()

    async def _kill(self, seconds: float) -> None:
        await self._restart(signal.SIGKILL, seconds)

    async def _end(self, seconds: float) -> None:
        await self._restart(signal.SIGTERM, seconds)

    async def _restart(self, number: signal.Signals, seconds: float) -> None:
        index = self._take_front()
        if index is None:
            return
        front = self._world.fronts[index]
        front.signal(number)
        await front.exited(10)
        await asyncio.sleep(seconds / 4)
        front.start()
        await asyncio.sleep(0.5)
        self._stopped.discard(index)

    async def _freeze(self, seconds: float) -> None:
        index = self._take_front()
        if index is None:
            return
        front = self._world.fronts[index]
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        front.signal(signal.SIGCONT)
        self._stopped.discard(index)

    async def _hang_up(self, _seconds: float) -> None:
        index = self._take_front()
        if index is not None:
            self._world.fronts[index].signal(signal.SIGHUP)
            self._stopped.discard(index)

    def _take_front(self) -> int | None:
        free = [i for i in range(_FRONTS) if i not in self._stopped]
        if len(free) < 2:
            return None
        index = self._random.choice(free)
        self._stopped.add(index)
        return index


async def run_seed(
    seed: int, seconds: float, folder: pathlib.Path
) -> tuple[list[str], list[str]]:
    """Runs one seed; returns broken promises and the faults played."""
    async with platform_world.World(
        folder, fronts=_FRONTS, proxied=True
    ) as world:
        soak = Soak(world, seed)
        await soak.run(seconds)
        return soak.broken, soak.faults


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=50, help="Number of seeds.")
@click.option("--seconds", default=8.0, help="Time of faults in each run.")
def main(first: int, seeds: int, seconds: float) -> None:
    """Runs seeds one after the other; keeps the logs of those that fail."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken, faults = asyncio.run(run_seed(seed, seconds, folder))
        click.echo(f"seed {seed}: {len(faults)} faults, broken: {broken[:5]}")
        if broken:
            failed += 1
            click.echo(f"  logs in {folder}; faults: {' '.join(faults)}")
    click.echo(f"{seeds} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
