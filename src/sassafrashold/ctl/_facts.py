"""What the platform knows, as facts."""

import dataclasses

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import index
from sassafrashold import lease
from sassafrashold import settings
from sassafrashold import table as table_lib
from sassafrashold import views
from sassafrashold.ctl import _entries
from sassafrashold.store import http


@dataclasses.dataclass(frozen=True)
class PlatformState:
    """What could be read from the platform; parts may be missing."""

    view: views.View
    """All objects that could be read."""

    reason_by_part: dict[str, str]
    """Why parts are missing, by key or prefix."""

    source: str
    """Name of the platform in facts."""


async def read_platform(address: settings.Address | None) -> PlatformState:
    """Reads table, shard maps, leases and hosts; never raises StoreError."""
    source = f"platform@{address}"
    if address is None:
        missing = "no --platform was given"
        return PlatformState(
            views.View(), dict.fromkeys(_PARTS, missing), "platform"
        )
    clock = clock_lib.SystemClock()
    client = http.HttpPlatform(address, clock)
    try:
        return await _Reader(client, clock, source).read()
    finally:
        await client.close()


_SHARDMAP_PREFIX = index.shardmap_key("")
_PARTS = (
    table_lib.TABLE_KEY,
    _SHARDMAP_PREFIX,
    lease.KEY_PREFIX,
    views.HOSTS_KEY,
)


class _Reader:
    """Collects the parts one after the other."""

    def __init__(
        self, client: http.HttpPlatform, clock: clock_lib.Clock, source: str
    ) -> None:
        self._client = client
        self._clock = clock
        self._source = source
        self._view = views.View()
        self._reason_by_part: dict[str, str] = {}

    async def read(self) -> PlatformState:
        """Reads all parts."""
        await self._object(table_lib.TABLE_KEY)
        for prefix in (_SHARDMAP_PREFIX, lease.KEY_PREFIX):
            try:
                keys = await self._client.list(prefix)
            except errors.SassafrasError as error:
                self._reason_by_part[prefix] = error.message
                continue
            for key in keys:
                await self._object(key)
        try:
            as_of, value = await self._client.host_list()
            self._take(views.HOSTS_KEY, max(1, as_of), value)
        except errors.SassafrasError as error:
            self._reason_by_part[views.HOSTS_KEY] = error.message
        return PlatformState(self._view, self._reason_by_part, self._source)

    async def _object(self, key: str) -> None:
        try:
            stored = await self._client.get(key)
            if stored is None:
                self._reason_by_part[key] = "there is no such object"
                return
            self._take(key, stored.version, stored.value)
        except errors.SassafrasError as error:
            self._reason_by_part[key] = error.message

    def _take(self, key: str, version: int, value: bytes) -> None:
        self._view = self._view.with_object(
            key, version, value, self._clock.monotonic()
        )


def platform_facts(state: PlatformState) -> list[_entries.Fact]:
    """Returns the platform's facts; reads can be stale, so ages are unknown.

    The host list states its own time, from which its age follows.
    """
    table = state.view.table
    facts = [
        _fact(
            state,
            "table_revision",
            table_lib.TABLE_KEY,
            None if table is None else table.revision,
        )
    ]
    if table is not None:
        for column in (table_lib.ZONES_COLUMN, table_lib.HOSTS_COLUMN):
            names = sorted(table.marks.names(column))
            facts.append(
                _fact(state, f"{column}_out", table_lib.TABLE_KEY, names)
            )
    for zone, found in sorted(state.view.lease_by_zone.items()):
        key = lease.lease_key(zone)
        facts.append(_fact(state, "lease_epoch", key, found.epoch))
        hosts = [member.host for member in found.members]
        facts.append(_fact(state, "lease_members", key, hosts))
    facts.extend(_missing(state))
    facts.append(_hosts_fact(state))
    return facts


def _hosts_fact(state: PlatformState) -> _entries.Fact:
    hosts = state.view.host_list
    if hosts is None:
        return _fact(state, "leaving_hosts", views.HOSTS_KEY, None)
    age = clock_lib.SystemClock().now() - hosts.as_of
    leaving = sorted(
        entry.host for entry in hosts.entry_by_host.values() if entry.leaving
    )
    return dataclasses.replace(
        _fact(state, "leaving_hosts", views.HOSTS_KEY, leaving),
        age_ms=max(0, clock_lib.to_ms(age)),
    )


def _missing(state: PlatformState) -> list[_entries.Fact]:
    """Returns an unknown fact for each other part that is missing."""
    return [
        _fact(state, "object", key, None)
        for key in sorted(state.reason_by_part)
        if key not in {table_lib.TABLE_KEY, views.HOSTS_KEY}
    ]


def _fact(
    state: PlatformState, name: str, key: str, value: object
) -> _entries.Fact:
    return _entries.Fact(
        name,
        key,
        value,
        None,
        state.source,
        state.reason_by_part.get(key, ""),
    )
