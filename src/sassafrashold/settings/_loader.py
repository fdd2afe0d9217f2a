"""Reads one section of an INI file into a frozen data class."""

import configparser
import dataclasses
import datetime
import ipaddress
import pathlib
import types
import typing
from typing import Any
from typing import TypeVar

from sassafrashold import errors

_SettingsT = TypeVar("_SettingsT")
_TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
_FALSE_WORDS = frozenset({"no", "false", "off", "0"})


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """An IP address and a TCP or UDP port."""

    ip: str
    """IPv4 address in dotted form."""

    port: int
    """Port number; 0 lets the operating system choose one."""

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `ip:port`.

        Raises:
            ValueError: The text is not an IPv4 address and a port.
        """
        ip, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdecimal() or int(port) > 65535:
            raise ValueError("expected ip:port")
        return cls(str(ipaddress.IPv4Address(ip)), int(port))


def option(
    *,
    default: Any = dataclasses.MISSING,
    minimum: int | float | None = None,
    maximum: int | float | None = None,
    choices: tuple[str, ...] | None = None,
) -> Any:
    """Declares a field of a settings data class with its allowed values.

    Durations are given in milliseconds: as int in fields whose name ends in
    `_ms`, or in fields of type `datetime.timedelta`.
    """
    metadata = {"minimum": minimum, "maximum": maximum, "choices": choices}
    return dataclasses.field(default=default, metadata=metadata)


def load(
    path: pathlib.Path, section: str, settings_type: type[_SettingsT]
) -> _SettingsT:
    """Reads a section of a file.

    Args:
        path: The INI file.
        section: Name of the section.
        settings_type: Frozen data class whose fields are str, int, float,
            bool, Address, datetime.timedelta (in ms), pathlib.Path, tuples of
            str or of Address (comma-separated), or one of these `| None`.

    Raises:
        SettingsError: Names the file, section, key and expected value.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        raise _error(f"{path}: cannot be read: {error}", None) from error
    except configparser.Error as error:
        raise _error(f"{path}: not an INI file: {error}", None) from error
    if not parser.has_section(section):
        raise _error(f"{path}: section [{section}] is missing", section)
    return _convert(path, section, dict(parser[section]), settings_type)


def _convert(
    path: pathlib.Path,
    section: str,
    text_by_key: dict[str, str],
    settings_type: type[_SettingsT],
) -> _SettingsT:
    """Converts and checks the values of one section."""
    hints = typing.get_type_hints(settings_type)
    fields = dataclasses.fields(settings_type)  # type: ignore[arg-type]
    unknown = sorted(text_by_key.keys() - {field.name for field in fields})
    if unknown:
        raise _error(
            f"{path}: [{section}] {unknown[0]}: unknown key; known keys are "
            + ", ".join(sorted(field.name for field in fields)),
            unknown[0],
        )
    values: dict[str, Any] = {}
    for field in fields:
        if field.name not in text_by_key:
            if (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            ):
                raise _error(
                    f"{path}: [{section}] {field.name}: missing; expected "
                    + _expectation(hints[field.name], field.metadata),
                    field.name,
                )
            continue
        text = text_by_key[field.name].strip()
        try:
            value = _parse(hints[field.name], text)
            _check(value, field.metadata)
        except ValueError as error:
            raise _error(
                f"{path}: [{section}] {field.name}: got {text!r}; expected "
                + _expectation(hints[field.name], field.metadata),
                field.name,
            ) from error
        values[field.name] = value
    return settings_type(**values)


def _parse(hint: Any, text: str) -> Any:
    """Converts a text to the type of its field."""
    if isinstance(hint, types.UnionType):
        if not text:
            return None
        hint = next(arg for arg in hint.__args__ if arg is not type(None))
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return tuple(
            _parse(item, part.strip()) for part in text.split(",") if part
        )
    if hint is bool:
        return _parse_bool(text)
    if hint is datetime.timedelta:
        return datetime.timedelta(milliseconds=float(text))
    if hint is Address:
        return Address.parse(text)
    if hint is str and not text:
        raise ValueError("empty")
    return hint(text)


def _parse_bool(text: str) -> bool:
    lowered = text.lower()
    if lowered in _TRUE_WORDS:
        return True
    if lowered in _FALSE_WORDS:
        return False
    raise ValueError("not a boolean")


def _check(value: Any, metadata: typing.Mapping[str, Any]) -> None:
    """Checks a value against the bounds and choices of its field."""
    number = value
    if isinstance(value, datetime.timedelta):
        number = value.total_seconds() * 1000
    minimum = metadata.get("minimum")
    maximum = metadata.get("maximum")
    choices = metadata.get("choices")
    # Negated comparisons also reject NaN.
    if minimum is not None and value is not None and not number >= minimum:
        raise ValueError("too small")
    if maximum is not None and value is not None and not number <= maximum:
        raise ValueError("too large")
    if choices is not None and value not in choices:
        raise ValueError("not a choice")


def _expectation(hint: Any, metadata: typing.Mapping[str, Any]) -> str:
    """Describes the values that a field accepts."""
    choices = metadata.get("choices")
    if choices is not None:
        return "one of " + ", ".join(choices)
    text = _type_name(hint)
    minimum = metadata.get("minimum")
    maximum = metadata.get("maximum")
    if minimum is not None and maximum is not None:
        return f"{text} from {minimum} to {maximum}"
    if minimum is not None:
        return f"{text} of at least {minimum}"
    if maximum is not None:
        return f"{text} of at most {maximum}"
    return text


def _type_name(hint: Any) -> str:
    """Returns a human-readable name of a field type."""
    if isinstance(hint, types.UnionType):
        inner = next(arg for arg in hint.__args__ if arg is not type(None))
        return f"{_type_name(inner)} or nothing"
    if typing.get_origin(hint) is tuple:
        item = _type_name(typing.get_args(hint)[0])
        return f"a comma-separated list, each {item}"
    name_by_type = {
        str: "a text",
        int: "a whole number",
        float: "a number",
        bool: "yes or no",
        Address: "ip:port",
        datetime.timedelta: "milliseconds",
        pathlib.Path: "a path",
    }
    return name_by_type.get(hint, str(hint))


def _error(message: str, field: str | None) -> errors.SettingsError:
    return errors.SettingsError(
        errors.ErrorCode.BAD_SETTINGS, message, field=field
    )
