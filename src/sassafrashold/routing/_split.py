"""Smooth weighted rotation over the parts of a traffic split."""

import random

from sassafrashold.routing import _configuration


class WeightedRotation:
    """Distributes requests so that every short run keeps the weights.

    A random choice strays by more than a tenth within a hundred requests. The
    rotation takes the part that is furthest behind its share. It starts at a
    random point so that hosts do not move in step.
    """

    def __init__(
        self,
        parts: tuple[_configuration.WeightedService, ...],
        random_source: random.Random,
    ) -> None:
        """Initializes the rotation.

        Args:
            parts: Services with their weights.
            random_source: Source of the starting point.
        """
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        self._credit = [random_source.random() * part.weight for part in parts]

    def next_service(self) -> str:
        """Returns the service of the next request."""
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
        best = max(
            range(len(self._parts)),
            key=lambda i: (self._parts[i].weight > 0, self._credit[i]),
        )
        self._credit[best] -= self._total
        return self._parts[best].service
