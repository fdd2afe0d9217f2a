"""Merge of the answers of all shards."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all parts in descending order.

    Args:
        parts: Bodies of 16-byte records in any order. A shorter remainder is
            ignored.
        count: Maximum number of records; duplicates are kept.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))
