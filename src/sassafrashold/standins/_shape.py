"""The shape of a deployment: zones, services, leafs, addresses.

Everything that a deployment consists of is computed from one `Deployment`, so
tests, demo and benchmarks can vary any part of it.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import functools
import itertools
from typing import Any

from sassafrashold import index
from sassafrashold import settings
from sassafrashold import table as table_lib
from sassafrashold.standins import _profile

_ADDRESSES_PER_SUBNET = 250
_HOST_SUBNET = 1
_LEAF_SUBNET = 2
_PROXY_SUBNET = 100
_LEAF_PROXY_SUBNET = 102


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceGroup:
    """Services that have the same shape."""

    name: str
    """Name of the group; of the service itself if `count` is None."""

    count: int | None = None
    """Number of services, named `name-01` and so on."""

    leafs: int
    """Leafs of each service, spread evenly over the zones."""

    shards: int
    """Shards of each index version."""

    replicas: int = 2
    """Leafs that hold a shard, in different zones where possible."""

    slots: int
    """Calls that a leaf runs at once."""

    connections: int
    """Connections that a leaf accepts."""

    connect_ms: float
    """Cost of a new connection."""

    cells: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Columns of the table row that differ from their defaults."""

    profile: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    """Further fields of the leafs' profile."""

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services."""
        if self.count is None:
            return (self.name,)
        return tuple(
            f"{self.name}-{number:02}" for number in range(1, self.count + 1)
        )


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone."""

    name: str
    """Its name."""

    hosts: int
    """Entry hosts in it."""

    upstream_hosts: int = 3
    """Hosts that leafs run on."""


@dataclasses.dataclass(frozen=True)
class Host:
    """An entry host and the addresses of its processes."""

    name: str
    """Host id."""

    zone: str
    """Availability zone."""

    ip: str
    """Loopback address."""

    @property
    def entry_http(self) -> settings.Address:
        """Address for callers."""
        return settings.Address(self.ip, 8000)

    @property
    def entry_thrift(self) -> settings.Address:
        """Address of the entry for the local control."""
        return settings.Address(self.ip, 8001)

    @property
    def owner(self) -> settings.Address:
        """Address of the owner."""
        return settings.Address(self.ip, 8002)

    @property
    def control(self) -> settings.Address:
        """Address of the control."""
        return settings.Address(self.ip, 8003)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Everything about a deployment on one machine."""

    name: str
    """Name of the deployment."""

    zones: tuple[Zone, ...]
    """Availability zones."""

    groups: tuple[ServiceGroup, ...]
    """Services."""

    versions: tuple[str, ...] = ("v2", "v1")
    """Index versions of each service, newest first."""

    network: int = 0
    """Second octet of all addresses (127.N.x.x); separates parallel runs."""

    leaf_processes: int = 1
    """Processes over which the leafs are spread, by zone if there are more."""

    proxied: bool = False
    """Whether platform and leafs are reached through the proxy."""

    with_table: bool = False
    """Whether the initial objects contain the table."""

    seed: int = 1
    """Seed of the stand-ins."""

    log_level: str = "INFO"
    """Log level of all processes."""

    entry_options: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Further keys of the sections `[entry]`."""

    owner_options: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Further keys of the sections `[owner]`."""

    control_options: Mapping[str, str] = dataclasses.field(default_factory=dict)
    """Further keys of the sections `[control]`."""

    platform_options: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    """Further keys of the section `[platform]`."""

    def _address(self, subnet: int, number: int, port: int) -> settings.Address:
        extra, last = divmod(number, _ADDRESSES_PER_SUBNET)
        return settings.Address(
            f"127.{self.network}.{subnet + extra}.{last + 1}", port
        )

    @functools.cached_property
    def hosts(self) -> tuple[Host, ...]:
        """All entry hosts."""
        numbers = itertools.count()
        return tuple(
            Host(
                f"{zone.name}-{number}",
                zone.name,
                self._address(_HOST_SUBNET, next(numbers), 0).ip,
            )
            for zone in self.zones
            for number in range(1, zone.hosts + 1)
        )

    @property
    def host_by_name(self) -> dict[str, Host]:
        """Entry hosts by host id."""
        return {host.name: host for host in self.hosts}

    @property
    def platform(self) -> settings.Address:
        """Address of the platform stand-in."""
        return settings.Address(f"127.{self.network}.0.1", 7000)

    @property
    def platform_admin(self) -> settings.Address:
        """Address of its admin interface."""
        return settings.Address(f"127.{self.network}.0.1", 7001)

    @property
    def proxy_admin(self) -> settings.Address:
        """Address of the admin interface of the proxy."""
        return settings.Address(f"127.{self.network}.0.1", 7101)

    def leaf_admin(self, process: int) -> settings.Address:
        """Address of the admin interface of a leaf process."""
        return settings.Address(f"127.{self.network}.0.1", 7201 + process)

    def platform_for(self, zone: str) -> settings.Address:
        """Address at which the hosts of a zone reach the platform."""
        if not self.proxied:
            return self.platform
        names = [known.name for known in self.zones]
        return self._address(_PROXY_SUBNET, names.index(zone), 7000)

    @functools.cached_property
    def shardmaps(self) -> tuple[index.ShardMap, ...]:
        """Shard maps with the real addresses of the leafs."""
        return tuple(self._shardmaps(_LEAF_SUBNET))

    @functools.cached_property
    def stored_shardmaps(self) -> tuple[index.ShardMap, ...]:
        """Shard maps as the store has them: with the proxy's addresses."""
        if not self.proxied:
            return self.shardmaps
        return tuple(self._shardmaps(_LEAF_PROXY_SUBNET))

    def _shardmaps(self, subnet: int) -> Iterator[index.ShardMap]:
        numbers = itertools.count()
        for group in self.groups:
            for service in group.services:
                leafs = tuple(
                    self._leaf(service, position, next(numbers), subnet)
                    for position in range(group.leafs)
                )
                yield _shardmap(service, group, leafs, self.versions)

    def _leaf(
        self, service: str, position: int, number: int, subnet: int
    ) -> index.Leaf:
        zone = self.zones[position % len(self.zones)]
        upstream = number // len(self.zones) % zone.upstream_hosts
        return index.Leaf(
            f"{service}-leaf-{position + 1:02}",
            zone.name,
            f"{zone.name}-upstream-{upstream + 1}",
            self._address(subnet, number, 9000),
        )

    @property
    def table(self) -> table_lib.Table:
        """The table with a row per service."""
        zones = ";".join(f"{zone.name}=1" for zone in self.zones)
        return table_lib.Table(
            revision=1,
            rows=tuple(
                sorted(
                    (
                        table_lib.ServiceRow.from_cells(
                            {
                                "service": service,
                                "zones": zones,
                                "slots_per_leaf": str(group.slots),
                                "connections_per_leaf": str(group.connections),
                                **group.cells,
                            }
                        )
                        for group in self.groups
                        for service in group.services
                    ),
                    key=lambda row: row.service,
                )
            ),
        )

    def profile_of(self, group: ServiceGroup) -> _profile.Profile:
        """Returns the profile of a group's leafs."""
        return _profile.Profile(
            slots=group.slots,
            connections=group.connections,
            connect_ms=group.connect_ms,
            **group.profile,
        )


def _shardmap(
    service: str,
    group: ServiceGroup,
    leafs: tuple[index.Leaf, ...],
    versions: tuple[str, ...],
) -> index.ShardMap:
    """Spreads the shards; each version starts at another leaf."""
    step = max(
        range(1, max(2, len(leafs))),
        key=lambda step: _spread(group, leafs, step),
    )
    return index.ShardMap(
        service,
        tuple(
            index.IndexVersion(
                version,
                tuple(
                    tuple(
                        leafs[position].leaf_id
                        for position in _positions(group, shard, step, offset)
                    )
                    for shard in range(group.shards)
                ),
            )
            for offset, version in enumerate(versions)
        ),
        {leaf.leaf_id: leaf for leaf in leafs},
    )


def _positions(
    group: ServiceGroup, shard: int, step: int, offset: int
) -> tuple[int, ...]:
    """Returns the leafs (by position) that hold a shard."""
    return tuple(
        dict.fromkeys(
            (shard + offset + replica * step) % group.leafs
            for replica in range(group.replicas)
        )
    )


def _spread(
    group: ServiceGroup, leafs: tuple[index.Leaf, ...], step: int
) -> tuple[int, int, int]:
    """Rates a step: zones per shard, then leafs in use and per shard."""
    shards = [
        _positions(group, shard, step, 0) for shard in range(group.shards)
    ]
    zones = min(
        len({leafs[position].zone for position in shard}) for shard in shards
    )
    used = len({position for shard in shards for position in shard})
    return zones, used, min(map(len, shards))
