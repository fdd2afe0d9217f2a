"""The daemon that serves callers and calls leafs itself.

Hosts share no state but what they read from the store: each one uses its part
of the limits, so that no call between hosts is needed to serve a request.
"""

from sassafrashold.front._daemon import Daemon
from sassafrashold.front._daemon import Topics
from sassafrashold.front._interfaces import HostRegistry
from sassafrashold.front._interfaces import PeekableTopic
from sassafrashold.front._interfaces import Protocol
from sassafrashold.front._interfaces import Snapshot
from sassafrashold.front._interfaces import Topic
from sassafrashold.front._interfaces import ZoneChange
from sassafrashold.front._settings import FrontSettings

__all__ = [
    "Daemon",
    "FrontSettings",
    "HostRegistry",
    "PeekableTopic",
    "Protocol",
    "Snapshot",
    "Topic",
    "Topics",
    "ZoneChange",
]
