"""The local view of the objects that control distributes."""

from sassafrashold.views._feed import Feed
from sassafrashold.views._view import HOSTS_KEY
from sassafrashold.views._view import HostEntry
from sassafrashold.views._view import HostList
from sassafrashold.views._view import Source
from sassafrashold.views._view import View

__all__ = ["HOSTS_KEY", "Feed", "HostEntry", "HostList", "Source", "View"]
