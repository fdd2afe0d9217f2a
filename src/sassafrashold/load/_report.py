"""Readable tables of one report and of two in comparison."""

from collections.abc import Iterator
from typing import Any

_COLUMNS = ("part", "sent", "ok", "p50", "p90", "p99", "p99.9", "max", "cover")
_PERCENTILE_KEYS = ("p50_ms", "p90_ms", "p99_ms", "p999_ms", "max_ms")


def format_report(report: dict[str, Any]) -> str:
    """Returns a report as text."""
    lines = [_table([_COLUMNS, *_part_rows(report)])]
    codes = report["all"]["by_code"]
    lines.append("codes: " + _pairs(codes))
    for name in ("answers_by_version", "leafs", "verdict", "wrong_answers"):
        if name in report:
            values = {
                key: value
                for key, value in report[name].items()
                if key != "examples"
            }
            lines.append(f"{name}: {_pairs(values) or 'none'}")
    return "\n".join(lines)


def _part_rows(report: dict[str, Any]) -> Iterator[tuple[str, ...]]:
    yield _part_row("all", report["all"])
    for kind in ("by_class", "by_zone", "by_service"):
        for name, part in report.get(kind, {}).items():
            yield _part_row(f"{kind.removeprefix('by_')} {name}", part)


def _part_row(name: str, part: dict[str, Any]) -> tuple[str, ...]:
    latency = part["latency"]
    return (
        name,
        str(part["sent"]),
        str(part["answered"]),
        *(_number(latency.get(key)) for key in _PERCENTILE_KEYS),
        _number(part["coverage"], 4),
    )


def compare(first: dict[str, Any], second: dict[str, Any]) -> str:
    """Returns the figures of two reports side by side, with their ratio."""
    rows: list[tuple[str, ...]] = [("figure", "A", "B", "B/A")]
    second_by_name = dict(_flatten("", second))
    for name, value in _flatten("", first):
        other = second_by_name.get(name)
        if other is None or name.startswith("plan"):
            continue
        ratio = "-" if value == 0 else f"{other / value:.3f}"
        rows.append((name, _number(value), _number(other), ratio))
    return _table(rows)


def _flatten(prefix: str, value: Any) -> Iterator[tuple[str, float]]:
    """Yields each number with its path."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(f"{prefix}.{key}" if prefix else key, item)
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield prefix, value


def _number(value: float | None, digits: int = 2) -> str:
    if value is None:
        return "-"
    if isinstance(value, int):
        return str(value)
    return f"{value:.{digits}f}"


def _pairs(values: dict[str, Any]) -> str:
    return ", ".join(f"{key} {value}" for key, value in values.items())


def _table(rows: list[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width)
            for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  ".join(cells))
    return "\n".join(lines)
