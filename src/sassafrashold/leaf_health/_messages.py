"""Messages about the health of leafs between the hosts of a zone, as JSON."""

import dataclasses
import datetime
import json
from typing import Any

from sassafrashold import clock as clock_lib
from sassafrashold import directory
from sassafrashold import documents
from sassafrashold import errors
from sassafrashold.leaf_health import _outliers
from sassafrashold.leaf_health import _tallies

_REPORT = "leaf health report"
_ZONE_HEALTH = "leaf health of the zone"
# Larger numbers do not fit into times.
_MAX_NUMBER = 10**14


@dataclasses.dataclass(frozen=True)
class Report:
    """Call results and unreachable zones of one host."""

    host: str
    """Name of the reporting host."""

    tallies: tuple[_tallies.Tally, ...]
    """Results of its calls since its last report, by leaf."""

    unreachable_zones: tuple[str, ...] = ()
    """Availability zones that the host can't reach."""


@dataclasses.dataclass(frozen=True)
class ZoneHealth:
    """Outliers and unreachable zones, from the reports of all hosts."""

    outliers: tuple[_outliers.Outlier, ...]
    """Leafs to avoid."""

    unreachable_zones: tuple[str, ...] = ()
    """Availability zones that at least one host can't reach."""


def encode_report(report: Report) -> str:
    """Encodes a report as JSON."""
    return _to_json(
        {
            "host": report.host,
            "silent_zones": list(report.unreachable_zones),
            "leafs": [
                [
                    tally.leaf.leaf_id,
                    tally.leaf.born_unix_ms,
                    tally.good,
                    tally.bad,
                    clock_lib.to_ms(tally.first_bad_age),
                    clock_lib.to_ms(tally.last_bad_age),
                ]
                for tally in report.tallies
            ],
        }
    )


def decode_report(data: bytes) -> Report:
    """Decodes a report.

    Raises:
        DocumentError: The data is malformed.
    """
    document = documents.parse(_REPORT, data)
    tallies = []
    for row in documents.get(_REPORT, document, "leafs", list):
        leaf_id, born, good, bad, first, last = _check_row(_REPORT, row, 6)
        tallies.append(
            _tallies.Tally(
                directory.LeafRef(str(leaf_id), born),
                good,
                bad,
                datetime.timedelta(milliseconds=first),
                datetime.timedelta(milliseconds=last),
            )
        )
    return Report(
        documents.get(_REPORT, document, "host", str),
        tuple(tallies),
        _unreachable_zones(_REPORT, document),
    )


def encode_zone_health(zone_health: ZoneHealth) -> str:
    """Encodes the health of the zone as JSON."""
    return _to_json(
        {
            "leafs": [
                [
                    outlier.leaf.leaf_id,
                    outlier.leaf.born_unix_ms,
                    clock_lib.to_ms(outlier.avoid_for),
                ]
                for outlier in zone_health.outliers
            ],
            "silent_zones": list(zone_health.unreachable_zones),
        }
    )


def decode_zone_health(data: bytes) -> ZoneHealth:
    """Decodes the health of the zone.

    Raises:
        DocumentError: The data is malformed.
    """
    document = documents.parse(_ZONE_HEALTH, data)
    outliers = []
    for row in documents.get(_ZONE_HEALTH, document, "leafs", list):
        leaf_id, born, avoid_for = _check_row(_ZONE_HEALTH, row, 3)
        outliers.append(
            _outliers.Outlier(
                directory.LeafRef(str(leaf_id), born),
                datetime.timedelta(milliseconds=avoid_for),
            )
        )
    return ZoneHealth(
        tuple(outliers), _unreachable_zones(_ZONE_HEALTH, document)
    )


def _unreachable_zones(key: str, document: dict[str, Any]) -> tuple[str, ...]:
    return tuple(
        str(zone) for zone in documents.get(key, document, "silent_zones", list)
    )


def _to_json(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def _check_row(key: str, row: Any, length: int) -> list[Any]:
    """Returns a row made of a leaf id and integers from 0 to `_MAX_NUMBER`.

    Raises:
        DocumentError: The row has another length or other types.
    """
    if (
        not isinstance(row, list)
        or len(row) != length
        or not isinstance(row[0], str)
        or not all(
            type(item) is int and 0 <= item <= _MAX_NUMBER for item in row[1:]
        )
    ):
        raise errors.DocumentError(
            errors.ErrorCode.BAD_DOCUMENT, f"{key}: row {row!r}"[:200]
        )
    return row
