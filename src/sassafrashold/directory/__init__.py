"""The leafs of all services and which of them may receive new requests."""

from sassafrashold.directory._directory import GracePeriods
from sassafrashold.directory._directory import LeafChange
from sassafrashold.directory._directory import LeafDirectory
from sassafrashold.directory._directory import LeafRemoved
from sassafrashold.directory._directory import LeafUpdated
from sassafrashold.directory._entries import LeafEntry
from sassafrashold.directory._entries import LeafRef
from sassafrashold.directory._zones_out import ZonesOut

__all__ = [
    "GracePeriods",
    "LeafChange",
    "LeafDirectory",
    "LeafEntry",
    "LeafRef",
    "LeafRemoved",
    "LeafUpdated",
    "ZonesOut",
]
