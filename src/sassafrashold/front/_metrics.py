"""Counters and histograms of the daemon, in the Prometheus text format."""

import datetime

import prometheus_client
from prometheus_client import exposition

from sassafrashold.front import _view

CONTENT_TYPE = exposition.CONTENT_TYPE_PLAIN_0_0_4
_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.06,
    0.08,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class FrontMetrics:
    """All metrics of one daemon process, listed in docs/OPERATIONS.md."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "sassafras_requests",
            "Requests of callers by status and cause.",
            ("status", "cause"),
            registry=self._registry,
        )
        self._latency = prometheus_client.Histogram(
            "sassafras_request_seconds",
            "Time from the arrival of a request to its answer.",
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._missing = prometheus_client.Counter(
            "sassafras_missing_parts",
            "Shards left out of merged answers.",
            registry=self._registry,
        )
        self._closed_connections = prometheus_client.Counter(
            "sassafras_caller_connections_closed",
            "Connections of callers closed by the configured limits.",
            registry=self._registry,
        )
        self._refusals = prometheus_client.Counter(
            "sassafras_clients_refused",
            "Clients refused for what they sent or held, on all ports.",
            ("cause",),
            registry=self._registry,
        )
        self._topic_revision = prometheus_client.Gauge(
            "sassafras_topic_revision",
            "Store revision that the copy of a topic has reached.",
            ("topic",),
            registry=self._registry,
        )
        self._topic_era = prometheus_client.Gauge(
            "sassafras_topic_era",
            "Era of the store that the copy of a topic has reached.",
            ("topic",),
            registry=self._registry,
        )
        self._topic_age = prometheus_client.Gauge(
            "sassafras_topic_age_seconds",
            "Time since the store or another host last answered for a topic.",
            ("topic",),
            registry=self._registry,
        )
        self._ignored_batches = prometheus_client.Gauge(
            "sassafras_topic_answers_ignored",
            "Answers older than the copy of a topic or with a gap, so far.",
            ("topic",),
            registry=self._registry,
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                name, description, registry=self._registry
            )
            for name, description in (
                ("sassafras_configuration_version", "Version in force."),
                ("sassafras_leafs", "Leafs that are listed."),
                ("sassafras_hosts", "Live hosts of the system."),
                ("sassafras_ready", "1 if callers may be sent here."),
                ("sassafras_store_away", "1 if the store does not answer."),
                ("sassafras_store_era", "Latest era that the store has shown."),
                ("sassafras_zones_out_of_reach", "Zones out of reach."),
                (
                    "sassafras_callers_elsewhere",
                    "1 if callers should go to other zones.",
                ),
                ("sassafras_leaf_connections", "Connections opened so far."),
                (
                    "sassafras_leafs_in_trouble",
                    "Leafs that the hosts of the zone avoid together.",
                ),
                ("sassafras_log_lines_left_out", "Log lines left out."),
            )
        }

    def count_request(
        self,
        status: int,
        cause: str,
        duration: datetime.timedelta,
        missing: int,
    ) -> None:
        """Counts an ended request.

        Args:
            status: HTTP status.
            cause: Why it was not served; empty if it was.
            duration: Time from its arrival to its end.
            missing: Number of shards left out of the merged answer.
        """
        self._requests.labels(str(status), cause).inc()
        self._latency.observe(duration.total_seconds())
        if missing:
            self._missing.inc(missing)

    def count_closed_connections(self, count: int) -> None:
        """Counts caller connections that were closed by a configured limit."""
        self._closed_connections.inc(count)

    def count_refusal(self, cause: str) -> None:
        """Counts a client that was refused for what it sent or held."""
        self._refusals.labels(cause).inc()

    def set_topic(self, status: _view.TopicStatus) -> None:
        """Sets the gauges of a topic."""
        if status.position is not None:
            position = status.position
            self._topic_era.labels(status.topic).set(position.era)
            self._topic_revision.labels(status.topic).set(position.revision)
        self._topic_age.labels(status.topic).set(status.age.total_seconds())
        self._ignored_batches.labels(status.topic).set(status.ignored_batches)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Args:
            name: Full metric name.
            value: New value.
        """
        self._gauges[name].set(value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
