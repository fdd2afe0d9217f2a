"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
1996. Adding or removing a host moves only the keys of that host.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

_TREE_WIDTH = 8


@dataclasses.dataclass(frozen=True)
class TreePlace:
    """The neighbours of a host in a tree over the ranking of a key."""

    parent: str | None
    """The next host towards the root; for the root, the second host."""

    children: tuple[str, ...]
    """The hosts below, at most 8."""


def tree_place(own: str, ranking: list[str]) -> TreePlace:
    """Returns the place of a host in the tree of width 8 over a ranking.

    Args:
        own: The host; one that is not ranked is below the root.
        ranking: Hosts, the root first.
    """
    if own not in ranking:
        return TreePlace(next(iter(ranking), None), ())
    position = ranking.index(own)
    up = 1 if position == 0 else (position - 1) // _TREE_WIDTH
    first = position * _TREE_WIDTH + 1
    return TreePlace(
        ranking[up] if up < len(ranking) else None,
        tuple(ranking[first : first + _TREE_WIDTH]),
    )


def choose(key: str, hosts: Iterable[str]) -> str | None:
    """Returns the host with the highest weight for `key`; None if no host."""
    return max(hosts, key=lambda host: (_weight(key, host), host), default=None)


def rank(key: str, hosts: Iterable[str]) -> list[str]:
    """Returns the hosts by falling weight for `key`."""
    return sorted(
        hosts, key=lambda host: (_weight(key, host), host), reverse=True
    )


def _weight(key: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())
