"""Options that commands share, and what they give a command."""

from collections.abc import Callable
import dataclasses
import functools
import getpass
from typing import Any

import click

from sassafrashold import settings

_PLATFORM_VARIABLE = "SASSAFRAS_PLATFORM"
_ENTRY_VARIABLE = "SASSAFRAS_ENTRY"


@dataclasses.dataclass(frozen=True)
class Options:
    """The options in force for a command."""

    platform: settings.Address | None
    """Address of the platform."""

    entries: tuple[settings.Address, ...]
    """HTTP addresses of entry hosts."""

    as_json: bool
    """Whether to write JSON."""

    who: str = ""
    """Operator."""

    note: str = ""
    """Reason for an edit."""

    wait: bool = False
    """Whether to wait until an edit is in force."""


class AddressType(click.ParamType[settings.Address]):
    """An `ip:port` on the command line."""

    name = "ip:port"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> settings.Address:
        """Parses an address."""
        if isinstance(value, settings.Address):
            return value
        try:
            return settings.Address.parse(value)
        except ValueError:
            self.fail(f"{value!r} is not ip:port", param, ctx)


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


_CONNECTION = (
    click.option(
        "--platform",
        type=AddressType(),
        envvar=_PLATFORM_VARIABLE,
        help=f"Address of the platform; also ${_PLATFORM_VARIABLE}.",
    ),
    click.option(
        "--entry",
        "entries",
        type=AddressType(),
        multiple=True,
        envvar=_ENTRY_VARIABLE,
        help="HTTP address of an entry host; repeatable; also "
        f"${_ENTRY_VARIABLE} with spaces between.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Write JSON."),
)

_EDIT = (
    click.option(
        "--who",
        default=_user,
        show_default="login name",
        help="Operator, for the history.",
    ),
    click.option("--note", default="", help="Reason, for the history."),
    click.option(
        "--wait",
        is_flag=True,
        help="Wait up to 4 s until the edit is in force on each --entry.",
    ),
)


def connection_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options on addresses and output."""
    return _add(function, _CONNECTION)


def command(function: Callable[..., Any]) -> Callable[..., Any]:
    """Gives a reading command its `Options` as the first argument."""
    return _add(_with_options(function), _CONNECTION)


def edit_command(function: Callable[..., Any]) -> Callable[..., Any]:
    """Gives an editing command its `Options` as the first argument."""
    return _add(_with_options(function), _CONNECTION + _EDIT)


def _with_options(function: Callable[..., Any]) -> Callable[..., Any]:
    @functools.wraps(function)
    def call(**values: Any) -> Any:
        outer = click.get_current_context().find_root().obj or {}
        options = Options(
            values.pop("platform") or outer.get("platform"),
            values.pop("entries") or outer.get("entries", ()),
            values.pop("as_json") or outer.get("as_json", False),
            values.pop("who", ""),
            values.pop("note", ""),
            values.pop("wait", False),
        )
        return function(options, **values)

    return call


def _add(
    function: Callable[..., Any], options: tuple[Callable[..., Any], ...]
) -> Callable[..., Any]:
    for option in reversed(options):
        function = option(function)
    return function
