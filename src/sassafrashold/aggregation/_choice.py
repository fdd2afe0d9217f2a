"""Selects the hosts that gather for others, and one of them for a query."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import random

from sassafrashold import relay

_ZERO = datetime.timedelta()
# Hosts of smaller zones get enough queries to gather well by themselves.
_MIN_ZONE_HOSTS = 12
_MAX_AGGREGATORS_PER_ZONE = 3
# The parts of a query arrive at the same time, so their host needs a link
# comparable to the largest ones of its zone.
_MIN_LINK_RATIO = 0.5
# Limit on the groups of a query: the slowest one determines its latency.
_MAX_GROUPS = 3
# A message to another zone costs about as many bytes as calls to this many of
# its leafs.
_MIN_REMOTE_SHARDS = 4
# Time for which a host that failed is not chosen; doubled with each failure in
# a row.
_FIRST_AVOID_TIME = datetime.timedelta(seconds=1)
_MAX_AVOID_TIME = datetime.timedelta(seconds=8)


def aggregators_by_zone(
    peers: Iterable[relay.Peer],
) -> Mapping[str, tuple[relay.Peer, ...]]:
    """Returns the hosts that gather for others, by availability zone.

    All hosts with the same list of peers get the same result.

    Args:
        peers: Live hosts of all zones.
    """
    peers_by_zone: dict[str, list[relay.Peer]] = collections.defaultdict(list)
    for peer in peers:
        peers_by_zone[peer.zone].append(peer)
    result = {}
    for zone, zone_peers in peers_by_zone.items():
        if len(zone_peers) < _MIN_ZONE_HOSTS:
            continue
        ranked = sorted(
            zone_peers, key=lambda peer: (-peer.link_mbps, peer.host)
        )
        min_link = ranked[0].link_mbps * _MIN_LINK_RATIO
        result[zone] = tuple(
            peer
            for peer in ranked[:_MAX_AGGREGATORS_PER_ZONE]
            if peer.link_mbps >= min_link
        )
    return result


def weight_by_host(peers: Iterable[relay.Peer]) -> Mapping[str, int]:
    """Returns the weights of hosts in the limits of shards, if not 1.

    The aggregators together weigh as much as all other hosts: they make most
    of the calls, and the others keep enough to gather when these fail.

    Args:
        peers: Live hosts of all zones.
    """
    all_peers = tuple(peers)
    names = [
        peer.host
        for zone_peers in aggregators_by_zone(all_peers).values()
        for peer in zone_peers
    ]
    if not names:
        return {}
    weight = max(1, (len(all_peers) - len(names)) // len(names))
    return dict.fromkeys(names, weight)


@dataclasses.dataclass(frozen=True)
class ShardGroup:
    """Shards of a query that one host gathers."""

    aggregator: relay.Peer | None
    """The host that gathers them; None for the host of the query."""

    shards: tuple[int, ...]
    """Indices of the shards, in order."""


class AggregatorChoice:
    """Chooses the hosts that gather the shards of a query; no I/O."""

    def __init__(
        self, own_host: str, own_zone: str, random_source: random.Random
    ) -> None:
        """Initializes the choice without any peers.

        Args:
            own_host: Name of this host.
            own_zone: Its availability zone.
            random_source: Spreads queries over hosts and zones.
        """
        self._own_host = own_host
        self._own_zone = own_zone
        self._random = random_source
        self._aggregators_by_zone: Mapping[str, tuple[relay.Peer, ...]] = {}
        self._failures_by_host: dict[str, int] = {}
        self._avoid_until_by_host: dict[str, datetime.timedelta] = {}
        self._open_by_host: collections.Counter[str] = collections.Counter()

    def set_peers(self, peers: Iterable[relay.Peer]) -> None:
        """Sets the live hosts of all zones, this one included."""
        self._aggregators_by_zone = aggregators_by_zone(peers)

    def divide(
        self,
        zones_by_shard: Sequence[Collection[str]],
        now: datetime.timedelta,
    ) -> tuple[ShardGroup, ...]:
        """Divides the shards of a query among hosts near their leafs.

        The own zone gathers all shards that it holds. The others go to as few
        other zones as possible, as each of them costs a message between zones
        and a shard that is called from another zone costs one as well.

        Args:
            zones_by_shard: For each shard, the reachable zones that have a
                usable leaf of it.
            now: Monotonic time.

        Returns:
            Groups that hold each shard once; a single group without an
            aggregator if this host gathers the whole query.
        """
        remaining = set(range(len(zones_by_shard)))
        groups: list[ShardGroup] = []
        candidates_by_zone = self._candidates_by_zone(now)
        while remaining and candidates_by_zone and len(groups) < _MAX_GROUPS:
            zone, held = self._best_zone(
                zones_by_shard, remaining, candidates_by_zone
            )
            if len(held) < _MIN_REMOTE_SHARDS and zone != self._own_zone:
                break
            candidates = candidates_by_zone.pop(zone)
            if held:
                groups.append(ShardGroup(self._pick(candidates), held))
                remaining.difference_update(held)
        if not groups:
            return (ShardGroup(None, tuple(sorted(remaining))),)
        if remaining:
            first = groups[0]
            shards = tuple(sorted((*first.shards, *remaining)))
            groups[0] = ShardGroup(first.aggregator, shards)
        return tuple(groups)

    def _candidates_by_zone(
        self, now: datetime.timedelta
    ) -> dict[str, tuple[relay.Peer, ...]]:
        """Returns the usable aggregators of each zone that has any.

        The own zone is always listed: this host gathers in place of its
        aggregators if it is one of them or if all have failed.
        """
        candidates_by_zone: dict[str, tuple[relay.Peer, ...]] = {
            self._own_zone: ()
        }
        for zone, aggregators in self._aggregators_by_zone.items():
            if any(peer.host == self._own_host for peer in aggregators):
                continue
            usable = tuple(
                peer
                for peer in aggregators
                if self._avoid_until_by_host.get(peer.host, _ZERO) <= now
            )
            if usable:
                candidates_by_zone[zone] = usable
        return candidates_by_zone

    def _best_zone(
        self,
        zones_by_shard: Sequence[Collection[str]],
        remaining: Collection[int],
        zones: Collection[str],
    ) -> tuple[str, tuple[int, ...]]:
        """Returns the own zone, or else the one that holds most shards."""
        if self._own_zone in zones:
            best = self._own_zone
        else:
            held_by_zone = collections.Counter(
                zone
                for shard in remaining
                for zone in zones_by_shard[shard]
                if zone in zones
            )
            most = max(held_by_zone.values(), default=0)
            best = self._random.choice(
                sorted(
                    zone for zone in zones if held_by_zone.get(zone, 0) == most
                )
            )
        return best, tuple(
            sorted(
                shard for shard in remaining if best in zones_by_shard[shard]
            )
        )

    def _pick(self, candidates: Sequence[relay.Peer]) -> relay.Peer | None:
        """Returns the less busy one of two random hosts; None without any."""
        if not candidates:
            return None
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda peer: self._open_by_host[peer.host])

    def started(self, host: str) -> None:
        """Records that a query was sent to a host."""
        self._open_by_host[host] += 1

    def ended(self, host: str, failed: bool, now: datetime.timedelta) -> None:
        """Records the end of a query that was sent to a host.

        Args:
            host: Name of the host.
            failed: Whether the host did not answer as expected.
            now: Monotonic time.
        """
        self._open_by_host[host] -= 1
        if not failed:
            self._failures_by_host.pop(host, None)
            self._avoid_until_by_host.pop(host, None)
            return
        failures = self._failures_by_host.get(host, 0)
        self._failures_by_host[host] = failures + 1
        self._avoid_until_by_host[host] = now + min(
            _FIRST_AVOID_TIME * 2**failures, _MAX_AVOID_TIME
        )

    def abandoned(self, host: str) -> None:
        """Records that a query to a host was cancelled by its caller."""
        self._open_by_host[host] -= 1
