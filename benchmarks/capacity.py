"""Computes the tables of docs/CAPACITY.md from the measured slopes.

Reads `results/*.json` and replaces the text between the markers of the page.
"""

import json
import math
import pathlib
from typing import Any

from common import RESULTS

from sassafrashold import index
from sassafrashold import settings
from sassafrashold import table

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_BEGIN = "<!-- computed by benchmarks/capacity.py -->"
_END = "<!-- end of computed part -->"

DAEMONS = 430
ZONES = 7
LEAFS = 2500
QUERIES_PER_S = 71_000
FAN_OUT = 910
CHANGES_PER_DAY = 1600
DAY_S = 86_400
CORE_BUDGET_PERCENT = 2.2
MEMORY_BUDGET_MB = 32
BYTES_BUDGET_KB_S = 14
DEADLINE_MS = 87.0
_LEAFS_PER_SERVICE = 3
_MEDIAN_MS = 8.0
_SIGMA = 0.4


def _load(name: str) -> dict[str, Any]:
    document: dict[str, Any] = json.loads(
        (RESULTS / f"{name}.json").read_text(encoding="utf-8")
    )
    return document


def _rows(*rows: tuple[object, ...]) -> str:
    head, *rest = rows
    lines = [
        "| " + " | ".join(map(str, head)) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
    ]
    lines += ["| " + " | ".join(map(str, row)) + " |" for row in rest]
    return "\n".join(lines)


def _at(fit: dict[str, Any], size: float, slope: str = "per_member") -> float:
    return float(fit["base"] + fit[slope] * size)


def control() -> str:
    """Returns the table of control's cost per daemon."""
    document = _load("control_slopes")
    fits = document["fits"]
    members = math.ceil(DAEMONS / ZONES)
    lines: list[tuple[object, ...]] = [
        ("per daemon", "fit over members n", f"n = {members}", "budget")
    ]
    for key, unit, budget in (
        ("core_percent_mean", "% of a core, mean", CORE_BUDGET_PERCENT),
        ("core_percent_max", "% of a core, busiest", CORE_BUDGET_PERCENT),
        ("kb_per_s_mean", "KB/s of gossip bodies, mean", BYTES_BUDGET_KB_S),
        ("kb_per_s_max", "KB/s of gossip bodies, busiest", BYTES_BUDGET_KB_S),
        ("rss_mb_max", "resident MB, largest", MEMORY_BUDGET_MB),
        ("pss_mb_max", "proportional MB, largest", MEMORY_BUDGET_MB),
    ):
        fit = fits[key]
        lines.append(
            (
                unit,
                f"{fit['base']:.2f} + {fit['per_member']:.4f} n"
                f" (rms {fit['rms_error']:.2f})",
                f"{_at(fit, members):.2f}",
                budget,
            )
        )
    measured: list[tuple[object, ...]] = [
        ("members", "core % mean/busiest", "KB/s mean/busiest", "RSS MB")
    ]
    for r in document["results"]:
        measured.append(
            (
                r["members"],
                f"{r['core_percent_mean']:.2f}/{r['core_percent_max']:.2f}",
                f"{r['kb_per_s_mean']:.2f}/{r['kb_per_s_max']:.2f}",
                f"{r['rss_mb_max']:.1f}",
            )
        )
    return _rows(*measured) + "\n\n" + _rows(*lines)


def store() -> str:
    """Returns the table of calls on the platform's store."""
    fit = _load("control_slopes")["fits"]["store_calls_per_s"]
    per_zone = _at(fit, math.ceil(DAEMONS / ZONES))
    return _rows(
        ("calls on the store", "per second at the target", "grows with"),
        (
            "lease renewals, watches, lists, host list (measured per zone)",
            f"{per_zone:.1f} x {ZONES} = {per_zone * ZONES:.0f}",
            "zones",
        ),
        (
            "edits of the table",
            f"{CHANGES_PER_DAY / DAY_S:.3f} writes",
            "edits",
        ),
        (
            "table confirmations of 300 restarts a day",
            f"{300 / DAY_S:.4f} writes",
            "restarts",
        ),
        ("dispatches", "2 writes each; about 100 a second fit", "dispatches"),
        ("given", "several hundred writes, about 2,000 reads", ""),
    )


def objects() -> str:
    """Returns the table of distributed objects and their traffic."""
    services = LEAFS // _LEAFS_PER_SERVICE
    rows = tuple(
        table.ServiceRow(
            service=f"service-{number:04}",
            weight_by_zone={f"zone-{zone}": 1 for zone in range(ZONES)},
            slots_per_leaf=3,
            connections_per_leaf=30,
        )
        for number in range(services)
    )
    table_bytes = len(table.Table(1, rows).encode())
    leafs = {
        f"leaf-{number:04}": index.Leaf(
            f"leaf-{number:04}",
            "zone-1",
            f"upstream-{number:04}",
            settings.Address("10.0.0.1", 9000),
        )
        for number in range(FAN_OUT)
    }
    names = list(leafs)
    version = index.IndexVersion(
        "v1",
        tuple((name, names[(i + 1) % FAN_OUT]) for i, name in enumerate(names)),
    )
    shardmap_bytes = len(index.ShardMap("s", (version,), leafs).encode())
    table_rate = table_bytes * CHANGES_PER_DAY / DAY_S / 1000
    return _rows(
        ("object", "bytes", "KB/s per daemon at 1,600 changes a day"),
        (f"table, {services} rows", table_bytes, f"{table_rate:.2f}"),
        (f"shard map, {FAN_OUT} shards, 2 replicas", shardmap_bytes, "rare"),
        (
            "zone lease, 62 members",
            62 * 130,
            f"{62 * 130 * 316 / ZONES / DAY_S / 1000:.4f}",
        ),
    )


def data_path() -> str:
    """Returns the table of the data path's cost and the missing factor."""
    fits = _load("data_slopes")["fits"]
    entry = fits["entry by shards"]
    owner = fits["owner by shards"]
    queries = QUERIES_PER_S / DAEMONS
    items = queries * FAN_OUT
    entry_us = _at(entry, FAN_OUT, "slope")
    entry_cores = entry_us * queries / 1e6
    owner_cores = owner["slope"] * items / 1e6
    return _rows(
        ("hop", "fit, core us per query, s shards", "load", "cores per daemon"),
        (
            "entry",
            f"{entry['base']:.0f} + {entry['slope']:.1f} s"
            f" (rms {entry['rms_error']:.0f})",
            f"{queries:.0f} queries/s of {FAN_OUT} shards",
            f"{entry_cores:.1f}",
        ),
        (
            "owner",
            f"{owner['base']:.0f} + {owner['slope']:.1f} s"
            f" (rms {owner['rms_error']:.0f})",
            f"{items:.0f} sub-queries/s",
            f"{owner_cores:.1f}",
        ),
        (
            "both",
            "",
            "one core each for entry and owner",
            f"missing factor {max(entry_cores, owner_cores):.1f}",
        ),
    )


def combining() -> str:
    """Returns the table of the two ways to reach owners."""
    by_owners = _load("data_slopes")["by_owners"]
    rows: list[tuple[object, ...]] = [
        ("owners", "way", "entry us/query", "owners us/query", "p99 ms")
    ]
    for way, results in by_owners.items():
        for r in results:
            rows.append(
                (
                    r["owners"],
                    way,
                    f"{r['entry_us_per_query']:.0f}",
                    f"{r['owner_us_per_query']:.0f}",
                    f"{r['p99_ms']:.1f}",
                )
            )
    return _rows(*rows)


def _survival(milliseconds: float) -> float:
    """Probability that a leaf takes longer (log-normal of the stand-in)."""
    if milliseconds <= 0:
        return 1.0
    z = math.log(milliseconds / _MEDIAN_MS) / _SIGMA
    return 0.5 * math.erfc(z / math.sqrt(2))


def _quantile(probability: float) -> float:
    """Time that a leaf exceeds with a probability."""
    low, high = 0.0, 10_000.0
    for _ in range(60):
        middle = (low + high) / 2
        if _survival(middle) > probability:
            low = middle
        else:
            high = middle
    return high


def _hedged_quantile(probability: float, delay: float) -> float:
    """As `_quantile`, with a second copy sent after a delay."""
    low, high = 0.0, 10_000.0
    for _ in range(60):
        middle = (low + high) / 2
        both = _survival(middle) * (
            _survival(middle - delay) if middle > delay else 1.0
        )
        if both > probability:
            low = middle
        else:
            high = middle
    return high


def tail() -> str:
    """Returns the table of the tail at 910 leafs."""
    rows: list[tuple[object, ...]] = [
        (
            "shards",
            "tail of one leaf for p99 of the query",
            "no hedge, ms",
            "hedge at p95, ms",
        )
    ]
    delay = _quantile(0.05)
    for shards in (1, 20, 100, FAN_OUT):
        probability = 1 - 0.99 ** (1 / shards)
        rows.append(
            (
                shards,
                f"{probability:.2e}",
                f"{_quantile(probability):.1f}",
                f"{_hedged_quantile(probability, delay):.1f}",
            )
        )
    return _rows(*rows)


def failures() -> str:
    """Returns the table of failures and how long callers see them."""
    gaps = _load("takeover")["gap_s"]
    spread = _load("configuration")["seconds"]
    return _rows(
        ("event", "measured", "mechanism"),
        (
            "host killed, no replica elsewhere",
            f"{gaps['killed']:.1f} s without its leafs",
            "gossip age, proposal, hold-back",
        ),
        (
            "host paused",
            f"{gaps['paused']:.1f} s without its leafs",
            "as above",
        ),
        (
            "host replaced by SIGTERM",
            f"{gaps['left by SIGTERM']:.2f} s",
            "release by hand-over",
        ),
        *(
            (
                f"edit in force everywhere, {case}",
                f"{max(values):.2f} s at most over {len(values)} edits",
                "watch, gossip",
            )
            for case, values in spread.items()
        ),
    )


def main() -> None:
    """Renews the computed part of the page."""
    parts = (
        ("Control, per daemon", control),
        ("Platform's store", store),
        ("Distributed objects", objects),
        ("Data path", data_path),
        ("Ways to reach the owners (160 shards)", combining),
        ("Tail (log-normal leafs, median 8 ms, sigma 0.4)", tail),
        ("Failures", failures),
    )
    computed = "\n\n".join(f"### {title}\n\n{make()}" for title, make in parts)
    text = _PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(_BEGIN)
    _, _, after = rest.partition(_END)
    _PAGE.write_text(
        f"{before}{_BEGIN}\n\n{computed}\n\n{_END}{after}", encoding="utf-8"
    )
    print(f"renewed {_PAGE}")


if __name__ == "__main__":
    main()
