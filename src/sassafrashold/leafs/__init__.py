"""Per-leaf state: slots, cold start, queue, batches and slot entitlement.

This package does no I/O, except for `sassafrashold.leafs.client`, the HTTP
client, which is imported explicitly because it needs aiohttp.
"""

from sassafrashold.leafs._entitlement import HOLD_BACK
from sassafrashold.leafs._entitlement import LEASE_DURATION
from sassafrashold.leafs._entitlement import MAX_CLOCK_SKEW
from sassafrashold.leafs._entitlement import MAX_LEAF_CALL_DURATION
from sassafrashold.leafs._entitlement import Basis
from sassafrashold.leafs._entitlement import EarlierOwners
from sassafrashold.leafs._entitlement import Entitlement
from sassafrashold.leafs._entitlement import Report
from sassafrashold.leafs._entitlement import SlotGrant
from sassafrashold.leafs._entitlement import evidence_time
from sassafrashold.leafs._latency import Latency
from sassafrashold.leafs._leaf import Answers
from sassafrashold.leafs._leaf import Batch
from sassafrashold.leafs._leaf import Leaf
from sassafrashold.leafs._queue import WorkQueue
from sassafrashold.leafs._state import Call
from sassafrashold.leafs._state import LeafLimits
from sassafrashold.leafs._state import LeafState
from sassafrashold.leafs._state import Phase
from sassafrashold.leafs._work import MAX_BATCH_ITEMS
from sassafrashold.leafs._work import Answer
from sassafrashold.leafs._work import Rows
from sassafrashold.leafs._work import Waiter
from sassafrashold.leafs._work import Work

__all__ = [
    "HOLD_BACK",
    "LEASE_DURATION",
    "MAX_BATCH_ITEMS",
    "MAX_CLOCK_SKEW",
    "MAX_LEAF_CALL_DURATION",
    "Answer",
    "Answers",
    "Basis",
    "Batch",
    "Call",
    "EarlierOwners",
    "Entitlement",
    "Latency",
    "Leaf",
    "LeafLimits",
    "LeafState",
    "Phase",
    "Report",
    "Rows",
    "SlotGrant",
    "Waiter",
    "Work",
    "WorkQueue",
    "evidence_time",
]
