"""Makes an edit, shows it, and waits until it is in force."""

import asyncio
import contextlib
import dataclasses
import datetime
import sys

import click

from sassafrashold import clock as clock_lib
from sassafrashold import settings
from sassafrashold import table as table_lib
from sassafrashold.ctl import _entries
from sassafrashold.ctl import _options
from sassafrashold.ctl import _output
from sassafrashold.ctl import _run
from sassafrashold.store import http

# Bound within which an accepted edit is in force on every host (P10).
_CONFIRMATION_TIME = datetime.timedelta(seconds=4)
_POLL_INTERVAL = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(frozen=True)
class _Made:
    """An accepted edit and what the hosts said about it."""

    accepted: table_lib.Accepted
    """The edit."""

    unknown: tuple[settings.Address, ...] | None
    """Entries that did not confirm it; None if none was asked."""


def make(options: _options.Options, change: table_lib.Change) -> None:
    """Makes a change and reports it; exits on an error.

    Args:
        options: The options of the command.
        change: The change.
    """
    if options.wait and not options.entries:
        raise click.UsageError("--wait needs --entry ip:port")
    made = _run.with_platform(
        options, lambda client: _make(client, options, change)
    )
    if options.as_json:
        _output.write_json(_document(made, options))
    else:
        _write(made, options)
    if made.unknown:
        sys.exit(_run.EXIT_NOT_CONFIRMED)


async def _make(
    client: http.HttpPlatform,
    options: _options.Options,
    change: table_lib.Change,
) -> _Made:
    editor = table_lib.Editor(client, clock_lib.SystemClock())
    accepted = await editor.apply(change, who=options.who, note=options.note)
    if not options.wait:
        return _Made(accepted, None)
    unknown = await _wait(options.entries, accepted)
    return _Made(accepted, unknown)


async def _wait(
    entries: tuple[settings.Address, ...], accepted: table_lib.Accepted
) -> tuple[settings.Address, ...]:
    """Returns the entries that do not confirm an edit in time."""
    missing = set(entries)

    async def poll(entry: settings.Address) -> None:
        while entry in missing:
            facts = await _entries.facts((entry,))
            if _is_in_force(facts[entry], accepted):
                missing.discard(entry)
            else:
                await asyncio.sleep(_POLL_INTERVAL.total_seconds())

    polls = asyncio.gather(*(poll(entry) for entry in entries))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(polls, _CONFIRMATION_TIME.total_seconds())
    return tuple(sorted(missing))


def _is_in_force(
    facts: list[_entries.Fact], accepted: table_lib.Accepted
) -> bool:
    """Returns whether all processes of a host that state a table have an edit.

    The entry states the revision, owner and control the version in the store. A
    process that did not answer its entry is unknown, and so is its host.
    """
    bound_by_name = {
        "table_revision": accepted.revision,
        "view.version": accepted.version,
        "object_version": accepted.version,
    }
    stated = [
        (fact.value, bound_by_name[fact.name])
        for fact in facts
        if fact.subject == table_lib.TABLE_KEY and fact.name in bound_by_name
    ]
    silent = any(f.name == "status" and f.value is None for f in facts)
    return (
        bool(stated)
        and not silent
        and all(
            isinstance(value, int) and value >= bound for value, bound in stated
        )
    )


def _document(made: _Made, options: _options.Options) -> dict[str, object]:
    accepted = made.accepted
    document: dict[str, object] = {
        "revision": accepted.revision,
        "edit": accepted.edit.edit_id,
        "cells": _output.cell_documents(accepted.edit.cells),
    }
    if made.unknown is not None:
        document["in_force"] = {
            str(entry): "unknown" if entry in made.unknown else True
            for entry in options.entries
        }
    return document


def _write(made: _Made, options: _options.Options) -> None:
    accepted = made.accepted
    click.echo(
        f"accepted as revision {accepted.revision}, edit "
        f"{accepted.edit.edit_id}"
    )
    _output.write_cells(accepted.edit.cells)
    if not accepted.edit.cells:
        click.echo("  nothing to change: the table was already as asked")
    if made.unknown is None:
        return
    confirmed = len(options.entries) - len(made.unknown)
    click.echo(f"in force on {confirmed} of {len(options.entries)} hosts")
    for entry in made.unknown:
        click.echo(f"  {entry}: unknown")
