"""Counters, gauges and timings, sent to statsd over UDP."""

import datetime
from typing import Protocol

import statsd


class Metrics(Protocol):
    """Interface through which a daemon reports metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Adds `value` to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        ...

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Records a duration."""
        ...


class NullMetrics:
    """Drops all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Does nothing."""


class StatsdMetrics:
    """Sends metrics by UDP; a missing listener has no effect."""

    def __init__(self, ip: str, port: int, prefix: str) -> None:
        """Opens the UDP socket.

        Args:
            ip: Address of the statsd daemon.
            port: Its UDP port.
            prefix: Put before each name, for example `sassafras.entry`.
        """
        self._client = statsd.StatsClient(ip, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Adds `value` to a counter."""
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Records a duration in milliseconds."""
        self._client.timing(name, duration)
