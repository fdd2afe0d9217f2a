"""What log lines say about one request, or about all that failed."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses

from sassafrashold.logs import _lines

_ENDED = "request ended"
# What changes what a host believes, beside the leafs themselves.
_BELIEFS = frozenset(
    {
        "configuration in force",
        "store lost",
        "store is back",
        "store has dropped its history; reading all",
        "zones out of service changed",
        "leafs listed",
        "reading the store",
        "following host",
        "live hosts changed",
        "started",
        "draining",
    }
)
_SERVED = "served"
_COMMON = frozenset(
    {"time", "level", "name", "message", "trace_id", "process", "host"}
)


@dataclasses.dataclass(frozen=True)
class Failures:
    """Requests of one outcome on one route."""

    outcome: str
    """Documented outcome, such as `leaf_failed`."""

    route: str
    """Name of the route; empty if none was found."""

    count: int
    """Lines, and lines that hosts left out to bound their volume."""

    example: str
    """Id of one of the requests."""


def story(lines: Iterable[_lines.Line], request_id: str) -> list[str]:
    """Returns what happened to a request, as lines for people.

    Args:
        lines: Lines of all hosts.
        request_id: Id of the caller's attempt.
    """
    kept = list(lines)
    own = [line for line in kept if line.request == request_id]
    leafs = {
        word
        for line in own
        for step in line.fields.get("trail", ())
        for word in str(step).split()
    }
    text: list[str] = []
    for line in own:
        before = _last_beliefs(kept, line)
        text.extend(f"  before: {_show(item)}" for item in before)
        text.append(_show(line))
        text.extend(f"  {step}" for step in line.fields.get("trail", ()))
        about_leafs = _last(
            (
                item
                for item in kept
                if item.host == line.host
                and item.request is None
                and item.fields.get("leaf") in leafs
                and item.time <= line.time
            ),
            lambda item: (item.message, item.fields["leaf"]),
        )
        text.extend(f"  about a leaf: {_show(item)}" for item in about_leafs)
    return text


def failures(
    lines: Iterable[_lines.Line], start: str = "", end: str = "~"
) -> list[Failures]:
    """Counts requests that were not served whole and in time, by cause.

    Args:
        lines: Lines of all hosts.
        start: First time, in the form of the lines.
        end: Last time.
    """
    count_by_kind: collections.Counter[tuple[str, str]] = collections.Counter()
    example_by_kind: dict[tuple[str, str], str] = {}
    for line in lines:
        if line.message != _ENDED or not start <= line.time <= end:
            continue
        outcome = str(line.fields.get("outcome", ""))
        if outcome == _SERVED:
            continue
        kind = (outcome, str(line.fields.get("route", "")))
        count_by_kind[kind] += 1 + int(line.fields.get("lines_left_out", 0))
        example_by_kind.setdefault(kind, str(line.request))
    return [
        Failures(*kind, count, example_by_kind[kind])
        for kind, count in count_by_kind.most_common()
    ]


def _last_beliefs(
    lines: list[_lines.Line], of: _lines.Line
) -> list[_lines.Line]:
    """Returns the last line of each kind of belief of a host before a line."""
    return _last(
        (
            line
            for line in lines
            if line.host == of.host
            and line.message in _BELIEFS
            and line.time <= of.time
        ),
        lambda line: line.message,
    )


def _last(
    lines: Iterable[_lines.Line], key: Callable[[_lines.Line], Hashable]
) -> list[_lines.Line]:
    """Returns the last line of each key, in order of time."""
    last_by_key = {key(line): line for line in lines}
    return sorted(last_by_key.values(), key=lambda line: line.time)


def _show(line: _lines.Line) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _COMMON and name != "trail" and value is not None
    )
    return f"{line.time} {line.host} {line.message} {details}".rstrip()
