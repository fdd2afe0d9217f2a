"""Selects the hosts of a zone that read the store, and their followers."""

from collections.abc import Iterable
import dataclasses

import xxhash

from sassafrashold import settings

# Relaying gains nothing in smaller zones, so all their hosts read the store.
MIN_HOSTS_TO_RELAY = 4
# Hosts of a zone that read the store; the first of the sources of a follower.
READER_COUNT = 2
# Hosts that followers fall back to, in order, when the readers are unavailable.
_FALLBACK_COUNT = 2


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another host of the system."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    address: settings.Address
    """Address on which it serves its copies."""

    link_mbps: float = 0.0
    """Bandwidth of its link in Mbit/s; 0 if unknown."""


def store_readers(peers: Iterable[Peer]) -> tuple[Peer, ...]:
    """Returns the hosts of a zone that read the store on behalf of the others.

    Args:
        peers: Live hosts of the zone.

    Returns:
        Readers in order of preference; empty if all hosts read the store.
    """
    ranked = _ranked(peers)
    if len(ranked) < MIN_HOSTS_TO_RELAY:
        return ()
    return tuple(ranked[:READER_COUNT])


def _ranked(peers: Iterable[Peer]) -> list[Peer]:
    # Readers need large links: sending copies to a whole zone that starts would
    # saturate the link of a small host.
    return sorted(peers, key=lambda peer: (-peer.link_mbps, peer.host))


def likely_readers_first(
    own_host: str, own_zone: str, peers: Iterable[Peer]
) -> tuple[Peer, ...]:
    """Returns all other hosts, those that read the store first.

    Args:
        own_host: Name of the host, which is left out.
        own_zone: Its zone, whose readers come before those of other zones.
        peers: Live hosts of all zones.
    """
    peers_by_zone: dict[str, list[Peer]] = {}
    for peer in peers:
        peers_by_zone.setdefault(peer.zone, []).append(peer)
    readers = {
        reader
        for zone_peers in peers_by_zone.values()
        for reader in store_readers(zone_peers) or zone_peers
    }
    others = (
        peer
        for zone_peers in peers_by_zone.values()
        for peer in zone_peers
        if peer.host != own_host
    )
    return tuple(
        sorted(
            others,
            key=lambda peer: (
                peer not in readers,
                peer.zone != own_zone,
                peer.host,
            ),
        )
    )


def sources_for(own_host: str, peers: Iterable[Peer]) -> tuple[Peer, ...]:
    """Returns the hosts that a host follows, in order of preference.

    Args:
        own_host: Name of the host.
        peers: Live hosts of its zone, including itself.

    Returns:
        Hosts to follow; empty if the host reads the store itself.
    """
    ranked = _ranked(peers)
    if len(ranked) < MIN_HOSTS_TO_RELAY:
        return ()
    names = [peer.host for peer in ranked]
    if own_host not in names:
        return ()
    rank = names.index(own_host)
    if rank < READER_COUNT:
        return ()
    readers = ranked[:READER_COUNT]
    first = xxhash.xxh32_intdigest(own_host.encode()) % READER_COUNT
    fallbacks = ranked[READER_COUNT : min(rank, READER_COUNT + _FALLBACK_COUNT)]
    return (*readers[first:], *readers[:first], *fallbacks)
