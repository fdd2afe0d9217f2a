"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
1996. Adding or removing a host moves only the keys of that host.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

# Children of each host in the gossip tree.
_TREE_WIDTH = 8


@dataclasses.dataclass(frozen=True)
class TreeNeighbours:
    """The neighbours of a host in a tree built over a ranking of hosts."""

    parent: str | None
    """The parent; for the root, the host that is ranked second.

    None if the ranking has no such host.
    """

    children: tuple[str, ...]
    """The children, at most 8."""


def tree_neighbours(own: str, ranking: list[str]) -> TreeNeighbours:
    """Returns the neighbours of a host in the tree of width 8 over a ranking.

    Args:
        own: Name of the host; an unranked host is a child of the root.
        ranking: Names of the hosts, the root first.
    """
    if own not in ranking:
        return TreeNeighbours(next(iter(ranking), None), ())
    position = ranking.index(own)
    parent_index = 1 if position == 0 else (position - 1) // _TREE_WIDTH
    first_child = position * _TREE_WIDTH + 1
    return TreeNeighbours(
        ranking[parent_index] if parent_index < len(ranking) else None,
        tuple(ranking[first_child : first_child + _TREE_WIDTH]),
    )


def choose(key: str, hosts: Iterable[str]) -> str | None:
    """Returns the host with the highest weight for `key`; None if no hosts."""
    return max(hosts, key=lambda host: (_weight(key, host), host), default=None)


def rank(key: str, hosts: Iterable[str]) -> list[str]:
    """Returns the hosts by descending weight for `key`."""
    return sorted(
        hosts, key=lambda host: (_weight(key, host), host), reverse=True
    )


def _weight(key: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())
