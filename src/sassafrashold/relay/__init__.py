"""Copies of the store's objects, replicated from host to host.

Each waiting (long-poll) call to the store is charged, so only a few hosts of a
zone read the store; the other hosts follow them.
"""

from sassafrashold.relay._documents import Batch
from sassafrashold.relay._documents import Document
from sassafrashold.relay._mirror import Mirror
from sassafrashold.relay._position import LatestEra
from sassafrashold.relay._position import Position
from sassafrashold.relay._sources import MIN_HOSTS_TO_RELAY
from sassafrashold.relay._sources import READER_COUNT
from sassafrashold.relay._sources import Peer
from sassafrashold.relay._sources import likely_readers_first
from sassafrashold.relay._sources import sources_for
from sassafrashold.relay._sources import store_readers

__all__ = [
    "MIN_HOSTS_TO_RELAY",
    "READER_COUNT",
    "Batch",
    "Document",
    "LatestEra",
    "Mirror",
    "Peer",
    "Position",
    "likely_readers_first",
    "sources_for",
    "store_readers",
]
