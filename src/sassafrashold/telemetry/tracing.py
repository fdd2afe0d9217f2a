"""OpenTelemetry spans, one for each hop.

Spans are exported as JSON lines to a file when `trace_file` is set, otherwise
they are recorded for context only and dropped.
"""

from collections.abc import Iterator
import contextlib
import pathlib

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import id_generator
from opentelemetry.trace.propagation import tracecontext

from sassafrashold.telemetry import _logs

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Tracer:
    """Starts spans and propagates their context between processes."""

    def __init__(
        self, process: str, host: str, trace_file: pathlib.Path | None = None
    ) -> None:
        """Initializes the tracer.

        Args:
            process: Name of the binary.
            host: Host id.
            trace_file: File that gets one JSON line per finished span.
        """
        provider = sdk_trace.TracerProvider(
            resource=resources.Resource(
                {"service.name": process, "host.name": host}
            )
        )
        if trace_file is not None:
            # Stays open for the life of the process.
            file = trace_file.open("a", buffering=1, encoding="utf-8")
            provider.add_span_processor(
                export.BatchSpanProcessor(
                    export.ConsoleSpanExporter(
                        out=file,
                        formatter=lambda span: span.to_json(indent=None) + "\n",
                    )
                )
            )
        self._provider = provider
        self._is_exporting = trace_file is not None
        self._ids = id_generator.RandomIdGenerator()
        self._tracer = provider.get_tracer("sassafrashold")

    @contextlib.contextmanager
    def span(
        self,
        name: str,
        traceparent: str | None,
        kind: trace.SpanKind = trace.SpanKind.INTERNAL,
    ) -> Iterator[trace.Span]:
        """Runs a block in a span.

        Args:
            name: Name of the hop.
            traceparent: Trace context of the caller; None starts a new trace.
            kind: SERVER, CLIENT or INTERNAL.
        """
        parent = otel_context.Context()
        if traceparent is not None:
            parent = _PROPAGATOR.extract(
                {"traceparent": traceparent}, context=parent
            )
        with self._start_span(name, parent, kind) as span:
            trace_id = format(span.get_span_context().trace_id, "032x")
            token = _logs.trace_id_variable.set(trace_id)
            try:
                yield span
            finally:
                _logs.trace_id_variable.reset(token)

    def _start_span(
        self, name: str, parent: otel_context.Context, kind: trace.SpanKind
    ) -> contextlib.AbstractContextManager[trace.Span]:
        """Starts a span; without a trace file it only propagates the context.

        A recording span costs several times as much and would be dropped.
        """
        if self._is_exporting:
            return self._tracer.start_as_current_span(
                name, context=parent, kind=kind
            )
        parent_context = trace.get_current_span(parent).get_span_context()
        span_context = trace.SpanContext(
            parent_context.trace_id
            if parent_context.is_valid
            else self._ids.generate_trace_id(),
            self._ids.generate_span_id(),
            is_remote=False,
            trace_flags=(
                parent_context.trace_flags
                if parent_context.is_valid
                else trace.TraceFlags(trace.TraceFlags.SAMPLED)
            ),
        )
        return trace.use_span(trace.NonRecordingSpan(span_context))

    def shutdown(self) -> None:
        """Writes the spans that are still buffered."""
        self._provider.shutdown()


def header_of(span: trace.Span) -> str:
    """Returns the `traceparent` value that makes `span` the parent."""
    context = span.get_span_context()
    return (
        f"00-{context.trace_id:032x}-{context.span_id:016x}"
        f"-{int(context.trace_flags):02x}"
    )
