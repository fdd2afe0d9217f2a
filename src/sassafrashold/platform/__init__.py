"""The platform's object store and host list, and their clients.

This package does not import aiohttp, so that the control daemon stays within
its memory budget. `sassafrashold.platform.http` does.
"""

from sassafrashold.platform._backoff import Backoff
from sassafrashold.platform._gateway import GatewayStore
from sassafrashold.platform._gateway import gateway_handlers
from sassafrashold.platform._interface import MAX_VALUE_BYTES
from sassafrashold.platform._interface import HostSource
from sassafrashold.platform._interface import ObjectStore
from sassafrashold.platform._interface import Stored
from sassafrashold.platform._memory import Fault
from sassafrashold.platform._memory import MemoryStore
from sassafrashold.platform._resolve import put_resolved

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
