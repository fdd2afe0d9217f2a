"""Policy for the calls from a host to leafs; no I/O.

Chooses leafs, and decides on retries, hedges and partial answers.
"""

from sassafrashold.calls._cold import ColdLimiter
from sassafrashold.calls._gather import GatherOutcome
from sassafrashold.calls._gather import GatherPlan
from sassafrashold.calls._gather import GatherTimes
from sassafrashold.calls._gather import unreachable_if_too_few
from sassafrashold.calls._leaf_record import LeafRecord
from sassafrashold.calls._merge import greatest_records
from sassafrashold.calls._messages import Answered
from sassafrashold.calls._messages import CallResult
from sassafrashold.calls._messages import ClientRequest
from sassafrashold.calls._messages import Failed
from sassafrashold.calls._messages import FailureKind
from sassafrashold.calls._messages import LeafAnswer
from sassafrashold.calls._messages import is_signature
from sassafrashold.calls._part_merger import PartMerger
from sassafrashold.calls._part_merger import proportional_shares
from sassafrashold.calls._reach import FAILED_LEAFS_UNTIL_UNREACHABLE
from sassafrashold.calls._reach import ZoneFailover
from sassafrashold.calls._reach import ZoneReach
from sassafrashold.calls._service_call import Send
from sassafrashold.calls._service_call import ServiceCall
from sassafrashold.calls._start_queue import StartQueue
from sassafrashold.calls._state import CallState
from sassafrashold.calls._state import LimitShare

__all__ = [
    "FAILED_LEAFS_UNTIL_UNREACHABLE",
    "Answered",
    "CallResult",
    "CallState",
    "ClientRequest",
    "ColdLimiter",
    "Failed",
    "FailureKind",
    "GatherOutcome",
    "GatherPlan",
    "GatherTimes",
    "LeafAnswer",
    "LeafRecord",
    "LimitShare",
    "PartMerger",
    "Send",
    "ServiceCall",
    "StartQueue",
    "ZoneFailover",
    "ZoneReach",
    "greatest_records",
    "is_signature",
    "proportional_shares",
    "unreachable_if_too_few",
]
