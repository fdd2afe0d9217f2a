"""Reports on one request, or on all failed requests, from log lines."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses

from sassafrashold.logs import _lines

_ENDED_MESSAGE = "request ended"
# Messages of changes in what a host knows, other than the state of its leafs.
_STATE_MESSAGES = frozenset(
    {
        "configuration in force",
        "store lost",
        "store is back",
        "store has dropped its history; reading all",
        "store has returned from an older copy; reading all",
        "zones out of service changed",
        "leafs listed",
        "reading the store",
        "following host",
        "live hosts changed",
        "started",
        "draining",
    }
)
# Fields of a line about many leafs; each item begins with the id of a leaf.
_LEAF_CHANGES = ("listed", "draining", "removed")
_SERVED_OUTCOME = "served"
_COMMON_FIELDS = frozenset(
    {"time", "level", "name", "message", "trace_id", "process", "host"}
)
_LONG_FIELDS = _COMMON_FIELDS | {"trail", *_LEAF_CHANGES}


@dataclasses.dataclass(frozen=True)
class Failures:
    """Requests of one outcome on one route."""

    outcome: str
    """Documented outcome of the requests, such as `leaf_failed`."""

    route: str
    """Name of the route; empty if no route matched."""

    count: int
    """Number of requests, including those whose lines were rate-limited."""

    example: str
    """Id of one of the requests."""


def explain_request(lines: Iterable[_lines.Line], request_id: str) -> list[str]:
    """Returns a human-readable report of what happened to a request.

    Args:
        lines: Lines of all hosts.
        request_id: Id of the request, one per attempt of a caller.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.request == request_id]
    leafs = {
        word
        for line in request_lines
        for step in _trail(line)
        for word in step.split()
    }
    report: list[str] = []
    for line in request_lines:
        state_lines = _last_state_lines(all_lines, line)
        report.extend(f"  before: {_format(item)}" for item in state_lines)
        report.append(_format(line))
        report.extend(f"  {step}" for step in _trail(line))
        report.extend(_leaf_lines(all_lines, line, leafs))
    return report


def _trail(line: _lines.Line) -> list[str]:
    """Returns the steps of a request, with those of its groups of shards."""
    steps = list(line.fields.get("trail", ()))
    for group in line.fields.get("groups", ()):
        steps.extend(group.get("trail", ()))
    return [str(step) for step in steps]


def _leaf_lines(
    lines: Iterable[_lines.Line],
    request_line: _lines.Line,
    leafs: Collection[str],
) -> list[str]:
    """Returns what the host last logged about each leaf before the request."""
    line_by_event: dict[Hashable, tuple[str, str]] = {}
    for line in lines:
        if (
            line.host != request_line.host
            or line.request is not None
            or line.time > request_line.time
        ):
            continue
        leaf = line.fields.get("leaf")
        if leaf in leafs:
            line_by_event[line.message, leaf] = (line.time, _format(line))
        for change in _LEAF_CHANGES:
            texts = line.fields.get(change)
            # Another build may write a flag of this name.
            for text in texts if isinstance(texts, list) else ():
                leaf = str(text).split(" ", 1)[0]
                if leaf in leafs:
                    line_by_event[line.message, leaf] = (
                        line.time,
                        f"{line.time} {line.host} leaf {change}: {text}",
                    )
    return [
        f"  about a leaf: {text}" for _, text in sorted(line_by_event.values())
    ]


def failures(
    lines: Iterable[_lines.Line], start: str = "", end: str = "~"
) -> list[Failures]:
    """Counts requests that were not served completely and in time, by cause.

    Args:
        lines: Lines of all hosts.
        start: Earliest time to count, as written in the lines.
        end: Latest time to count, as written in the lines.
    """
    count_by_kind: collections.Counter[tuple[str, str]] = collections.Counter()
    example_by_kind: dict[tuple[str, str], str] = {}
    for line in lines:
        if line.message != _ENDED_MESSAGE or not start <= line.time <= end:
            continue
        outcome = str(line.fields.get("outcome", ""))
        if outcome == _SERVED_OUTCOME:
            continue
        kind = (outcome, str(line.fields.get("route", "")))
        count_by_kind[kind] += 1 + int(line.fields.get("lines_left_out", 0))
        example_by_kind.setdefault(kind, str(line.request))
    return [
        Failures(*kind, count, example_by_kind[kind])
        for kind, count in count_by_kind.most_common()
    ]


def _last_state_lines(
    lines: list[_lines.Line], request_line: _lines.Line
) -> list[_lines.Line]:
    """Returns the host's last line of each state message before the request."""
    return _last_line_per_key(
        (
            line
            for line in lines
            if line.host == request_line.host
            and line.message in _STATE_MESSAGES
            and line.time <= request_line.time
        ),
        lambda line: line.message,
    )


def _last_line_per_key(
    lines: Iterable[_lines.Line], key: Callable[[_lines.Line], Hashable]
) -> list[_lines.Line]:
    """Returns the last line of each key, ordered by time."""
    last_by_key = {key(line): line for line in lines}
    return sorted(last_by_key.values(), key=lambda line: line.time)


def _format(line: _lines.Line) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _LONG_FIELDS and value is not None
    )
    return f"{line.time} {line.host} {line.message} {details}".rstrip()
