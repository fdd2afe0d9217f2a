"""Writes results for people or as JSON."""

from collections.abc import Iterable
import dataclasses
import json
from typing import Any

import click

from sassafrashold import table as table_lib
from sassafrashold.ctl import _entries


def write_json(value: Any) -> None:
    """Writes a JSON document."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def write_cells(cells: Iterable[table_lib.Cell]) -> None:
    """Writes changed cells, one a line."""
    for cell in cells:
        click.echo(f"  {cell_text(cell)}")


def cell_text(cell: table_lib.Cell) -> str:
    """Returns a changed cell as text."""
    old = "(none)" if cell.old is None else cell.old
    new = "(none)" if cell.new is None else cell.new
    return f"{cell.service}.{cell.column}: {old} -> {new}"


def cell_documents(
    cells: Iterable[table_lib.Cell],
) -> list[dict[str, str | None]]:
    """Returns changed cells as JSON values."""
    return [dataclasses.asdict(cell) for cell in cells]


def write_facts(facts: Iterable[_entries.Fact]) -> None:
    """Writes facts, one a line, with value, age and source."""
    for fact in facts:
        click.echo(fact_text(fact))


def fact_text(fact: _entries.Fact) -> str:
    """Returns a fact as text."""
    if fact.value is None:
        value = "unknown" + (f" ({fact.reason})" if fact.reason else "")
    elif isinstance(fact.value, str):
        value = fact.value
    else:
        value = json.dumps(fact.value, ensure_ascii=False)
    age = "unknown" if fact.age_ms is None else f"{fact.age_ms} ms"
    return f"{fact.name} {fact.subject}: {value} [age {age}, {fact.source}]"


def fact_documents(facts: Iterable[_entries.Fact]) -> list[dict[str, Any]]:
    """Returns facts as JSON values; an unknown value is `"unknown"`."""
    return [
        dataclasses.asdict(fact)
        | ({"value": "unknown"} if fact.value is None else {})
        | ({"age_ms": "unknown"} if fact.age_ms is None else {})
        for fact in facts
    ]
