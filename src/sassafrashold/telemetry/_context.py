"""The W3C trace context that is propagated with each request."""

import dataclasses
import re
import secrets

_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")


@dataclasses.dataclass(frozen=True)
class TraceContext:
    """Position in a trace, as in the W3C header `traceparent`."""

    trace_id: str
    """32 hexadecimal digits."""

    span_id: str
    """16 hexadecimal digits."""

    flags: str = "01"
    """2 hexadecimal digits; 01 means sampled."""

    @classmethod
    def new(cls) -> "TraceContext":
        """Starts a new trace."""
        return cls(secrets.token_hex(16), secrets.token_hex(8))

    @classmethod
    def parse(cls, header: str | None) -> "TraceContext | None":
        """Parses a `traceparent` header; None if it is absent or invalid."""
        match = _TRACEPARENT.match(header or "")
        if match is None or set(match[1]) == {"0"} or set(match[2]) == {"0"}:
            return None
        return cls(match[1], match[2], match[3])

    def header(self) -> str:
        """Returns the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags}"
