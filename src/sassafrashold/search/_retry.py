"""Exponential backoff of retries."""

import datetime
import random

_BASE_DELAY = datetime.timedelta(milliseconds=5)
_MAX_DELAY = datetime.timedelta(milliseconds=200)
_MAX_DOUBLINGS = 6


def retry_delay(
    retries_made: int, random_source: random.Random
) -> datetime.timedelta:
    """Returns an exponential delay with full jitter.

    Args:
        retries_made: Number of earlier retries.
        random_source: Source of the jitter.
    """
    ceiling: datetime.timedelta = min(
        _BASE_DELAY * 2 ** min(retries_made, _MAX_DOUBLINGS), _MAX_DELAY
    )
    return ceiling * random_source.random()
