"""`sassafras-ctl status`."""

import sys

import click

from sassafrashold.ctl import _entries
from sassafrashold.ctl import _facts
from sassafrashold.ctl import _options
from sassafrashold.ctl import _output
from sassafrashold.ctl import _run


@click.command()
@_options.command
def status(options: _options.Options) -> None:
    """Shows what platform and hosts know, with age and source.

    A fact that nobody could tell is "unknown".
    """
    if options.platform is None and not options.entries:
        raise click.UsageError("status needs --platform or --entry")
    facts = _run.guarded(options, _collect(options))
    if options.as_json:
        _output.write_json(_output.fact_documents(facts))
    else:
        _output.write_facts(facts)
    if all(fact.value is None for fact in facts):
        sys.exit(_run.EXIT_UNAVAILABLE)


async def _collect(options: _options.Options) -> list[_entries.Fact]:
    facts = []
    if options.platform is not None:
        state = await _facts.read_platform(options.platform)
        facts.extend(_facts.platform_facts(state))
    for found in (await _entries.facts(options.entries)).values():
        facts.extend(found)
    return facts
