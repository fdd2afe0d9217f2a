"""Merging the parts of a gathered answer."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Args:
        parts: Bodies of 16-byte records in any order. A shorter remainder is
            no record.
        count: Records in the answer at most; equal records all count.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))
