"""The daemon that accepts callers' requests and calls leafs directly.

The only state that hosts share is what they read from the store. Each host
applies its own share of the limits, so serving a request needs no call to
another host.
"""

from sassafrashold.front._daemon import Daemon
from sassafrashold.front._interfaces import HostRegistry
from sassafrashold.front._interfaces import RegisteredHost
from sassafrashold.front._interfaces import Topic
from sassafrashold.front._interfaces import WireProtocol
from sassafrashold.front._interfaces import ZoneChange
from sassafrashold.front._settings import FrontSettings
from sassafrashold.front._view import Topics

__all__ = [
    "Daemon",
    "FrontSettings",
    "HostRegistry",
    "RegisteredHost",
    "Topic",
    "Topics",
    "WireProtocol",
    "ZoneChange",
]
