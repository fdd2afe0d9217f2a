"""Runs the asynchronous part of a command and turns errors into exit codes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import sys
from typing import TypeVar

import click

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold.ctl import _options
from sassafrashold.store import http

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN_OUTCOME = 5
EXIT_NOT_CONFIRMED = 6

_UNAVAILABLE_CODES = frozenset(
    {errors.ErrorCode.STORE_UNAVAILABLE, errors.ErrorCode.UNAVAILABLE}
)

_ResultT = TypeVar("_ResultT")


def with_platform(
    options: _options.Options,
    action: Callable[[http.HttpPlatform], Awaitable[_ResultT]],
) -> _ResultT:
    """Runs an action that needs the platform.

    Raises:
        click.UsageError: There is no --platform.
    """
    address = options.platform
    if address is None:
        raise click.UsageError("this command needs --platform ip:port")

    async def run() -> _ResultT:
        client = http.HttpPlatform(address, clock_lib.SystemClock())
        try:
            return await action(client)
        finally:
            await client.close()

    return guarded(options, run())


def guarded(options: _options.Options, action: Awaitable[_ResultT]) -> _ResultT:
    """Runs an action; on an error writes it to stderr and exits."""

    async def run() -> _ResultT:
        return await action

    try:
        return asyncio.run(run())
    except errors.SassafrasError as error:
        fail(options, error)
        raise AssertionError("unreachable: fail exits") from error


def fail(options: _options.Options, error: errors.SassafrasError) -> None:
    """Writes an error to stderr and exits with its code."""
    if options.as_json:
        click.echo(json.dumps({"error": _document(error)}), err=True)
    else:
        click.echo(f"error: {error.code.value}: {error.message}", err=True)
        if error.ran is errors.Ran.OUTCOME_UNKNOWN:
            click.echo(
                "the edit may be accepted; see `table history`", err=True
            )
    sys.exit(_exit_code(error))


def _exit_code(error: errors.SassafrasError) -> int:
    if error.ran is errors.Ran.OUTCOME_UNKNOWN:
        return EXIT_UNKNOWN_OUTCOME
    if isinstance(error, errors.EditConflictError):
        return EXIT_CONFLICT
    if error.code in _UNAVAILABLE_CODES:
        return EXIT_UNAVAILABLE
    return EXIT_REFUSED


def _document(error: errors.SassafrasError) -> dict[str, object]:
    document: dict[str, object] = {
        "code": error.code.value,
        "message": error.message,
        "ran": error.ran.value,
    }
    if error.field is not None:
        document["field"] = error.field
    if isinstance(error, errors.EditConflictError):
        document["conflicts"] = [
            {
                "service": cell.service,
                "column": cell.column,
                "base": cell.base,
                "theirs": cell.theirs,
                "ours": cell.ours,
            }
            for cell in error.conflicts
        ]
    return document
