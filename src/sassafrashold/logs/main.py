"""The binary `sassafras-logs`."""

from collections.abc import Iterator
import sys
from typing import TextIO

import click

from sassafrashold import logs

_EXIT_NOT_FOUND = 1


@click.group(name="sassafras-logs")
def main() -> None:
    """Explains requests from the log lines of all hosts."""


@main.command()
@click.argument("request_id")
@click.argument("files", type=click.File(errors="replace"), nargs=-1)
def story(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Shows what happened to one request.

    Reads FILES, or standard input without any.
    """
    report = logs.explain_request(logs.parse(_raw_lines(files)), request_id)
    if not report:
        click.echo(
            f"no line names request {request_id}: it was served completely "
            "and in time, or its line was left out",
            err=True,
        )
        sys.exit(_EXIT_NOT_FOUND)
    for line in report:
        click.echo(line)


@main.command()
@click.option(
    "--start", default="", help="Earliest time, as written in the lines."
)
@click.option(
    "--end", default="~", help="Latest time, as written in the lines."
)
@click.argument("files", type=click.File(errors="replace"), nargs=-1)
def failures(start: str, end: str, files: tuple[TextIO, ...]) -> None:
    """Counts requests not served completely and in time, by cause and route.

    Reads FILES, or standard input without any.
    """
    for row in logs.failures(logs.parse(_raw_lines(files)), start, end):
        click.echo(
            f"{row.count:6d} {row.outcome:16s} {row.route:16s} "
            f"for example {row.example}"
        )


def _raw_lines(files: tuple[TextIO, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        yield from file


if __name__ == "__main__":
    main()
