"""The route table of this host."""

import random

from sassafrashold.routing import _configuration
from sassafrashold.routing import _split


class RouteTable:
    """Holds the configuration in force; its version never decreases."""

    def __init__(self, random_source: random.Random) -> None:
        """Initializes an empty table.

        Args:
            random_source: Random source for the starting points of the traffic
                splits.
        """
        self._random = random_source
        self._current: _configuration.Configuration | None = None
        self._rotation_by_split: dict[
            tuple[str, _configuration.SplitTraffic], _split.WeightedRotation
        ] = {}

    @property
    def current(self) -> _configuration.Configuration | None:
        """The configuration in force; None before the first `adopt`."""
        return self._current

    def adopt(self, configuration: _configuration.Configuration) -> bool:
        """Puts a configuration in force if its version is newer.

        Traffic splits that are unchanged continue their rotation.

        Returns:
            Whether the configuration was put in force.
        """
        current = self._current
        if current is not None and configuration.version <= current.version:
            return False
        self._current = configuration
        split_keys = {
            (route.name, route.target)
            for routes in configuration.routes_by_host.values()
            for route in routes
            if isinstance(route.target, _configuration.SplitTraffic)
        }
        self._rotation_by_split = {
            key: rotation
            for key, rotation in self._rotation_by_split.items()
            if key in split_keys
        }
        return True

    def match(self, host: str, path: str) -> _configuration.Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path of the request, without the query string.
        """
        if self._current is None:
            return None
        name = host.partition(":")[0].lower()
        for route in self._current.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def select_services(self, route: _configuration.Route) -> tuple[str, ...]:
        """Selects the services for a new request of the route.

        Advances the rotation of a traffic split.

        Returns:
            All shards of a gathering route, else exactly one service.
        """
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
