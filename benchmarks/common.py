"""What all experiments share: variants, load, result files, plots.

Each experiment is one command, `python benchmarks/<name>.py`. It runs real
processes on the stand-ins, prints a table, and writes
`benchmarks/results/<name>.json` and a plot beside it.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import platform
import tempfile
import time
from typing import Any

import matplotlib
import psutil

matplotlib.use("Agg")
from matplotlib import pyplot

from sassafrashold import clock
from sassafrashold import load
from sassafrashold import table
from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness
from sassafrashold.store import http as platform_http

RESULTS = pathlib.Path(__file__).parent / "results"


@dataclasses.dataclass(frozen=True)
class Variant:
    """One way of running the same deployment."""

    name: str
    """Name in tables and plots."""

    entry_options: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Settings of the entries."""

    owner_options: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Settings of the owners."""


SYSTEM = Variant("system")


def baseline(slots: int, hosts: int) -> Variant:
    """Returns the baseline: static share, no hedging, no cold-start rule.

    Args:
        slots: Slots of a leaf.
        hosts: Hosts that would share the leaf.
    """
    return Variant(
        "baseline",
        {"hedging": "no"},
        {"static_share_slots": str(max(1, slots // hosts))},
    )


@contextlib.asynccontextmanager
async def running(
    deployment: deployment_lib.Deployment, variant: Variant
) -> AsyncIterator[harness.Cluster]:
    """Runs a deployment in a variant, with the table in force."""
    made = dataclasses.replace(
        deployment,
        with_table=True,
        log_level="WARNING",
        entry_options={**deployment.entry_options, **variant.entry_options},
        owner_options={**deployment.owner_options, **variant.owner_options},
    )
    with tempfile.TemporaryDirectory(prefix="sassafras-bench-") as name:
        async with harness.running(
            made, pathlib.Path(name), graceful_end=False
        ) as cluster:
            yield cluster


def entries_of(cluster: harness.Cluster) -> tuple[load.Entry, ...]:
    """Returns the entries of a cluster for a load plan."""
    return tuple(
        load.Entry(host.zone, host.entry_http)
        for host in cluster.deployment.hosts
    )


async def search_load(
    cluster: harness.Cluster,
    targets: Sequence[load.Target],
    rate: float,
    duration_s: float,
    *,
    warmup_s: float = 0.0,
    seed: int = 1,
) -> dict[str, Any]:
    """Runs an open-loop load of searches and returns its report."""
    return await load.run_searches(
        load.SearchPlan(
            entries=entries_of(cluster),
            targets=tuple(targets),
            rate=rate,
            duration_s=duration_s,
            warmup_s=warmup_s,
            seed=seed,
            leaf_admins=tuple(cluster.leaf_admins),
        )
    )


async def edit(cluster: harness.Cluster, change: table.Change) -> int:
    """Makes an edit as sassafras-ctl does; returns the accepted revision."""
    system_clock = clock.SystemClock()
    store = platform_http.HttpPlatform(
        cluster.deployment.platform, system_clock
    )
    try:
        editor = table.Editor(store, system_clock)
        accepted = await editor.apply(change, who="benchmark", note="")
    finally:
        await store.close()
    return accepted.revision


async def facts_of(cluster: harness.Cluster, host: str) -> list[Any]:
    """Returns the facts of a host's status page."""
    address = cluster.deployment.host_by_name[host].entry_http
    document = await cluster.get(address, "/v1/status")
    facts = document["facts"] if isinstance(document, dict) else document
    return list(facts)


async def revision_in_force(cluster: harness.Cluster, host: str) -> int:
    """Returns the table revision that the entry of a host has in force."""
    for fact in await facts_of(cluster, host):
        if fact["name"] == "table_revision" and fact["value"] is not None:
            return int(fact["value"])
    return 0


def core_seconds(cluster: harness.Cluster, suffix: str) -> float:
    """Returns the processor time of all processes of one kind, in seconds."""
    total = 0.0
    for name, process in cluster.process_by_name.items():
        if name.endswith(suffix) and process.is_running:
            times = psutil.Process(process.pid).cpu_times()
            total += times.user + times.system
    return total


def save(name: str, result: Mapping[str, Any]) -> pathlib.Path:
    """Writes a result with the time and the machine of the run."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    document = {
        "experiment": name,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "machine": {
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "load_average": os.getloadavg()[0],
        },
        **result,
    }
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    return path


def bar_plot(
    name: str, title: str, unit: str, value_by_label: Mapping[str, float]
) -> None:
    """Writes a bar plot beside the result file."""
    figure, axes = pyplot.subplots(figsize=(6, 3.5), layout="constrained")
    bars = axes.bar(list(value_by_label), list(value_by_label.values()))
    axes.bar_label(bars, fmt="%.3g")
    axes.set_title(title)
    axes.set_ylabel(unit)
    RESULTS.mkdir(exist_ok=True)
    figure.savefig(RESULTS / f"{name}.png", dpi=100)
    pyplot.close(figure)


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Prints rows in columns; the first row is the heading."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = zip(row, widths, strict=True)
        print("  ".join(text.ljust(width) for text, width in cells).rstrip())
