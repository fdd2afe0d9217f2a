"""Figures that are collected while a load runs."""

import collections
import math
from typing import Any

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_DIGITS = 3
_PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class Latency:
    """Latencies in an HdrHistogram."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )

    def add(self, seconds: float) -> None:
        """Records a latency."""
        microseconds = max(_LOWEST_US, math.ceil(seconds * 1e6))
        self._histogram.record_value(min(_HIGHEST_US, microseconds))

    def figures(self) -> dict[str, Any]:
        """Returns count, mean, maximum and percentiles in milliseconds."""
        count = self._histogram.get_total_count()
        if count == 0:
            return {"count": 0}
        figures: dict[str, Any] = {
            "count": count,
            "mean_ms": round(self._histogram.get_mean_value() / 1000, 3),
        }
        for name, percentile in _PERCENTILES.items():
            value = self._histogram.get_value_at_percentile(percentile)
            figures[f"{name}_ms"] = round(value / 1000, 3)
        figures["max_ms"] = round(self._histogram.get_max_value() / 1000, 3)
        return figures


class Part:
    """Figures of a part of the load: all, a class, a zone or a service."""

    def __init__(self) -> None:
        self.latency = Latency()
        self.refusal_latency = Latency()
        self.count_by_code: collections.Counter[str] = collections.Counter()
        self.asked = 0
        self.answered = 0
        self.partial = 0

    def add(self, code: str, seconds: float, body: Any) -> None:
        """Records the end of a request.

        Args:
            code: OK or why there is no answer.
            seconds: Time since the intended send time.
            body: The answer, if `code` is OK.
        """
        self.count_by_code[code] += 1
        if code != "OK":
            self.refusal_latency.add(seconds)
            return
        self.latency.add(seconds)
        if isinstance(body, dict) and "shards_asked" in body:
            self.asked += body["shards_asked"]
            self.answered += body["shards_answered"]
            self.partial += bool(body["partial"])

    def figures(self) -> dict[str, Any]:
        """Returns the JSON form."""
        sent = self.count_by_code.total()
        answered = self.count_by_code["OK"]
        return {
            "sent": sent,
            "answered": answered,
            "by_code": dict(sorted(self.count_by_code.items())),
            "latency": self.latency.figures(),
            "refusal_latency": self.refusal_latency.figures(),
            "shards_asked": self.asked,
            "shards_answered": self.answered,
            "coverage": (
                round(self.answered / self.asked, 6) if self.asked else None
            ),
            "partial_answers": self.partial,
        }


class Parts:
    """Figures of the whole load and of its parts."""

    def __init__(self) -> None:
        self._whole = Part()
        self._part_by_kind: dict[str, dict[str, Part]] = {
            "by_class": {},
            "by_zone": {},
            "by_service": {},
        }

    def add(
        self,
        code: str,
        seconds: float,
        body: Any,
        *,
        priority_class: str,
        zone: str,
        service: str,
    ) -> None:
        """Records the end of a request in all parts it belongs to."""
        self._whole.add(code, seconds, body)
        for kind, name in (
            ("by_class", priority_class),
            ("by_zone", zone),
            ("by_service", service),
        ):
            part = self._part_by_kind[kind].setdefault(name, Part())
            part.add(code, seconds, body)

    def figures(self) -> dict[str, Any]:
        """Returns the JSON form."""
        figures: dict[str, Any] = {"all": self._whole.figures()}
        for kind, part_by_name in self._part_by_kind.items():
            figures[kind] = {
                name: part.figures()
                for name, part in sorted(part_by_name.items())
            }
        return figures
