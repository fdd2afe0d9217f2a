"""Smooth weighted round-robin over the services of a traffic split."""

import random

from sassafrashold.routing import _configuration


class WeightedRotation:
    """Smooth weighted round-robin that keeps the weights over short runs.

    A random choice can deviate from the weights by more than a tenth within a
    hundred requests. The rotation selects the service that is furthest behind
    its share. It starts at a random point so that hosts are not synchronized.
    """

    def __init__(
        self,
        parts: tuple[_configuration.WeightedService, ...],
        random_source: random.Random,
    ) -> None:
        """Initializes the rotation.

        Args:
            parts: Services with their weights; at least one above 0.
            random_source: Random source for the starting point.
        """
        self._parts = parts
        self._total_weight = sum(part.weight for part in parts)
        self._credit = [random_source.random() * part.weight for part in parts]

    def next_service(self) -> str:
        """Returns the service for the next request; advances the rotation."""
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
        selected = max(
            range(len(self._parts)),
            key=lambda i: (self._parts[i].weight > 0, self._credit[i]),
        )
        self._credit[selected] -= self._total_weight
        return self._parts[selected].service
