"""The binary `sassafras-load`."""

import asyncio
import json
import pathlib
import sys
from typing import Any

import click

from sassafrashold import load
from sassafrashold import settings

_EXIT_WRONG_ANSWERS = 1


class _Parsed(click.ParamType[Any]):
    """A parameter that a function parses."""

    def __init__(self, name: str, parse: Any) -> None:
        self.name = name
        self._parse = parse

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Parses a text."""
        try:
            return self._parse(value) if isinstance(value, str) else value
        except ValueError as error:
            return self.fail(f"{value!r}: {error}", param, ctx)


_ENTRY = click.option(
    "--entry",
    "entries",
    type=_Parsed("zone=ip:port", load.Entry.parse),
    multiple=True,
    required=True,
    help="An entry's HTTP address; repeat for each entry.",
)
_RATE = click.option(
    "--rate", type=click.FloatRange(min=0, min_open=True), default=50.0
)
_DURATION = click.option(
    "--duration",
    "duration_s",
    type=click.FloatRange(min=0, min_open=True),
    default=10.0,
    help="Seconds.",
)
_ARRIVALS = click.option(
    "--arrivals",
    type=click.Choice(["constant", "poisson"]),
    default="poisson",
)
_SEED = click.option("--seed", type=int, default=1)
_ADMIN = click.option(
    "--leaf-admin",
    "leaf_admins",
    type=_Parsed("ip:port", settings.Address.parse),
    multiple=True,
    help="Admin address of a leaf stand-in, for its record.",
)
_OUTPUT = click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    help="File for the figures as JSON.",
)


@click.group()
def main() -> None:
    """Generates load and compares its figures."""


@main.command()
@_ENTRY
@click.option(
    "--target",
    "targets",
    type=_Parsed("service[:weight[:class[:deadline_ms]]]", load.Target.parse),
    multiple=True,
    required=True,
)
@_RATE
@_DURATION
@click.option(
    "--warmup",
    "warmup_s",
    type=click.FloatRange(min=0),
    default=0.0,
    help="Seconds at the start that are not counted.",
)
@_ARRIVALS
@_SEED
@_ADMIN
@_OUTPUT
def search(output: pathlib.Path | None, **values: Any) -> None:
    """Sends searches and checks each answer; exits 1 if one is wrong."""
    report = asyncio.run(load.run_searches(load.SearchPlan(**values)))
    _show(report, output)
    if report["wrong_answers"]:
        sys.exit(_EXIT_WRONG_ANSWERS)


@main.command()
@_ENTRY
@click.option("--service", "services", multiple=True, required=True)
@_RATE
@_DURATION
@_ARRIVALS
@_SEED
@_ADMIN
@click.option(
    "--twice-percent",
    type=click.FloatRange(0, 100),
    default=10.0,
    help="Dispatches that are sent to two entries at once.",
)
@click.option("--deadline-ms", type=click.IntRange(1, 60_000), default=1000)
@_OUTPUT
def dispatch(output: pathlib.Path | None, **values: Any) -> None:
    """Sends dispatches; exits 1 if one was lost or ran twice."""
    report = asyncio.run(load.run_dispatches(load.DispatchPlan(**values)))
    _show(report, output)
    verdict = report["verdict"]
    names = ("lost", "doubled", "ran_though_refused", "wrong_result")
    if any(verdict[name] for name in names):
        sys.exit(_EXIT_WRONG_ANSWERS)


@main.command()
@click.argument("first", type=click.Path(path_type=pathlib.Path, exists=True))
@click.argument("second", type=click.Path(path_type=pathlib.Path, exists=True))
def compare(first: pathlib.Path, second: pathlib.Path) -> None:
    """Shows the figures of two JSON files side by side."""
    reports = [json.loads(path.read_text()) for path in (first, second)]
    click.echo(load.compare(*reports))


def _show(report: dict[str, Any], output: pathlib.Path | None) -> None:
    if output is not None:
        output.write_text(json.dumps(report, indent=1) + "\n")
    click.echo(load.format_report(report))


if __name__ == "__main__":
    main()
