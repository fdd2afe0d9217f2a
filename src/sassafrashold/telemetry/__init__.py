"""JSON logs, statsd metrics and trace context.

This package does not import OpenTelemetry, so that the control daemon stays
within its memory budget. `sassafrashold.telemetry.tracing` does.
"""

from sassafrashold.telemetry._context import TraceContext
from sassafrashold.telemetry._lines import LineBudget
from sassafrashold.telemetry._lines import NonBlockingHandler
from sassafrashold.telemetry._logs import configure_logging
from sassafrashold.telemetry._logs import trace_id_variable
from sassafrashold.telemetry._metrics import Metrics
from sassafrashold.telemetry._metrics import NullMetrics
from sassafrashold.telemetry._metrics import StatsdMetrics

__all__ = [
    "LineBudget",
    "Metrics",
    "NonBlockingHandler",
    "NullMetrics",
    "StatsdMetrics",
    "TraceContext",
    "configure_logging",
    "trace_id_variable",
]
