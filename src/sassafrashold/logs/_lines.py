"""Log lines as other programs pass them on."""

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
    """What a collector wrote before the line, such as a time of its own."""

    fields: Mapping[str, Any]
    """The line's fields."""

    @property
    def time(self) -> str:
        """Time of the line as its host wrote it."""
        return str(self.fields.get("time", ""))

    @property
    def host(self) -> str:
        """Host that wrote the line."""
        return str(self.fields.get("host", ""))

    @property
    def message(self) -> str:
        """What happened."""
        return str(self.fields.get("message", ""))

    @property
    def request(self) -> str | None:
        """Id of the request that the line is about, if there is one."""
        return self.fields.get("request")


def parse(texts: Iterable[str]) -> Iterator[Line]:
    """Parses JSON lines, each with an optional prefix of a collector.

    Lines without a JSON object are left out: collectors mix the output of
    several programs.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield Line(text[:start].strip(), fields)
