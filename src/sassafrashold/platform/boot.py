"""The settings file that the platform writes for each process."""

from collections.abc import Mapping
import dataclasses
import datetime
import pathlib

from sassafrashold import errors
from sassafrashold import settings

PATH_VARIABLE = "SASSAFRASHOLD_BOOT"
DEFAULT_PATH = "/etc/sassafrashold/node.conf"
_DEFAULT_HEARTBEAT_MS = "1200"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits that the platform sets for hosts."""

    drain: datetime.timedelta
    """How long a leaf that announced its drain may still get requests."""

    grace: datetime.timedelta
    """Time from SIGTERM to SIGKILL."""

    extra_calls_ratio: float
    """Extra calls for each request to a service, over all hosts."""

    extra_calls_burst: float
    """Extra calls allowed in addition to the ratio."""

    extra_calls_window: datetime.timedelta
    """Length of the sliding window over which ratio and burst apply."""

    cold_burst_factor: float
    """Factor on the rate that a service states for cold leafs."""

    cold_slack: float
    """Requests per second allowed in addition to that rate."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostSettings:
    """Settings that a process reads when it starts."""

    host: str
    """Name of the host."""

    zone: str
    """Its availability zone."""

    ip: str
    """Its address."""

    clients: settings.Address
    """Where callers connect."""

    readiness: settings.Address
    """Where the platform probes the readiness of the host."""

    peers: settings.Address
    """Where other hosts of the system connect."""

    seeds: tuple[settings.Address, ...]
    """Peer addresses of up to three hosts; may be stale."""

    link_mbps: float
    """Bandwidth of the host's link, in Mbit/s; 0 if unknown."""

    memory_mb: float
    """Memory limit of the process, in MB; 0 if unknown."""

    max_fds: float
    """Limit on the open file descriptors of the process; 0 if unknown."""

    bootstrap: bool
    """Whether the whole system starts for the first time."""

    store: settings.Address
    """The platform's store."""

    leaf_heartbeat: datetime.timedelta
    """Interval at which a leaf writes its entry."""

    bounds: Bounds
    """Limits that the platform sets."""


class _Fields:
    """Checked access to the fields of the file."""

    def __init__(self, value_by_name: Mapping[str, str]) -> None:
        self._value_by_name = value_by_name

    def text(self, name: str) -> str:
        value = self._value_by_name.get(name, "")
        if not value:
            raise _error(name, "a value", value)
        return value

    def number(self, name: str, default: str = "") -> float:
        value = self._value_by_name.get(name) or default
        if not value:
            raise _error(name, "a value", value)
        try:
            number = float(value)
        except ValueError:
            raise _error(name, "a number", value) from None
        if not 0 <= number < float("inf"):
            raise _error(name, "a number of at least 0", value)
        return number

    def milliseconds(self, name: str) -> datetime.timedelta:
        return datetime.timedelta(milliseconds=self.number(name))

    def seconds(self, name: str) -> datetime.timedelta:
        return datetime.timedelta(seconds=self.number(name))

    def addresses(self, name: str) -> tuple[settings.Address, ...]:
        found = []
        for item in self._value_by_name.get(name, "").split(","):
            if not item.strip():
                continue
            try:
                found.append(settings.Address.parse(item))
            except ValueError:
                raise _error(name, "IPv4 addresses and ports", item) from None
        return tuple(found)

    def address(self, name: str) -> settings.Address:
        value = self.text(name)
        try:
            return settings.Address.parse(value)
        except ValueError:
            raise _error(name, "IPv4 address and port", value) from None


def settings_path(environment: Mapping[str, str]) -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(environment.get(PATH_VARIABLE) or DEFAULT_PATH)


def load(path: pathlib.Path) -> HostSettings:
    """Reads the settings file.

    Raises:
        SettingsError: The file can't be read, or a field is missing or wrong;
            the message names the field, its value and what was expected.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            errors.ErrorCode.BAD_SETTINGS, f"{path}: {error}"
        ) from error
    return parse(text)


def parse(text: str) -> HostSettings:
    """Parses lines of `name=value`; unknown names are ignored.

    Raises:
        SettingsError: A field is missing or wrong.
    """
    value_by_name = {}
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        name, separator, value = stripped.partition("=")
        if not separator:
            raise _error(f"line {number}", "name=value", stripped)
        value_by_name[name.strip()] = value.strip()
    fields = _Fields(value_by_name)
    return HostSettings(
        host=fields.text("node_name"),
        zone=fields.text("zone"),
        ip=fields.text("ip"),
        clients=fields.address("listen.front"),
        readiness=fields.address("listen.ready"),
        peers=fields.address("listen.control"),
        seeds=fields.addresses("seeds"),
        link_mbps=fields.number("limits.link_mbps", default="0"),
        memory_mb=fields.number("limits.memory_mb", default="0"),
        max_fds=fields.number("limits.max_fds", default="0"),
        bootstrap=value_by_name.get("bootstrap") == "true",
        store=fields.address("platform.address"),
        leaf_heartbeat=datetime.timedelta(
            milliseconds=fields.number(
                "heartbeat_ms", default=_DEFAULT_HEARTBEAT_MS
            )
        ),
        bounds=Bounds(
            drain=fields.milliseconds("bounds.drain_ms"),
            grace=fields.seconds("bounds.grace_s"),
            extra_calls_ratio=fields.number("bounds.retry_budget_ratio"),
            extra_calls_burst=fields.number("bounds.retry_budget_burst"),
            extra_calls_window=fields.seconds("bounds.budget_window_s"),
            cold_burst_factor=fields.number("bounds.cold_burst_factor"),
            cold_slack=fields.number("bounds.cold_slack"),
        ),
    )


def _error(name: str, expected: str, value: str) -> errors.SettingsError:
    return errors.SettingsError(
        errors.ErrorCode.BAD_SETTINGS,
        f"{name}: expected {expected}, got {value!r}",
        field=name,
    )
