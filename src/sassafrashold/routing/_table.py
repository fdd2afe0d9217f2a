"""The route table in force on this host."""

import random

from sassafrashold.routing import _configuration
from sassafrashold.routing import _split


class RouteTable:
    """Holds the newest configuration; versions never go back."""

    def __init__(self, random_source: random.Random) -> None:
        """Initializes an empty table.

        Args:
            random_source: Starting points of the traffic splits.
        """
        self._random = random_source
        self._current: _configuration.Configuration | None = None
        self._rotation_by_split: dict[
            tuple[str, _configuration.SplitTraffic], _split.WeightedRotation
        ] = {}

    @property
    def current(self) -> _configuration.Configuration | None:
        """The configuration in force; None before the first one."""
        return self._current

    def adopt(self, configuration: _configuration.Configuration) -> bool:
        """Puts a configuration in force unless a newer one already is.

        Returns:
            Whether the table changed.
        """
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        kept = {
            (route.name, route.target)
            for routes in configuration.routes_by_host.values()
            for route in routes
            if isinstance(route.target, _configuration.SplitTraffic)
        }
        self._rotation_by_split = {
            key: rotation
            for key, rotation in self._rotation_by_split.items()
            if key in kept
        }
        return True

    def match(self, host: str, path: str) -> _configuration.Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path of the request, without query.
        """
        if self._current is None:
            return None
        name = host.partition(":")[0].lower()
        for route in self._current.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def services(self, route: _configuration.Route) -> tuple[str, ...]:
        """Returns the services that a new request of the route goes to."""
        match route.target:
            case _configuration.SingleService(service):
                return (service,)
            case _configuration.Gather(shards):
                return shards
            case _configuration.SplitTraffic() as split:
                key = (route.name, split)
                rotation = self._rotation_by_split.get(key)
                if rotation is None:
                    rotation = _split.WeightedRotation(
                        split.parts, self._random
                    )
                    self._rotation_by_split[key] = rotation
                return (rotation.next_service(),)
