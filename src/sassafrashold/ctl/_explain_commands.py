"""`sassafras-ctl explain`."""

import sys
from typing import Any

import click

from sassafrashold import errors
from sassafrashold.ctl import _entries
from sassafrashold.ctl import _explanations
from sassafrashold.ctl import _facts
from sassafrashold.ctl import _options
from sassafrashold.ctl import _output
from sassafrashold.ctl import _run


@click.group()
def explain() -> None:
    """Says why a leaf, zone or request is as it is."""


@explain.command()
@click.argument("leaf_id", metavar="ID")
@_options.command
def leaf(options: _options.Options, leaf_id: str) -> None:
    """Says whether a leaf gets work, through whom, and why."""
    _write(
        options,
        _run.guarded(options, _collect(options, leaf_id)),
        _explanations.explain_leaf,
        leaf_id,
    )


@explain.command()
@click.argument("name", metavar="ID")
@_options.command
def zone(options: _options.Options, name: str) -> None:
    """Says whether a zone gets work, who owns its leafs, and why."""
    _write(
        options,
        _run.guarded(options, _collect(options, name)),
        _explanations.explain_zone,
        name,
    )


@explain.command()
@click.argument("request_id", metavar="ID")
@_options.command
def request(options: _options.Options, request_id: str) -> None:
    """Says how a recent request was served.

    Only the entry that served it knows, so name all entries.
    """
    if not options.entries:
        raise click.UsageError("explain request needs --entry")
    answers = _run.guarded(
        options,
        _entries.ask_all(options.entries, _entries.explain_path(request_id)),
    )
    found = [answer for answer in answers if answer.status == 200]
    if not found:
        _fail_unknown(options, request_id, answers)
    if options.as_json:
        _output.write_json(
            {str(answer.entry): answer.document for answer in found}
        )
        return
    for answer in found:
        click.echo(f"{request_id} at {answer.entry}:")
        _write_document(answer.document, "  ")


def _fail_unknown(
    options: _options.Options, request_id: str, answers: list[_entries.Answer]
) -> None:
    silent = [str(answer.entry) for answer in answers if answer.status != 404]
    if silent:
        code = errors.ErrorCode.UNAVAILABLE
        reason = f"unknown: no answer from {', '.join(silent)}"
    else:
        code = errors.ErrorCode.UNKNOWN_REQUEST
        reason = "none of the entries has it among its recent requests"
    _run.fail(
        options,
        errors.SassafrasError(code, f"request {request_id!r}: {reason}"),
    )


async def _collect(
    options: _options.Options, subject: str
) -> tuple[_facts.PlatformState, list[_entries.Fact]]:
    state = await _facts.read_platform(options.platform)
    found = await _entries.facts(options.entries)
    return state, [
        fact
        for facts in found.values()
        for fact in facts
        if _explanations.concerns(fact, subject)
    ]


def _write(
    options: _options.Options,
    collected: tuple[_facts.PlatformState, list[_entries.Fact]],
    explain_subject: Any,
    subject: str,
) -> None:
    state, facts = collected
    explanation = explain_subject(state, subject)
    if options.as_json:
        _output.write_json(
            {
                "subject": subject,
                "verdict": explanation.verdict,
                "reasons": list(explanation.reasons),
                "facts": _output.fact_documents([*explanation.facts, *facts]),
            }
        )
    else:
        click.echo(f"{subject}: {explanation.verdict}")
        for reason in explanation.reasons:
            click.echo(f"  {reason}")
        _output.write_facts([*explanation.facts, *facts])
    if explanation.verdict == _explanations.UNKNOWN:
        sys.exit(_run.EXIT_UNAVAILABLE)


def _write_document(value: Any, indent: str) -> None:
    """Writes nested JSON values as indented lines."""
    if isinstance(value, dict):
        for name, part in value.items():
            if isinstance(part, dict | list) and part:
                click.echo(f"{indent}{name}:")
                _write_document(part, indent + "  ")
            else:
                click.echo(f"{indent}{name}: {_scalar(part)}")
        return
    for part in value:
        if isinstance(part, dict):
            line = ", ".join(f"{k}={_scalar(v)}" for k, v in part.items())
            click.echo(f"{indent}- {line}")
        else:
            click.echo(f"{indent}- {_scalar(part)}")


def _scalar(value: Any) -> str:
    return "unknown" if value is None else str(value)
