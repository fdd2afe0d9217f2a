"""The delay before a retry."""

import datetime
import random

_BASE = datetime.timedelta(milliseconds=5)
_CEILING = datetime.timedelta(milliseconds=200)
_MAX_DOUBLINGS = 6


def retry_delay(
    earlier: int, random_source: random.Random
) -> datetime.timedelta:
    """Returns an exponential delay with full jitter.

    Args:
        earlier: Number of retries that were already made.
        random_source: Source of the jitter.
    """
    ceiling: datetime.timedelta = min(
        _BASE * 2 ** min(earlier, _MAX_DOUBLINGS), _CEILING
    )
    return ceiling * random_source.random()
