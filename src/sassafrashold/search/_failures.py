"""Classification of sub-query errors: whether and how to retry."""

import enum

from sassafrashold import errors


class RetryAction(enum.Enum):
    """How to continue after a failed sub-query."""

    RETRY_FREE = "repeat"
    """Not run, temporary: retried until the deadline without the budget."""

    EXCLUDE = "exclude"
    """This leaf cannot serve the query; another replica may."""

    RETRY_PAID = "pay"
    """The leaf may have done work: a retry takes a token of the budget."""

    GIVE_UP = "give up"
    """Every replica would reject the query with the same error."""


_FREE_RETRY_CODES = frozenset(
    {
        errors.ErrorCode.NOT_OWNER,
        errors.ErrorCode.NO_ENTITLEMENT,
        errors.ErrorCode.UNAVAILABLE,
        errors.ErrorCode.DRAINING,
        errors.ErrorCode.NOT_READY,
        errors.ErrorCode.LEAF_RESTARTED,
    }
)
_EXCLUDE_CODES = frozenset(
    {
        errors.ErrorCode.ZONE_OUT,
        errors.ErrorCode.HOST_OUT,
        errors.ErrorCode.LEAVING,
        errors.ErrorCode.VERSION_GONE,
    }
)
_GIVE_UP_CODES = frozenset(
    {
        errors.ErrorCode.BAD_REQUEST,
        errors.ErrorCode.UNKNOWN_FIELD,
        errors.ErrorCode.UNKNOWN_SERVICE,
        errors.ErrorCode.UNKNOWN_METHOD,
        errors.ErrorCode.FRAME_TOO_LARGE,
        errors.ErrorCode.BODY_TOO_LARGE,
    }
)
_OWNERSHIP_MOVING_CODES = frozenset(
    {
        errors.ErrorCode.NO_ENTITLEMENT,
        errors.ErrorCode.NOT_OWNER,
        errors.ErrorCode.DRAINING,
    }
)
_LEAF_FAULT_CODES = frozenset(
    {
        errors.ErrorCode.LEAF_FAILED,
        errors.ErrorCode.LEAF_UNREACHABLE,
        errors.ErrorCode.LEAF_SHED,
        errors.ErrorCode.VERSION_MISMATCH,
        errors.ErrorCode.OVERLOADED,
    }
)


def retry_action_for(error: errors.SassafrasError) -> RetryAction:
    """Returns how to continue after an error of a sub-query."""
    if error.code in _EXCLUDE_CODES:
        return RetryAction.EXCLUDE
    if error.code in _GIVE_UP_CODES:
        return RetryAction.GIVE_UP
    if error.code in _FREE_RETRY_CODES and error.ran is errors.Ran.NOT_RUN:
        return RetryAction.RETRY_FREE
    return RetryAction.RETRY_PAID


def is_ownership_moving(error: errors.SassafrasError) -> bool:
    """Returns whether the error says that the leaf is changing owners."""
    return error.code in _OWNERSHIP_MOVING_CODES


def is_leaf_fault(error: errors.SassafrasError) -> bool:
    """Returns whether the error puts the leaf in back-off for all queries."""
    return error.code in _LEAF_FAULT_CODES
