"""A randomized soak test of real front processes.

    python tests/platform/soak.py --first 1 --seeds 50 --seconds 8

All faults are injected from outside the processes and may overlap. Proxies in
front of the store and the leafs delay, cut and reset connections. Signals
suspend, end and restart processes. The store drops its history, becomes
unavailable, or returns from an older copy, after which its writers write again
what was lost. Leafs become slow, reject requests, lose answers, send them
twice, break them off, send bytes without end, or leave. Crowds of clients send
heads and bodies without end and read nothing. Callers keep their connections
open. Invariants are checked against the answers that callers received and the
requests that leafs ran; those on what the store acknowledged (soak_checks) are
checked all the while, and in a calm time after the faults. A seed gives the
same faults at the same times; the timing within the processes depends on the
machine.
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

import crowds
import platform_harness
import soak_checks
import soak_writers

from sassafrashold.standins import _proxy
from sassafrashold.standins import records_leaf

_FRONT_COUNT = 3
_CALLER_COUNT = 6
_CALLER_PAUSE_S = 0.02
_SETTLE_TIME_S = 6.0
_MAX_ATTEMPTS = 2
_CROWD_SIZE = 20
_PATH_BY_KIND = {"gather": "/all/x", "single": "/one/x", "once": "/once/x"}
_STATUSES_WITHOUT_RUN = frozenset({408, 421, 429, 503})
_RECOVERY_ROUNDS_PER_FRONT = 10
_PROBE_PAUSE_S = 0.2
_FIRST_TIME_S = 0.6
# Longer than what is left of faults and the stable window.
_QUIET_TIME_S = 6.5
_CALM_TIME_S = 3.0
_REREAD_TIME_S = 2.0


class Soak:
    """One run of the soak test with one seed."""

    def __init__(
        self,
        harness: platform_harness.PlatformHarness,
        seed: int,
        spoiled_answers: bool = True,
        misbehaving_clients: bool = True,
        store_returns: bool = True,
    ) -> None:
        """Initializes the run.

        Args:
            harness: What is tested.
            seed: Seed of faults and requests.
            spoiled_answers: Whether leafs also spoil their answers. Without,
                seeds give the faults that they gave before this was added.
            misbehaving_clients: Whether crowds send too much and read nothing.
                Without, as above.
            store_returns: Whether the store returns from older copies, and
                invariants on what it acknowledged are checked. Without, as
                above.
        """
        self._harness = harness
        self._spoiled_answers = spoiled_answers
        self._misbehaving_clients = misbehaving_clients
        self._seed = seed
        self._random = random.Random(seed)
        # Callers take numbers at times that the seed doesn't fix.
        self._caller_random = (
            random.Random(f"{seed}/callers") if store_returns else self._random
        )
        clock = asyncio.get_running_loop().time
        self._disruptions = soak_checks.Disruptions(clock)
        self._checks = soak_checks.Checks(
            clock, self._disruptions, harness.leafs
        )
        self._writers = (
            soak_writers.Writers(harness, self._checks, seed)
            if store_returns
            else None
        )
        self.violations = self._checks.violations
        self.faults: list[str] = []
        self._sent_requests: list[tuple[str, str, int]] = []
        self._disrupted_fronts: set[int] = set()

    async def run(self, seconds: float) -> None:
        """Injects faults under load, then checks invariants and recovery."""
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(self._run_caller(number, stop))
            for number in range(_CALLER_COUNT)
        ]
        if self._writers is None:
            await asyncio.gather(*await self._inject_faults(seconds))
            await self._harness.publish_configuration()
            await asyncio.sleep(_SETTLE_TIME_S)
        else:
            await self._run_with_returns(self._writers, seconds, stop)
        stop.set()
        await asyncio.gather(*callers)
        self._check_runs()
        await self._check_recovery()
        if self._writers is not None:
            await self._check_newest_version(self._writers)
        self._check_memory()

    def write_events(self, path: pathlib.Path) -> None:
        """Writes faults, acknowledged changes and violations by time."""
        path.write_text("\n".join(self._checks.events), encoding="utf-8")

    async def _inject_faults(self, seconds: float) -> list[asyncio.Task[None]]:
        """Injects faults for a time; returns those that may go on."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        pending: list[asyncio.Task[None]] = []
        while loop.time() < end:
            pending.append(asyncio.create_task(self._inject_fault()))
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
        return pending

    async def _run_with_returns(
        self,
        writers: soak_writers.Writers,
        seconds: float,
        stop: asyncio.Event,
    ) -> None:
        """Injects faults with a return, then only changes in a calm time."""
        copies = asyncio.create_task(writers.keep_copies())
        probers = [
            asyncio.create_task(self._run_prober(writers, front, stop))
            for front in range(len(self._harness.fronts))
        ]
        changes = asyncio.create_task(
            self._inject_changes(seconds, soak_writers.CLOSE_CHANGES)
        )
        pending = await self._inject_faults(seconds)
        pending += await changes
        # What is written now may get revisions that hosts have seen. Nothing
        # later brings it to them until it can be judged.
        await self._return_store(self._random.uniform(0.2, 2.0))
        pending += await self._inject_changes(
            _FIRST_TIME_S, soak_writers.FIRST_CHANGES
        )
        await asyncio.sleep(_QUIET_TIME_S)
        pending += await self._inject_changes(
            _CALM_TIME_S, soak_writers.CALM_CHANGES
        )
        await asyncio.gather(*pending)
        await writers.wait_for_rewrites()
        await asyncio.sleep(_REREAD_TIME_S)
        copies.cancel()
        stop.set()
        await asyncio.gather(*probers)

    async def _run_prober(
        self,
        writers: soak_writers.Writers,
        front: int,
        stop: asyncio.Event,
    ) -> None:
        """Requests paths of routes that changed lately, of one host."""
        count = 0
        while not stop.is_set():
            count += 1
            path = self._caller_random.choice(writers.probed_paths)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._send_probe(f"p{front}-{count}", front, path)
            await asyncio.sleep(_PROBE_PAUSE_S)

    async def _send_probe(self, request_id: str, front: int, path: str) -> int:
        name = self._harness.fronts[front].name
        self._checks.note_probe(request_id, name, path)
        async with asyncio.timeout(4):
            answer = await self._harness.send_request(
                f"{path}x", request_id, front=front, deadline_ms=1500
            )
        if answer.status == 404:
            self._checks.check_refusal(request_id)
        elif answer.status == 200:
            self._check_answer("single", request_id, answer)
        return answer.status

    async def _check_newest_version(
        self, writers: soak_writers.Writers
    ) -> None:
        for number, front in enumerate(self._harness.fronts):
            for path in writers.probed_paths:
                request_id = f"newest-{number}-{path.strip('/')}"
                expected = 200 if path in writers.present_paths else 404
                status = await self._send_probe(request_id, number, path)
                if status != expected:
                    self.violations.append(
                        f"{request_id}: {front.name} answers {status}, not "
                        f"{expected}, after recovery time"
                    )

    async def _run_caller(self, number: int, stop: asyncio.Event) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            kind = self._caller_random.choice(tuple(_PATH_BY_KIND))
            request_id = f"c{number}-{count}"
            front = self._caller_random.randrange(len(self._harness.fronts))
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await self._send_request(kind, request_id, front)
            await asyncio.sleep(_CALLER_PAUSE_S)

    async def _send_request(
        self, kind: str, request_id: str, front: int
    ) -> bool:
        status = 0
        self._checks.note_request(request_id, self._harness.fronts[front].name)
        try:
            async with asyncio.timeout(4):
                answer = await self._harness.send_request(
                    _PATH_BY_KIND[kind],
                    request_id,
                    method="POST" if kind == "once" else "GET",
                    front=front,
                    deadline_ms=1500,
                )
            status = answer.status
        finally:
            self._sent_requests.append((kind, request_id, status))
        if status == 200:
            self._check_answer(kind, request_id, answer)
        elif status not in (*_STATUSES_WITHOUT_RUN, 502, 504):
            self.violations.append(f"{request_id}: status {status}")
        return status == 200

    def _check_answer(
        self, kind: str, request_id: str, answer: platform_harness.Answer
    ) -> None:
        if kind != "gather":
            signature = answer.headers.get("Server-Stamp", "")
            signers = [
                leaf
                for leaf in self._harness.leafs
                if leaf.signature(request_id) == signature
                and leaf.records(request_id) == answer.body
            ]
            if len(signers) != 1:
                self.violations.append(
                    f"{request_id}: answer matches no single leaf"
                )
            return
        services = [part.partition(".")[0] for part in answer.parts]
        distinct = len(set(services)) == len(services)
        complete = len(services) + answer.missing_shard_count == len(
            platform_harness.SHARDS
        )
        signed = all(part.endswith(f".{request_id}") for part in answer.parts)
        body = platform_harness.expected_records(services, request_id, 5)
        if not (
            services
            and distinct
            and complete
            and signed
            and body == answer.body
        ):
            self.violations.append(f"{request_id}: incorrect merged answer")

    def _check_runs(self) -> None:
        runs_by_key: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for leaf in self._harness.leafs:
            for run in leaf.runs:
                # Many clients of a crowd send the same request, without an id.
                if run.request_id:
                    runs_by_key[run.request_id, leaf.service] += 1
        for kind, request_id, status in self._sent_requests:
            runs = runs_by_key[request_id, "single"]
            if kind == "once" and runs > 1:
                self.violations.append(f"{request_id}: ran {runs} times")
            if kind == "once" and status in _STATUSES_WITHOUT_RUN and runs:
                self.violations.append(
                    f"{request_id}: status {status}, but a leaf ran it"
                )
        for (request_id, service), runs in runs_by_key.items():
            if runs > _MAX_ATTEMPTS:
                self.violations.append(
                    f"{request_id}: {runs} runs at {service}"
                )

    async def _check_recovery(self) -> None:
        for front in range(len(self._harness.fronts)):
            for number in range(_RECOVERY_ROUNDS_PER_FRONT):
                for kind in _PATH_BY_KIND:
                    name = f"well-{front}-{number}"
                    try:
                        served = await self._send_request(
                            kind, f"{name}-{kind}", front
                        )
                    except (aiohttp.ClientError, TimeoutError) as error:
                        self.violations.append(
                            f"{name}: {error!r} after recovery time"
                        )
                        return
                    if not served:
                        self.violations.append(f"{name}-{kind}: not served")

    def _check_memory(self) -> None:
        for front in self._harness.fronts:
            try:
                crowds.Watch(front, crowds.SMALL_HOST).check()
            except AssertionError as error:
                self.violations.append(f"{front.name}: {error}")

    async def _inject_fault(self) -> None:
        faults = [
            self._inject_link_fault,
            self._inject_leaf_fault,
            self._drain_leaf,
            self._take_zone_out_of_service,
            self._make_store_unavailable,
            self._drop_store_history,
            self._publish_configuration,
            self._kill_front,
            self._terminate_front,
            self._suspend_front,
            self._send_sighup,
        ]
        if self._misbehaving_clients:
            faults.append(self._send_crowd)
        if self._writers is not None:
            faults.append(self._return_store)
        fault = self._random.choice(faults)
        self.faults.append(fault.__name__)
        self._checks.note(fault.__name__)
        await fault(self._random.uniform(0.2, 2.0))

    async def _inject_changes(
        self, seconds: float, series: soak_writers.Series
    ) -> list[asyncio.Task[None]]:
        """Makes changes for a time; returns those that may go on."""
        generator = random.Random(f"{self._seed}/{series.name}")
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        pending: list[asyncio.Task[None]] = []
        while loop.time() < end:
            (change,) = generator.choices(
                (
                    self._publish_configuration,
                    self._drain_leaf,
                    self._take_zone_out_of_service,
                    self._send_sighup,
                ),
                series.weights,
            )
            self._checks.note(f"{series.name} change: {change.__name__}")
            length_s = generator.uniform(series.min_length_s, 2.0)
            pending.append(asyncio.create_task(change(length_s)))
            await asyncio.sleep(generator.uniform(0.1, series.max_pause_s))
        return pending

    async def _inject_link_fault(self, seconds: float) -> None:
        link = self._random.choice(self._harness.links)
        # The store's link of host h2 is store-2; other links lead to leafs.
        target = link.name.replace("store-", "h")
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
        with self._disruptions.disrupting(target):
            if self._random.random() < 0.3:
                link.disconnect()
            await asyncio.sleep(seconds)
            link.faults = _proxy.Faults()

    async def _inject_leaf_fault(self, seconds: float) -> None:
        leaf = self._random.choice(self._harness.leafs)
        match self._random.randrange(6 if self._spoiled_answers else 3):
            case 0:
                leaf.work = datetime.timedelta(milliseconds=200)
            case 1:
                leaf.lose_answers = True
            case 2:
                leaf.reject = True
            case _:
                leaf.answer_fault = self._random.choice(
                    tuple(records_leaf.AnswerFault)
                )
                self.faults.append(leaf.answer_fault.value)
        await asyncio.sleep(seconds)
        leaf.work = datetime.timedelta(milliseconds=2)
        leaf.lose_answers = False
        leaf.reject = False
        leaf.answer_fault = None

    async def _drain_leaf(self, seconds: float) -> None:
        leaf = self._random.choice(self._harness.leafs)
        if self._writers is not None:
            drains = self._random.random() < 0.5
            await self._writers.let_leaf_leave(leaf, 3 * seconds, drains)
            return
        await self._harness.put_leaf_entry(leaf, "draining")
        await asyncio.sleep(seconds)
        await self._harness.store.remove("servers", leaf.leaf_id)
        await asyncio.sleep(0.2)
        await self._harness.put_leaf_entry(leaf)

    async def _take_zone_out_of_service(self, seconds: float) -> None:
        zone = self._random.choice(platform_harness.ZONES)
        if self._writers is not None:
            await self._writers.evacuate_zone(zone, 4 * seconds)
            return
        await self._harness.store.put("evacuations", zone, {})
        await asyncio.sleep(seconds)
        await self._harness.store.remove("evacuations", zone)

    async def _make_store_unavailable(self, seconds: float) -> None:
        flag = self._random.choice(("away", "silent"))
        with self._disruptions.disrupting(soak_checks.STORE):
            setattr(self._harness.store, flag, True)
            await asyncio.sleep(seconds)
            setattr(self._harness.store, flag, False)

    async def _return_store(self, seconds: float) -> None:
        assert self._writers is not None
        age_s = soak_writers.random_age(self._random)
        with self._disruptions.disrupting(soak_checks.STORE):
            await self._writers.return_store(seconds / 2, age_s)

    async def _drop_store_history(self, _seconds: float) -> None:
        await self._harness.store.forget_history()

    async def _publish_configuration(self, _seconds: float) -> None:
        if self._writers is not None:
            await self._writers.change_routes()
        else:
            await self._harness.publish_configuration()

    async def _kill_front(self, seconds: float) -> None:
        await self._restart_front(signal.SIGKILL, seconds)

    async def _terminate_front(self, seconds: float) -> None:
        await self._restart_front(signal.SIGTERM, seconds)

    async def _restart_front(
        self, number: signal.Signals, seconds: float
    ) -> None:
        index = self._claim_front()
        if index is None:
            return
        front = self._harness.fronts[index]
        with self._disruptions.disrupting(front.name):
            front.send_signal(number)
            await front.wait_for_exit(10)
            await asyncio.sleep(seconds / 4)
            self._checks.note_start(front.name)
            front.start()
        await asyncio.sleep(0.5)
        self._disrupted_fronts.discard(index)

    async def _suspend_front(self, seconds: float) -> None:
        index = self._claim_front()
        if index is None:
            return
        front = self._harness.fronts[index]
        with self._disruptions.disrupting(front.name):
            front.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            front.send_signal(signal.SIGCONT)
        self._disrupted_fronts.discard(index)

    async def _send_sighup(self, _seconds: float) -> None:
        index = self._claim_front()
        if index is not None:
            self._harness.fronts[index].send_signal(signal.SIGHUP)
            self._disrupted_fronts.discard(index)

    async def _send_crowd(self, seconds: float) -> None:
        front = self._random.choice(self._harness.fronts)
        crowd = self._random.choice(crowds.CROWDS)
        port = self._random.choice(crowd.ports)
        self.faults.append(f"({crowd.name}, {port})")
        clients = crowds.Clients(crowds.address(front, port))
        try:
            async with asyncio.timeout(seconds):
                await clients.open(_CROWD_SIZE)
                await clients.send(crowd.blocks)
                await clients.read_slowly(crowds.MAX_ROUNDS)
        except TimeoutError:
            pass
        finally:
            await clients.close()

    def _claim_front(self) -> int | None:
        available = [
            i
            for i in range(len(self._harness.fronts))
            if i not in self._disrupted_fronts
        ]
        if len(available) < 2:
            return None
        index = self._random.choice(available)
        self._disrupted_fronts.add(index)
        return index


async def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    spoiled_answers: bool = True,
    misbehaving_clients: bool = True,
    store_returns: bool = True,
    fronts: int = _FRONT_COUNT,
) -> tuple[list[str], list[str]]:
    """Runs one seed; returns the violations and the injected faults."""
    async with platform_harness.PlatformHarness(
        folder,
        fronts=fronts,
        proxied=True,
        host_limits=crowds.SMALL_HOST,
    ) as harness:
        soak = Soak(
            harness, seed, spoiled_answers, misbehaving_clients, store_returns
        )
        try:
            await soak.run(seconds)
        finally:
            soak.write_events(folder / "events.txt")
        return soak.violations, soak.faults


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=50, help="Number of seeds.")
@click.option(
    "--seconds", default=8.0, help="Seconds of fault injection per seed."
)
@click.option(
    "--fronts", default=_FRONT_COUNT, help="Number of front processes."
)
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path(tempfile.gettempdir()),
    help="Folder for the logs of each seed.",
)
def main(
    first: int, seeds: int, seconds: float, fronts: int, logs: pathlib.Path
) -> None:
    """Runs seeds one after the other; prints the log folders of failures."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=logs)
        )
        violations, faults = asyncio.run(
            run_seed(seed, seconds, folder, fronts=fronts)
        )
        click.echo(
            f"seed {seed}: {len(faults)} faults, violations: {violations[:5]}"
        )
        if violations:
            failed += 1
            click.echo(f"  logs in {folder}; faults: {' '.join(faults)}")
    click.echo(f"{seeds} seeds, {failed} with violations")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
