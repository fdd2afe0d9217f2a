"""The platform's object store and host list, and their clients.

This package does not import aiohttp, so that the control daemon stays within
its memory budget. `sassafrashold.store.http` does.
"""

from sassafrashold.backoff import Backoff
from sassafrashold.store._gateway import GatewayStore
from sassafrashold.store._gateway import gateway_handlers
from sassafrashold.store._interface import MAX_VALUE_BYTES
from sassafrashold.store._interface import HostSource
from sassafrashold.store._interface import ObjectStore
from sassafrashold.store._interface import Stored
from sassafrashold.store._memory import Fault
from sassafrashold.store._memory import MemoryStore
from sassafrashold.store._resolve import put_resolved

__all__ = [
    "MAX_VALUE_BYTES",
    "Backoff",
    "Fault",
    "GatewayStore",
    "HostSource",
    "MemoryStore",
    "ObjectStore",
    "Stored",
    "gateway_handlers",
    "put_resolved",
]
