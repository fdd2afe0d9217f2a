"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
1996. Adding or removing a host moves only the keys of that host.
"""

from collections.abc import Iterable

import xxhash


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
