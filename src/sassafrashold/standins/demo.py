"""The demonstration that `scripts/demo` runs.

Starts a deployment with three zones as separate processes, with stand-ins for
leafs and platform, and shows what operators and callers see.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

import click

from sassafrashold import load
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

_DEPLOYMENT = dataclasses.replace(
    deployment_lib.SMALL, name="demo", log_level="INFO"
)
_ZONE = "east"
_ZONE_BOUND_S = 4.0
_WATCH_S = 3.0
_MAX_OUTPUT_LINES = 25
_EXIT_FAILED = 1
_EXIT_INTERRUPTED = 130
_SEARCH_SERVICES = ("almanac", "records")
_DISPATCH_SERVICE = "guichet"
_CTL = "from sassafrashold.ctl.main import main; main()"


class Demo:
    """The steps, in order."""

    def __init__(self, cluster: harness.Cluster) -> None:
        self._cluster = cluster
        self._hosts = [host.name for host in cluster.deployment.hosts]

    async def run(self) -> None:
        """Runs all steps.

        Raises:
            RuntimeError: A step had another result than it should.
        """
        await self._import_table()
        await self._search()
        await self._dispatch()
        await self._take_zone_out()
        await self._bring_zone_back()
        await self._show_status()

    async def _ctl(self, *arguments: str) -> None:
        """Runs sassafras-ctl against all entries and shows its output."""
        deployment = self._cluster.deployment
        connection = ["--platform", str(deployment.platform)]
        for host in deployment.hosts:
            connection += ["--entry", str(host.entry_http)]
        _say("$ sassafras-ctl " + " ".join(arguments))
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            _CTL,
            *connection,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _ = await child.communicate()
        finally:
            if child.returncode is None:
                child.kill()
        lines = output.decode().rstrip().splitlines()
        for line in lines[:_MAX_OUTPUT_LINES]:
            _say(f"  {line}")
        if len(lines) > _MAX_OUTPUT_LINES:
            _say(f"  ... and {len(lines) - _MAX_OUTPUT_LINES} lines more")
        _require(child.returncode == 0, f"sassafras-ctl {arguments[0]} failed")

    async def _import_table(self) -> None:
        _title("The operators import the table")
        table = self._cluster.directory / "table.csv"
        await self._ctl(
            "table", "import", str(table), "--note", "demo", "--wait"
        )
        await self._cluster.hosts_ready(self._hosts)
        _say(f"all entries are ready: {', '.join(self._hosts)}")

    async def _search(self) -> None:
        _title("Callers search, at an entry in each zone")
        for host, service in zip(
            self._hosts, (*_SEARCH_SERVICES, "almanac"), strict=True
        ):
            query = {"text": "when to plant", "asked_at": host}
            await harness.until(
                lambda host=host, service=service, query=query: self._is_full(  # type: ignore[misc]
                    host, service, query
                ),
                f"{service} is answered in full at {host}",
                20,
            )
            status, answer = await self._cluster.search(host, service, query)
            _require(status == 200, f"search was refused: {answer}")
            faults = load.check_answer(service, query, answer)
            _require(not faults, f"wrong answer: {faults}")
            _say(f"{host}: {service} -> {_summary(answer)}")
        _say("one of the rows: " + json.dumps(answer["rows"][0]))

    async def _is_full(self, host: str, service: str, query: Any) -> bool:
        status, answer = await self._cluster.search(host, service, query)
        return status == 200 and not answer["partial"]

    async def _dispatch(self) -> None:
        _title("A caller dispatches, and repeats it at another entry")
        for host in self._hosts[:2]:
            status, answer = await self._cluster.dispatch(
                host, _DISPATCH_SERVICE, "order-17", {"sheets": 12}
            )
            _say(f"{host}: {status} {json.dumps(answer)}")
            _require(status == 200, "the dispatch was refused")
        runs = [
            call["idempotency_key"]
            for record in (await self._cluster.leaf_records()).values()
            for call in record["calls"]
            if call["kind"] == "dispatch"
        ]
        _say(f"runs at the leafs: {runs}")
        _require(runs == ["order-17"], "the dispatch did not run exactly once")

    async def _take_zone_out(self) -> None:
        _title(f"The zone {_ZONE} is taken out under load")
        async with self._load():
            await self._ctl(
                "zone", "out", _ZONE, "--note", "maintenance", "--wait"
            )
            marked = time.monotonic()
            await self._until_quiet()
            _say(f"no new work in {_ZONE} after {_since(marked)}")
            await self._cluster.reset_leaf_records()
            await asyncio.sleep(_WATCH_S)
            calls = await self._calls_by_zone()
        _say(f"leaf calls in the next {_WATCH_S:g} s by zone: {calls}")
        _require(calls[_ZONE] == 0, "the zone still gets work")

    async def _bring_zone_back(self) -> None:
        _title(f"The zone {_ZONE} comes back; its leafs start cold")
        await self._cluster.make_leafs_cold({"zone": _ZONE})
        await self._cluster.reset_leaf_records()
        async with self._load():
            await self._ctl(
                "zone", "in", _ZONE, "--note", "maintenance done", "--wait"
            )
            marked = time.monotonic()

            async def works() -> bool:
                return (await self._calls_by_zone())[_ZONE] > 0

            await harness.until(works, f"{_ZONE} gets work again", 20)
            _say(f"{_ZONE} gets work again after {_since(marked)}")
            await asyncio.sleep(_WATCH_S)
            calls = await self._calls_by_zone()
        _say(f"leaf calls by zone: {calls}")
        records = (await self._cluster.leaf_records(calls=False)).values()
        for name in ("over_limit_calls", "calls_above_cold_bound"):
            count = sum(record["counters"].get(name, 0) for record in records)
            _say(f"{name}: {count}")
            _require(count == 0, f"a leaf got {name}")

    async def _show_status(self) -> None:
        _title("The operators look at the status")
        await self._ctl("status")

    @contextlib.asynccontextmanager
    async def _load(self) -> AsyncIterator[None]:
        """Sends searches during a block and shows how they went."""
        deployment = self._cluster.deployment
        plan = load.SearchPlan(
            entries=tuple(
                load.Entry(host.zone, host.entry_http)
                for host in deployment.hosts
            ),
            targets=(load.Target("almanac"),),
            rate=40,
            duration_s=3600,
        )
        stopping = asyncio.Event()
        task = asyncio.create_task(load.run_searches(plan, stopping))
        try:
            yield
        finally:
            stopping.set()
            report = await task
        figures = report["all"]
        _say(
            f"searches meanwhile: {figures['sent']} sent, "
            f"{figures['by_code']}, coverage {figures['coverage']}, "
            f"p99 {figures['latency'].get('p99_ms')} ms"
        )
        _require(not report["wrong_answers"], str(report["wrong_answers"]))
        _require(
            figures["answered"] == figures["sent"], "a search was not answered"
        )

    async def _until_quiet(self) -> None:
        """Waits until the zone got no call for half a second."""
        quiet_s = 0.5
        deadline = time.monotonic() + _ZONE_BOUND_S + quiet_s
        while time.monotonic() < deadline:
            await self._cluster.reset_leaf_records()
            await asyncio.sleep(quiet_s)
            if (await self._calls_by_zone())[_ZONE] == 0:
                return
        raise RuntimeError(f"{_ZONE} gets work after {_ZONE_BOUND_S:g} s")

    async def _calls_by_zone(self) -> dict[str, int]:
        calls = {zone.name: 0 for zone in self._cluster.deployment.zones}
        records = await self._cluster.leaf_records(calls=False)
        for record in records.values():
            calls[record["zone"]] += record["counters"].get("calls", 0)
        return calls


def _title(text: str) -> None:
    click.echo(f"\n== {text}")


def _say(text: str) -> None:
    click.echo(text)


def _since(start: float) -> str:
    return f"{time.monotonic() - start:.1f} s"


def _summary(answer: dict[str, Any]) -> str:
    return (
        f"version {answer['index_version']}, "
        f"{answer['shards_answered']} of {answer['shards_asked']} shards, "
        f"{len(answer['rows'])} rows, partial: {answer['partial']}"
    )


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise RuntimeError(message)


async def _run(directory: pathlib.Path) -> list[str]:
    """Runs the demo; returns the names of processes that still run."""
    task = asyncio.current_task()
    assert task is not None
    harness.stop_on_signals(task)
    _title("A deployment with three zones starts")
    async with harness.running(_DEPLOYMENT, directory) as cluster:
        for process in cluster.process_by_name.values():
            _say(f"{process.name}: pid {process.pid}")
        await Demo(cluster).run()
        _title("All processes end")
    return [
        process.name
        for process in cluster.process_by_name.values()
        if process.is_running
    ]


@click.command()
@click.option(
    "--directory",
    type=click.Path(path_type=pathlib.Path),
    help="Where settings and logs are kept; by default they are removed.",
)
def main(directory: pathlib.Path | None) -> None:
    """Runs the demo; exits 0 if every step went as it should."""
    if directory is not None:
        sys.exit(_run_and_report(directory))
    with tempfile.TemporaryDirectory(prefix="sassafras-demo-") as temporary:
        sys.exit(_run_and_report(pathlib.Path(temporary)))


def _run_and_report(directory: pathlib.Path) -> int:
    """Runs the demo; returns the exit code."""
    try:
        left = asyncio.run(_run(directory))
    except (RuntimeError, TimeoutError) as error:
        click.echo(f"failed: {error}; --directory keeps the logs", err=True)
        return _EXIT_FAILED
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("interrupted; all processes have ended", err=True)
        return _EXIT_INTERRUPTED
    if left:
        click.echo(f"processes are left: {left}", err=True)
        return _EXIT_FAILED
    _say("no process is left")
    return 0


if __name__ == "__main__":
    main()
