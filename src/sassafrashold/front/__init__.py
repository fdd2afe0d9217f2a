"""The daemon that serves callers and calls leafs itself.

Hosts share no state but what they read from the store: each one uses its part
of the limits, so that no call between hosts is needed to serve a request.
"""

from sassafrashold.front._daemon import Daemon
from sassafrashold.front._interfaces import HostRegistry
from sassafrashold.front._interfaces import Protocol
from sassafrashold.front._interfaces import RegisteredHost
from sassafrashold.front._interfaces import Topic
from sassafrashold.front._interfaces import ZoneChange
from sassafrashold.front._settings import FrontSettings
from sassafrashold.front._view import Topics

__all__ = [
    "Daemon",
    "FrontSettings",
    "HostRegistry",
    "Protocol",
    "RegisteredHost",
    "Topic",
    "Topics",
    "ZoneChange",
]
