"""Phases of a client connection, and the limits on the time of each."""

import dataclasses
import datetime

from sassafrashold import routing

# Callers may still apply the longer idle timeout of an older configuration, so
# idle connections are kept for a multiple of the configured timeout.
_IDLE_TIMEOUT_FACTOR = 4
_ZERO = datetime.timedelta()
# A client that takes no byte of its reply for this long no longer waits for it;
# deadlines of requests are shorter.
_REPLY_STALL_TIMEOUT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True)
class IdlePhase:
    """No byte of the next request has arrived."""

    since: datetime.timedelta
    """Event loop time at which the connection became idle."""


@dataclasses.dataclass(frozen=True)
class HeadPhase:
    """A request head has arrived in part."""

    since: datetime.timedelta
    """Event loop time at which the first byte of the head arrived."""


@dataclasses.dataclass(frozen=True)
class RequestPhase:
    """A request head was read and the request is not answered yet."""


@dataclasses.dataclass(frozen=True)
class ReplyPhase:
    """A reply is being sent."""

    since: datetime.timedelta
    """Event loop time at which the client last took bytes of it."""

    unsent: int
    """Bytes that waited for the client at that time."""


Phase = IdlePhase | HeadPhase | RequestPhase | ReplyPhase


def is_overdue(
    phase: Phase, limits: routing.ClientLimits, now: datetime.timedelta
) -> bool:
    """Returns whether a connection has exceeded the limit of its phase.

    Args:
        phase: Current phase of the connection.
        limits: Limits in force; 0 means no limit.
        now: Event loop time.
    """
    match phase:
        case IdlePhase(since):
            time_limit = limits.idle_timeout * _IDLE_TIMEOUT_FACTOR
        case HeadPhase(since):
            time_limit = limits.header_timeout
        case RequestPhase():
            return False
        case ReplyPhase(since):
            time_limit = _REPLY_STALL_TIMEOUT
    return _ZERO < time_limit <= now - since
