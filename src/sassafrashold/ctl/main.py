"""The binary `sassafras-ctl`."""

import click

from sassafrashold.ctl import _explain_commands
from sassafrashold.ctl import _mark_commands
from sassafrashold.ctl import _options
from sassafrashold.ctl import _status_command
from sassafrashold.ctl import _table_commands

_EPILOG = """\b
Exit codes:
  0  done
  1  refused: invalid input or an unknown name; nothing changed
  2  wrong usage
  3  conflict with another edit; nothing changed
  4  platform or entry unavailable, or the asked fact unknown; nothing changed
  5  the platform's answer was lost; the edit may be accepted
  6  accepted, but not confirmed by all hosts within 4 s (--wait)

Errors go to stderr as "error: CODE: message".
"""


@click.group(name="sassafras-ctl", epilog=_EPILOG)
@_options.connection_options
def main(**values: object) -> None:
    """Edits the table and shows what the hosts know.

    Options can stand before or after a command.
    """
    click.get_current_context().obj = values


for _command in (
    _table_commands.table,
    _mark_commands.zone,
    _mark_commands.host,
    _status_command.status,
    _explain_commands.explain,
):
    main.add_command(_command)

if __name__ == "__main__":
    main()
