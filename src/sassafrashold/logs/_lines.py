"""Parses JSON log lines, with or without the prefix of a log collector."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
from typing import Any


@dataclasses.dataclass(frozen=True)
class Line:
    """One readable log line."""

    prefix: str
    """Text that a log collector put before the line, such as a timestamp."""

    fields: Mapping[str, Any]
    """Fields of the JSON object."""

    @property
    def time(self) -> str:
        """Timestamp that the host wrote; empty without one."""
        return str(self.fields.get("time", ""))

    @property
    def host(self) -> str:
        """Id of the host that wrote the line; empty without one."""
        return str(self.fields.get("host", ""))

    @property
    def message(self) -> str:
        """Log message; empty without one."""
        return str(self.fields.get("message", ""))

    @property
    def request(self) -> str | None:
        """Id of the request that the line is about, if there is one."""
        return self.fields.get("request")


def parse(raw_lines: Iterable[str]) -> Iterator[Line]:
    """Parses JSON lines, each with an optional prefix of a collector.

    Lines without a JSON object are skipped: collectors mix the output of
    several programs.
    """
    for raw_line in raw_lines:
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw_line[start:])
        except (ValueError, RecursionError):
            continue
        if isinstance(fields, dict):
            yield Line(raw_line[:start].strip(), fields)
