"""What a failed sub-query means for its shard."""

import enum

from sassafrashold import errors


class Reaction(enum.Enum):
    """How a plan goes on after a failed sub-query."""

    REPEAT = "repeat"
    """Ownership moves: certainly not run, repeated until the deadline."""

    EXCLUDE = "exclude"
    """The leaf cannot serve this query; another replica may."""

    PAY = "pay"
    """The leaf may have worked: a retry costs a token of the budget."""

    GIVE_UP = "give up"
    """Every replica would refuse the query in the same way."""


_REPEATED = frozenset(
    {
        errors.ErrorCode.NOT_OWNER,
        errors.ErrorCode.NO_ENTITLEMENT,
        errors.ErrorCode.UNAVAILABLE,
        errors.ErrorCode.DRAINING,
        errors.ErrorCode.NOT_READY,
    }
)
_EXCLUDED = frozenset(
    {
        errors.ErrorCode.ZONE_OUT,
        errors.ErrorCode.HOST_OUT,
        errors.ErrorCode.LEAVING,
        errors.ErrorCode.VERSION_GONE,
    }
)
_FINAL = frozenset(
    {
        errors.ErrorCode.BAD_REQUEST,
        errors.ErrorCode.UNKNOWN_FIELD,
        errors.ErrorCode.UNKNOWN_SERVICE,
        errors.ErrorCode.UNKNOWN_METHOD,
        errors.ErrorCode.FRAME_TOO_LARGE,
        errors.ErrorCode.BODY_TOO_LARGE,
    }
)
_MOVING = frozenset(
    {
        errors.ErrorCode.NO_ENTITLEMENT,
        errors.ErrorCode.NOT_OWNER,
        errors.ErrorCode.DRAINING,
    }
)
_LEAF_FAULTS = frozenset(
    {
        errors.ErrorCode.LEAF_FAILED,
        errors.ErrorCode.LEAF_UNREACHABLE,
        errors.ErrorCode.LEAF_SHED,
        errors.ErrorCode.VERSION_MISMATCH,
        errors.ErrorCode.OVERLOADED,
    }
)


def reaction_to(error: errors.SassafrasError) -> Reaction:
    """Returns how a plan goes on after an error of a sub-query."""
    if error.code in _EXCLUDED:
        return Reaction.EXCLUDE
    if error.code in _FINAL:
        return Reaction.GIVE_UP
    if error.code in _REPEATED and error.ran is errors.Ran.NOT_RUN:
        return Reaction.REPEAT
    return Reaction.PAY


def is_moving(error: errors.SassafrasError) -> bool:
    """Returns whether the ownership of the leaf is moving."""
    return error.code in _MOVING


def is_leaf_fault(error: errors.SassafrasError) -> bool:
    """Returns whether other queries should avoid the leaf for a while."""
    return error.code in _LEAF_FAULTS
