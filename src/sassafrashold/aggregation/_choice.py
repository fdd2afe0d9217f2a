"""Selects the hosts that gather for others, and one of them for a query."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
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


class AggregatorChoice:
    """Chooses the host that gathers a query; no I/O."""

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

    def choose(
        self, shards_by_zone: Mapping[str, int], now: datetime.timedelta
    ) -> relay.Peer | None:
        """Returns the host that gathers a query; None for this host.

        The own zone comes first if it holds as many shards as any other, then
        the zones that hold most shards.

        Args:
            shards_by_zone: Number of shards of the query with a usable leaf,
                for each reachable availability zone.
            now: Monotonic time.
        """
        most = max(shards_by_zone.values(), default=0)
        if not most:
            return None
        own_zone_holds_most = shards_by_zone.get(self._own_zone, 0) == most
        if own_zone_holds_most:
            zones = [self._own_zone]
        else:
            zones = [zone for zone, n in shards_by_zone.items() if n == most]
        candidates = [
            peer
            for zone in zones
            for peer in self._aggregators_by_zone.get(zone, ())
            if self._avoid_until_by_host.get(peer.host, _ZERO) <= now
        ]
        if not candidates or any(
            peer.host == self._own_host for peer in candidates
        ):
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
